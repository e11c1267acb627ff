//! A relay on one link: takes the connections of one party for another and carries their bytes, as the board says.

use super::board::{Effect, Faults, Party};
use super::handshakes::Handshakes;
use crate::clock::mix;
use rand::rngs::Xoshiro256PlusPlus;
use rand::{RngExt, SeedableRng};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// A chunk of bytes is at most this large.
const CHUNK: usize = 16 * 1024;
/// A relay gives up reaching its target after so long, and resets the connection it took.
const CONNECT_WITHIN: Duration = Duration::from_secs(2);
/// A cut comes within this many bytes of a connection.
const CUT_WITHIN: u64 = 2048;

/// What a relay has done, for reports and tests.
#[derive(Debug, Default)]
pub struct Counts {
    /// Connections taken.
    pub taken: AtomicU64,
    /// Closed at once by `drop`.
    pub dropped: AtomicU64,
    /// Cut in their bytes.
    pub cut: AtomicU64,
    /// Reset.
    pub reset: AtomicU64,
    /// Held silent for a while, or for good.
    pub held: AtomicU64,
    /// Of those, given up by their callers before the silence ended: nothing that was held of them reaches the target.
    pub given_up: AtomicU64,
    /// Whose target could not be reached.
    pub unreached: AtomicU64,
    /// Bytes carried toward the target, and back.
    pub bytes_to: AtomicU64,
    /// Bytes carried back.
    pub bytes_back: AtomicU64,
}

impl Counts {
    /// A count as it stands.
    pub fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }

    fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }
}

/// The two ends of a link and where its far end listens.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Who opens connections.
    pub from: Party,
    /// Who takes them.
    pub to: Party,
    /// Where the far end listens.
    pub target: SocketAddr,
}

/// A relay that stands.
pub struct Relay {
    /// Where it takes connections.
    pub addr: SocketAddr,
    /// What it has done.
    pub counts: Arc<Counts>,
}

/// Opens a relay on `handle`'s runtime; its randomness follows from `seed` and the number of each connection.
///
/// # Errors
/// If no port on loopback could be had.
pub fn open(
    handle: &Handle,
    link: Link,
    faults: watch::Receiver<Arc<Faults>>,
    seed: u64,
) -> io::Result<Relay> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let counts = Arc::new(Counts::default());
    let kept = counts.clone();
    handle.spawn(async move {
        match TcpListener::from_std(listener).and_then(Handshakes::new) {
            Ok(handshakes) => take(handshakes, link, faults, seed, kept).await,
            Err(e) => tracing::error!("relay {addr}: {e}"),
        }
    });
    Ok(Relay { addr, counts })
}

