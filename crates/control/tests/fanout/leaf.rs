//! A leaf with a small object store. It removes purged objects, and serves no object as fresh whose purge it may have
//! missed.

use aniseyoke_control::frame::{
    decode, encode, ProxyMessage, ServiceMessage, MAX_FRAME_BYTES, PROTOCOL_VERSION,
};
use aniseyoke_control::Stamp;
use aniseyoke_fanout::{Member, MemberAction, Progress};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

static NEXT_BOOT: AtomicU64 = AtomicU64::new(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(4);

/// The state of a leaf, shared with the test.
pub struct Shared {
    pub member: Mutex<Member>,
    pub store: Mutex<BTreeSet<u64>>,
    /// The number of keys that were invalidated individually.
    pub invalidated: AtomicU64,
    /// The number of flushes of all objects.
    pub flushes: AtomicU64,
    pub acked: Mutex<Option<Stamp>>,
    /// Bytes received and sent, and the number of reads and writes.
    pub received: AtomicU64,
    pub sent: AtomicU64,
    pub reads: AtomicU64,
    pub writes: AtomicU64,
    /// While set, the leaf reads nothing.
    pub is_paused: AtomicBool,
    /// While set, the leaf acknowledges no purges.
    pub withholds_acks: AtomicBool,
    rejects_versions: bool,
    boot: u64,
    is_stopping: AtomicBool,
    start: Instant,
}

impl Shared {
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    pub fn progress(&self) -> Progress {
        self.member.lock().expect("not poisoned").progress()
    }

    /// Whether the leaf serves this object as fresh.
    pub fn serves(&self, key: &str) -> bool {
        let fresh = self.member.lock().expect("not poisoned").is_fresh(self.now());
        fresh && self.store.lock().expect("not poisoned").contains(&xxh3_64(key.as_bytes()))
    }

    pub fn is_fresh(&self) -> bool {
        self.member.lock().expect("not poisoned").is_fresh(self.now())
    }

    pub fn store_object(&self, key: &str) {
        self.store.lock().expect("not poisoned").insert(xxh3_64(key.as_bytes()));
    }

    pub fn invalidated(&self) -> u64 {
        self.invalidated.load(Ordering::Relaxed)
    }

    pub fn flushes(&self) -> u64 {
        self.flushes.load(Ordering::Relaxed)
    }
}

/// A leaf on its own thread.
pub struct Leaf {
    pub shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl std::ops::Deref for Leaf {
    type Target = Shared;
    fn deref(&self) -> &Shared {
        &self.shared
    }
}

impl Leaf {
    /// Starts a leaf that connects to these upstreams in turn. `lease` is the time for which its objects are fresh without
    /// confirmation.
    pub fn start(name: &str, upstream: &[SocketAddr], lease: Duration) -> Self {
        Self::start_with(name, upstream, lease, false)
    }

    /// As [`Self::start`]; with `rejects_versions` the leaf rejects every version.
    pub fn start_with(name: &str, upstream: &[SocketAddr], lease: Duration, rejects_versions: bool) -> Self {
        let shared = Arc::new(Shared {
            member: Mutex::new(Member::new(Progress::default(), lease.as_nanos() as u64)),
            store: Mutex::default(),
            invalidated: AtomicU64::new(0),
            flushes: AtomicU64::new(0),
            acked: Mutex::default(),
            received: AtomicU64::new(0),
            sent: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            is_paused: AtomicBool::new(false),
            withholds_acks: AtomicBool::new(false),
            rejects_versions,
            boot: NEXT_BOOT.fetch_add(1, Ordering::Relaxed),
            is_stopping: AtomicBool::new(false),
            start: Instant::now(),
        });
        let (leaf, name, upstream) = (shared.clone(), name.to_owned(), upstream.to_vec());
        let thread = std::thread::spawn(move || {
            for addr in upstream.iter().cycle() {
                if leaf.is_stopping.load(Ordering::Relaxed) {
                    return;
                }
                if let Ok(stream) = TcpStream::connect_timeout(addr, Duration::from_secs(1)) {
                    // After any error the next upstream is tried.
                    let _ = follow(&leaf, &name, stream);
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Leaf { shared, thread: Some(thread) }
    }
}

impl Drop for Leaf {
    fn drop(&mut self) {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("a leaf did not panic");
        }
    }
}

fn send(leaf: &Shared, stream: &mut TcpStream, message: &ProxyMessage) -> std::io::Result<()> {
    let bytes = encode(message).map_err(|e| std::io::Error::other(e.to_string()))?;
    leaf.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    leaf.writes.fetch_add(1, Ordering::Relaxed);
    stream.write_all(&bytes)
}

fn send_hello(leaf: &Shared, name: &str, stream: &mut TcpStream) -> std::io::Result<()> {
    let hello = ProxyMessage::Hello {
        protocol: PROTOCOL_VERSION,
        instance: name.into(),
        boot: leaf.boot,
        labels: BTreeMap::new(),
        max_frame_bytes: MAX_FRAME_BYTES,
        running: None,
        purges: Some(leaf.progress()),
    };
    send(leaf, stream, &hello)?;
    send_ack(leaf, stream)
}

fn send_ack(leaf: &Shared, stream: &mut TcpStream) -> std::io::Result<()> {
    if leaf.withholds_acks.load(Ordering::Relaxed) {
        return Ok(());
    }
    let Progress { epoch, through } = leaf.progress();
    send(leaf, stream, &ProxyMessage::PurgeAck { epoch, through, lagging: 0, names: Vec::new() })
}

fn follow(leaf: &Shared, name: &str, mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    stream.set_nodelay(true)?;
    send_hello(leaf, name, &mut stream)?;
    let (mut buffer, mut chunk, mut last_heartbeat) = (Vec::new(), vec![0; 64 << 10], Instant::now());
    while !leaf.is_stopping.load(Ordering::Relaxed) {
        if leaf.is_paused.load(Ordering::Relaxed) {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        }
        if last_heartbeat.elapsed() > HEARTBEAT_INTERVAL {
            last_heartbeat = Instant::now();
            send(leaf, &mut stream, &ProxyMessage::Heartbeat)?;
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Ok(()),
            Ok(n) => {
                leaf.received.fetch_add(n as u64, Ordering::Relaxed);
                leaf.reads.fetch_add(1, Ordering::Relaxed);
                buffer.extend_from_slice(&chunk[..n]);
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(e) => return Err(e),
        }
        let before = leaf.progress();
        while let Some(message) = decode(&mut buffer, MAX_FRAME_BYTES).map_err(std::io::Error::other)? {
            if let ControlFlow::Break(()) = handle(leaf, name, &mut stream, message)? {
                return Ok(());
            }
        }
        if before != leaf.progress() {
            send_ack(leaf, &mut stream)?;
        }
    }
    Ok(())
}

/// Handles a message; `Break` closes the connection.
fn handle(
    leaf: &Shared,
    name: &str,
    stream: &mut TcpStream,
    message: ServiceMessage,
) -> std::io::Result<ControlFlow<()>> {
    match message {
        ServiceMessage::Purges { epoch, after, keys } => {
            let mut member = leaf.member.lock().expect("not poisoned");
            match member.receive_purges(leaf.now(), epoch, after, &keys.0) {
                MemberAction::Invalidate(keys) => {
                    let mut store = leaf.store.lock().expect("not poisoned");
                    keys.iter().for_each(|key| _ = store.remove(key));
                    leaf.invalidated.fetch_add(keys.len() as u64, Ordering::Relaxed);
                }
                MemberAction::Resync => {
                    drop(member);
                    send_hello(leaf, name, stream)?;
                }
                MemberAction::InvalidateAll | MemberAction::Ignore => {}
            }
        }
        ServiceMessage::Flush { epoch, through } => {
            let mut member = leaf.member.lock().expect("not poisoned");
            if member.receive_flush(Progress { epoch, through }) == MemberAction::InvalidateAll {
                leaf.store.lock().expect("not poisoned").clear();
                leaf.flushes.fetch_add(1, Ordering::Relaxed);
            }
        }
        ServiceMessage::Snapshot { stamp, .. } | ServiceMessage::Delta { stamp, .. }
            if leaf.rejects_versions =>
        {
            send(leaf, stream, &ProxyMessage::Nack { stamp, reasons: vec!["not here".into()] })?;
        }
        ServiceMessage::Snapshot { stamp, .. } | ServiceMessage::Delta { stamp, .. } => {
            *leaf.acked.lock().expect("not poisoned") = Some(stamp);
            send(leaf, stream, &ProxyMessage::Ack { stamp })?;
        }
        ServiceMessage::Goodbye { .. } => return Ok(ControlFlow::Break(())),
        ServiceMessage::UpToDate { .. } | ServiceMessage::Heartbeat => {}
    }
    Ok(ControlFlow::Continue(()))
}
