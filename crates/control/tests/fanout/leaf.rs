//! A leaf with a small store: it holds objects, drops what is purged, and serves nothing as fresh that it may have
//! missed a purge of.

use aniseyoke_control::frame::{decode, encode, FromProxy, FromService, FRAME_MOST, PROTOCOL};
use aniseyoke_control::Stamp;
use aniseyoke_fanout::{Member, Progress, Told};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

static BOOTS: AtomicU64 = AtomicU64::new(1);
const LOOK: Duration = Duration::from_millis(20);
const ALIVE: Duration = Duration::from_secs(4);

/// What became of a leaf, seen from outside.
pub struct Seen {
    pub member: Mutex<Member>,
    pub store: Mutex<BTreeSet<u64>>,
    /// Keys that were dropped one by one, and times that all were.
    pub dropped: AtomicU64,
    pub flushed: AtomicU64,
    pub taken: Mutex<Option<Stamp>>,
    /// Bytes that came and were said, reads that had some, and times that something was said.
    pub came: AtomicU64,
    pub said: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    /// It reads nothing while this is so.
    pub stands_still: AtomicBool,
    /// It says nothing of what it has done while this is so.
    pub mute: AtomicBool,
    refuses: bool,
    boot: u64,
    end: AtomicBool,
    start: Instant,
}

impl Seen {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    pub fn progress(&self) -> Progress {
        self.member.lock().expect("whole").progress()
    }

    /// Whether it serves this object without asking anybody.
    pub fn serves(&self, key: &str) -> bool {
        let fresh = self.member.lock().expect("whole").fresh(self.now());
        fresh && self.store.lock().expect("whole").contains(&xxh3_64(key.as_bytes()))
    }

    pub fn fresh(&self) -> bool {
        self.member.lock().expect("whole").fresh(self.now())
    }

    pub fn holds(&self, key: &str) {
        self.store.lock().expect("whole").insert(xxh3_64(key.as_bytes()));
    }

    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    pub fn flushed(&self) -> u64 {
        self.flushed.load(Ordering::Relaxed)
    }
}

/// A leaf on a thread of its own.
pub struct Leaf {
    pub seen: Arc<Seen>,
    thread: Option<JoinHandle<()>>,
}

impl std::ops::Deref for Leaf {
    type Target = Seen;
    fn deref(&self) -> &Seen {
        &self.seen
    }
}

impl Leaf {
    /// A leaf that follows these in turn. `lease`: how long it claims to be fresh.
    pub fn start(name: &str, upstream: &[SocketAddr], lease: Duration) -> Self {
        Self::with(name, upstream, lease, false)
    }

    /// `refuses`: it turns every version down.
    pub fn with(name: &str, upstream: &[SocketAddr], lease: Duration, refuses: bool) -> Self {
        let seen = Arc::new(Seen {
            member: Mutex::new(Member::new(Progress::default(), lease.as_nanos() as u64)),
            store: Mutex::default(),
            dropped: AtomicU64::new(0),
            flushed: AtomicU64::new(0),
            taken: Mutex::default(),
            came: AtomicU64::new(0),
            said: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            stands_still: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            refuses,
            boot: BOOTS.fetch_add(1, Ordering::Relaxed),
            end: AtomicBool::new(false),
            start: Instant::now(),
        });
        let (leaf, name, upstream) = (seen.clone(), name.to_owned(), upstream.to_vec());
        let thread = std::thread::spawn(move || {
            for addr in upstream.iter().cycle() {
                if leaf.end.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(stream) = TcpStream::connect_timeout(addr, Duration::from_secs(1)) {
                    // The next in turn is asked, whatever it was.
                    let _ = follow(&leaf, &name, stream);
                }
                std::thread::sleep(LOOK);
            }
        });
        Leaf { seen, thread: Some(thread) }
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.seen.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("a leaf did not panic");
        }
    }
}

