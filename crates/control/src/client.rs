//! A follower on sockets: a thin driver that connects, reads, writes and lets time pass.

use crate::follower::{Action, Follower};
use crate::frame::{decode, encode, FromProxy, FromService};
use crate::version::Version;
use aniseyoke_fanout::Progress;
use aniseyoke_sockets::{connect, Uninterrupted};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::time::{interval, timeout, Instant, MissedTickBehavior};

const TICK: Duration = Duration::from_millis(100);
/// A report of what became of requests goes out as often.
const REPORT: Duration = Duration::from_secs(1);
/// A service takes a frame within this time.
const TAKES_WITHIN: Duration = Duration::from_secs(5);
const PART: usize = 16 << 10;

/// What a follower's owner does for it.
pub trait Host {
    /// Checks a version and puts it in force. It ends with an error that says why it is turned down, a line each; what
    /// ran before still runs then.
    fn apply(&self, version: Version) -> impl Future<Output = Result<(), Vec<String>>>;

    /// Keeps a version that is in force as the last good one.
    fn keep(&self, version: Version);

    /// Something for those on call.
    fn say(&self, what: &str);

    /// Requests served, refused and failed since it was last asked.
    fn answered(&self) -> [u64; 3];

    /// Where it stands in the log of purges; none: it takes no purges.
    fn stands(&self) -> Option<Progress> {
        None
    }

    /// A connection is there, and hello was said on it.
    fn connected(&self) {}

    /// A frame of purges has come.
    fn purges(&self, _frame: FromService) {}

    /// What is to be said of purges, whenever there is something. Who gives it up before it has an answer loses nothing.
    fn upward(&self) -> impl Future<Output = Upward> {
        std::future::pending()
    }

    /// A newer version waits for the one that is being put in force.
    fn newer(&self) {}
}

/// What is said of purges.
#[derive(Clone, Debug, PartialEq)]
pub enum Upward {
    /// Say hello again: something is missing.
    Hello,
    /// Send this.
    Frame(FromProxy),
}

/// A version that is being put in force.
type Applying<'a> = std::pin::Pin<Box<dyn Future<Output = Result<(), Vec<String>>> + 'a>>;

enum Came {
    Connected(Option<TcpStream>),
    Frame(FromService),
    Malformed(String),
    Ended,
}

/// The connection that counts; what comes on any other is passed over.
struct Wire {
    number: u64,
    task: Option<AbortHandle>,
    writes: Option<Uninterrupted<OwnedWriteHalf>>,
}

impl Wire {
    fn end(&mut self) {
        self.number += 1;
        self.writes = None;
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }
}

/// Follows the services, for good. `most`: a longer frame is not read, in bytes.
pub async fn follow(
    mut follower: Follower,
    services: Vec<SocketAddr>,
    most: usize,
    host: impl Host,
) -> Infallible {
    let start = Instant::now();
    let now = || start.elapsed().as_nanos() as u64;
    let (tell, mut told) = mpsc::channel::<(u64, Came)>(4);
    let mut wire = Wire { number: 0, task: None, writes: None };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported = Instant::now();
    // Frames are taken meanwhile, so that of a flood only the newest counts.
    let mut applying: Option<Applying<'_>> = None;
    loop {
        let mut actions = Vec::new();
        tokio::select! {
            biased;
            Some(outcome) = async {
                match applying.as_mut() {
                    Some(applying) => Some(applying.await),
                    None => None,
                }
            } => {
                applying = None;
                follower.applied(now(), outcome, &mut actions);
            }
            Some((number, came)) = told.recv() => {
                if number != wire.number {
                    continue;
                }
                match came {
                    Came::Connected(Some(stream)) => {
                        let (reads, writes) = stream.into_split();
                        wire.writes = Some(Uninterrupted(writes));
                        let task = tokio::task::spawn_local(read(number, reads, most, tell.clone()));
                        wire.task = Some(task.abort_handle());
                        follower.stands(host.stands());
                        follower.connected(now(), &mut actions);
                        host.connected();
                    }
                    Came::Connected(None) | Came::Ended => {
                        wire.end();
                        follower.disconnected(now());
                    }
                    Came::Frame(frame) => {
                        if matches!(frame, FromService::Purges { .. } | FromService::Flush { .. }) {
                            host.purges(frame.clone());
                        }
                        follower.frame(now(), frame, &mut actions);
                        if follower.has_newer() {
                            host.newer();
                        }
                    }
                    Came::Malformed(why) => follower.malformed(now(), &why, &mut actions),
                }
            }
            upward = host.upward(), if wire.writes.is_some() => match upward {
                Upward::Hello => {
                    follower.stands(host.stands());
                    follower.hello(now(), &mut actions);
                }
                Upward::Frame(frame) => follower.say(now(), frame, &mut actions),
            },
            _ = ticks.tick() => {
                follower.tick(now(), &mut actions);
                if reported.elapsed() >= REPORT {
                    reported = Instant::now();
                    follower.report(now(), host.answered(), &mut actions);
                }
            }
        }
        let mut at = 0;
        while at < actions.len() {
            match actions[at].clone() {
                Action::Connect(service) => {
                    wire.end();
                    let (number, addr, tell) =
                        (wire.number, services[service % services.len()], tell.clone());
                    let task = tokio::task::spawn_local(async move {
                        let stream = connect(addr, || ()).await.ok();
                        // Danger: a short frame would wait for the acknowledgement of the one before it, at each relay
                        // on the way. It only costs time where it fails.
                        let _ = stream.as_ref().map(|stream| stream.set_nodelay(true));
                        // The receiver is gone only with the proxy.
                        let _ = tell.send((number, Came::Connected(stream))).await;
                    });
                    wire.task = Some(task.abort_handle());
                }
                Action::Disconnect => wire.end(),
                Action::Send(frame) => {
                    let bytes = encode(&frame).unwrap_or_default();
                    let written = match wire.writes.as_mut() {
                        Some(writes) => timeout(TAKES_WITHIN, writes.write_all(&bytes)).await,
                        None => Ok(Ok(())),
                    };
                    if !matches!(written, Ok(Ok(()))) {
                        wire.end();
                        follower.disconnected(now());
                    }
                }
                Action::Apply(version) => applying = Some(Box::pin(host.apply(version))),
                Action::Keep(version) => host.keep(version),
                Action::Say(what) => host.say(&what),
            }
            at += 1;
        }
    }
}

async fn read(number: u64, reads: OwnedReadHalf, most: usize, tell: mpsc::Sender<(u64, Came)>) {
    let mut reads = Uninterrupted(reads);
    let (mut came, mut part) = (Vec::new(), vec![0; PART]);
    loop {
        let next = match decode::<FromService>(&mut came, most) {
            Ok(Some(frame)) => Came::Frame(frame),
            Err(malformed) => Came::Malformed(malformed.to_string()),
            Ok(None) => match reads.read(&mut part).await {
                Ok(n) if n > 0 => {
                    came.extend_from_slice(&part[..n]);
                    continue;
                }
                _ => Came::Ended,
            },
        };
        let over = !matches!(next, Came::Frame(_));
        if came.is_empty() {
            // A long frame's room is not kept.
            came = Vec::new();
        }
        if tell.send((number, next)).await.is_err() || over {
            return;
        }
    }
}