/// Takes connections for as long as the board stands.
async fn take(
    mut handshakes: Handshakes,
    link: Link,
    mut faults: watch::Receiver<Arc<Faults>>,
    seed: u64,
    counts: Arc<Counts>,
) {
    let addr = handshakes.addr();
    let mut number = 0u64;
    loop {
        let unreachable = faults.borrow_and_update().effect(link.from, link.to).unreachable;
        if let Err(e) = handshakes.set_answers(!unreachable) {
            tracing::warn!("relay {addr}: {e}");
        }
        let accepted = tokio::select! {
            accepted = handshakes.accept(), if !unreachable => accepted,
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        match accepted {
            Ok(stream) => {
                number += 1;
                let rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, addr.port().into(), number));
                Counts::add(&counts.taken, 1);
                tokio::spawn(carry(stream, link, faults.clone(), rng, counts.clone()));
            }
            Err(e) => {
                tracing::warn!("relay {addr}: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Whether a caller has closed its connection by now.
async fn given_up(stream: &TcpStream) -> bool {
    let writable = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
    writable.is_ok_and(|ready| ready.is_read_closed() || ready.is_write_closed())
}

/// Whether its peer has reset a connection, by the kernel's word.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(socket2::SockRef::from(stream).take_error(), Ok(None))
}

fn reset(stream: &TcpStream) {
    // A socket that is gone already needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How a direction of a connection ended.
enum Ended {
    /// Its sender closed it.
    Closed,
    /// The board says to reset the connection, or a side failed.
    Reset,
    /// It was cut.
    Cut,
}

/// One connection, from its taking to its end.
async fn carry(
    mut down: TcpStream,
    link: Link,
    mut faults: watch::Receiver<Arc<Faults>>,
    mut rng: Xoshiro256PlusPlus,
    counts: Arc<Counts>,
) {
    let _ = down.set_nodelay(true);
    let born = faults.borrow().changes;
    let effect = |faults: &watch::Receiver<Arc<Faults>>| faults.borrow().effect(link.from, link.to);
    if effect(&faults).silent {
        Counts::add(&counts.held, 1);
        // Taken and not answered until the silence ends, as a SYN that is sent again would find it.
        if faults.wait_for(|f| !f.effect(link.from, link.to).silent).await.is_err() {
            return;
        }
        // Danger: what its caller wrote to the relay and gave up meanwhile would reach the target all at once, though
        // over a real link no handshake had come about and nothing had been written.
        if given_up(&down).await {
            Counts::add(&counts.given_up, 1);
            return;
        }
    }
    let first = effect(&faults);
    if first.resets(born) {
        Counts::add(&counts.reset, 1);
        return reset(&down);
    }
    if rng.random_bool(first.drop.clamp(0.0, 1.0)) {
        Counts::add(&counts.dropped, 1);
        return;
    }
    let cut_at = rng.random_bool(first.cut.clamp(0.0, 1.0)).then(|| rng.random_range(0..CUT_WITHIN));
    let mut up = match timeout(CONNECT_WITHIN, TcpStream::connect(link.target)).await {
        Ok(Ok(up)) => up,
        _ => {
            Counts::add(&counts.unreached, 1);
            return reset(&down);
        }
    };
    let _ = up.set_nodelay(true);
    let budget = AtomicU64::new(cut_at.unwrap_or(u64::MAX));
    let seed = rng.random::<u64>();
    let ended = {
        let (mut down_read, mut down_write) = down.split();
        let (mut up_read, mut up_write) = up.split();
        let there =
            pump(&mut down_read, &mut up_write, link, born, faults.clone(), seed, &budget, &counts, true);
        let back = pump(&mut up_read, &mut down_write, link, born, faults, seed ^ 1, &budget, &counts, false);
        tokio::pin!(there, back);
        let (first, other) = tokio::select! {
            ended = &mut there => (ended, true),
            ended = &mut back => (ended, false),
        };
        match first {
            // One direction was closed by its sender: the other is carried to its own end.
            Ended::Closed if other => back.await,
            Ended::Closed => there.await,
            ended => ended,
        }
    };
    match ended {
        Ended::Closed => {}
        Ended::Reset => {
            Counts::add(&counts.reset, 1);
            reset(&down);
            reset(&up);
        }
        Ended::Cut => Counts::add(&counts.cut, 1),
    }
}

/// Carries one direction of a connection.
#[allow(clippy::too_many_arguments)]
async fn pump(
    read: &mut ReadHalf<'_>,
    write: &mut WriteHalf<'_>,
    link: Link,
    born: u64,
    mut faults: watch::Receiver<Arc<Faults>>,
    seed: u64,
    budget: &AtomicU64,
    counts: &Counts,
    toward: bool,
) -> Ended {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut buf = vec![0u8; CHUNK];
    let mut due = Instant::now();
    loop {
        let n = tokio::select! {
            got = read.read(&mut buf) => match got {
                Ok(0) => {
                    let _ = write.shutdown().await;
                    return Ended::Closed;
                }
                Ok(n) => n,
                Err(_) => return Ended::Reset,
            },
            changed = faults.changed() => {
                if changed.is_err() {
                    return Ended::Closed;
                }
                let effect = faults.borrow().effect(link.from, link.to);
                if effect.resets(born) {
                    return Ended::Reset;
                }
                if effect.stale(born) {
                    Counts::add(&counts.held, 1);
                    // Half-open for good, even after the fault is lifted.
                    std::future::pending::<()>().await;
                }
                continue;
            }
        };
        let (effect, held) = match hold(&mut faults, link, born, counts).await {
            Some(held) => held,
            None => return Ended::Reset,
        };
        // Danger: over a real link what is not acknowledged is sent again until its sender resets the connection, and never
        // after that; the relay has acknowledged what it holds.
        if held && was_reset(read.as_ref()) {
            Counts::add(&counts.given_up, 1);
            return Ended::Reset;
        }
        let mut chunk = &buf[..n];
        // Both directions draw on one budget; it never goes below nothing.
        let take = |left: u64| Some(left.saturating_sub(n as u64));
        let left = budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).unwrap_or(0);
        let cut = left <= n as u64;
        if cut {
            chunk = &chunk[..left as usize];
        }
        if !effect.delay.is_zero() || !effect.jitter.is_zero() {
            let jitter = effect.jitter.mul_f64(rng.random::<f64>());
            // Order is kept: a chunk never leaves before the one ahead of it.
            due = due.max(Instant::now() + effect.delay + jitter);
            tokio::time::sleep_until(due).await;
        }
        if let Some(rate) = effect.rate.filter(|r| *r > 0) {
            sleep(Duration::from_secs_f64(chunk.len() as f64 / rate as f64)).await;
        }
        if write.write_all(chunk).await.is_err() {
            return Ended::Reset;
        }
        Counts::add(if toward { &counts.bytes_to } else { &counts.bytes_back }, chunk.len() as u64);
        if cut {
            return Ended::Cut;
        }
    }
}

/// Waits while the link is silent, and says whether it was; none if the connection is to be reset. A half-open connection
/// never comes back.
async fn hold(
    faults: &mut watch::Receiver<Arc<Faults>>,
    link: Link,
    born: u64,
    counts: &Counts,
) -> Option<(Effect, bool)> {
    let mut counted = false;
    loop {
        let effect = faults.borrow_and_update().effect(link.from, link.to);
        if effect.resets(born) {
            return None;
        }
        if !effect.silent && !effect.stale(born) {
            return Some((effect, counted));
        }
        if !counted {
            Counts::add(&counts.held, 1);
            counted = true;
        }
        if effect.stale(born) {
            // Half-open: neither answered nor closed, for as long as the other side keeps it.
            std::future::pending::<()>().await;
        }
        if faults.changed().await.is_err() {
            return None;
        }
    }
}