fn say(leaf: &Seen, stream: &mut TcpStream, frame: &FromProxy) -> std::io::Result<()> {
    let bytes = encode(frame).map_err(|e| std::io::Error::other(e.to_string()))?;
    leaf.said.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    leaf.writes.fetch_add(1, Ordering::Relaxed);
    stream.write_all(&bytes)
}

fn hello(leaf: &Seen, name: &str, stream: &mut TcpStream) -> std::io::Result<()> {
    let hello = FromProxy::Hello {
        protocol: PROTOCOL,
        instance: name.into(),
        boot: leaf.boot,
        labels: BTreeMap::new(),
        frame_most: FRAME_MOST,
        running: None,
        purges: Some(leaf.progress()),
    };
    say(leaf, stream, &hello)?;
    purged(leaf, stream)
}

fn purged(leaf: &Seen, stream: &mut TcpStream) -> std::io::Result<()> {
    if leaf.mute.load(Ordering::Relaxed) {
        return Ok(());
    }
    let Progress { epoch, through } = leaf.progress();
    say(leaf, stream, &FromProxy::Purged { epoch, through, lacking: 0, names: Vec::new() })
}

fn follow(leaf: &Seen, name: &str, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(LOOK))?;
    stream.set_nodelay(true)?;
    hello(leaf, name, &mut stream)?;
    let (mut came, mut part, mut said) = (Vec::new(), vec![0; 64 << 10], Instant::now());
    while !leaf.end.load(Ordering::Relaxed) {
        if leaf.stands_still.load(Ordering::Relaxed) {
            std::thread::sleep(LOOK);
            continue;
        }
        if said.elapsed() > ALIVE {
            said = Instant::now();
            say(leaf, &mut stream, &FromProxy::Alive)?;
        }
        match stream.read(&mut part) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                leaf.came.fetch_add(n as u64, Ordering::Relaxed);
                leaf.reads.fetch_add(1, Ordering::Relaxed);
                came.extend_from_slice(&part[..n]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        let before = leaf.progress();
        loop {
            let frame = decode::<FromService>(&mut came, FRAME_MOST);
            let Some(frame) = frame.map_err(|e| std::io::Error::other(e.to_string()))? else { break };
            match frame {
                FromService::Purges { epoch, after, keys } => {
                    let mut member = leaf.member.lock().expect("whole");
                    match member.purges(leaf.now(), epoch, after, &keys.0) {
                        Told::Drop(keys) => {
                            let mut store = leaf.store.lock().expect("whole");
                            keys.iter().for_each(|key| _ = store.remove(key));
                            leaf.dropped.fetch_add(keys.len() as u64, Ordering::Relaxed);
                        }
                        Told::Ask => {
                            drop(member);
                            hello(leaf, name, &mut stream)?;
                        }
                        Told::DropAll | Told::Nothing => {}
                    }
                }
                FromService::Flush { epoch, through } => {
                    let mut member = leaf.member.lock().expect("whole");
                    if member.flush(Progress { epoch, through }) == Told::DropAll {
                        leaf.store.lock().expect("whole").clear();
                        leaf.flushed.fetch_add(1, Ordering::Relaxed);
                    }
                }
                FromService::Full { stamp, .. } | FromService::Delta { stamp, .. } if leaf.refuses => {
                    say(leaf, &mut stream, &FromProxy::Refused { stamp, reasons: vec!["not here".into()] })?;
                }
                FromService::Full { stamp, .. } | FromService::Delta { stamp, .. } => {
                    *leaf.taken.lock().expect("whole") = Some(stamp);
                    say(leaf, &mut stream, &FromProxy::Taken { stamp })?;
                }
                FromService::Goodbye { .. } => return Ok(()),
                FromService::Current { .. } | FromService::Alive => {}
            }
        }
        if before != leaf.progress() {
            purged(leaf, &mut stream)?;
        }
    }
    Ok(())
}
