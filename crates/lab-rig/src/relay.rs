//! A relay on one link: accepts the connections of one end for the other and carries their bytes, under the active faults.

use super::board::{FaultSet, LinkEffect, LinkEnd};
use super::handshakes::HandshakeListener;
use aniseyoke_lab_day::clock::mix;
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
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// A relay gives up reaching its target after this time, and resets the connection that it accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A truncated connection carries fewer bytes than this.
const MAX_CUT_BYTES: u64 = 2048;

/// What a relay has done, for reports and tests.
#[derive(Debug, Default)]
pub struct RelayCounters {
    /// Connections accepted.
    pub taken: AtomicU64,
    /// Connections closed at once by `drop`.
    pub dropped: AtomicU64,
    /// Connections truncated by `cut`.
    pub cut: AtomicU64,
    /// Connections reset.
    pub reset: AtomicU64,
    /// Connections held silent for a while, or for good.
    pub held: AtomicU64,
    /// Of those, given up by their callers before the silence ended: nothing that was held of them reaches the target.
    pub abandoned: AtomicU64,
    /// Connections whose target could not be reached.
    pub unreached: AtomicU64,
    /// Bytes carried toward the target.
    pub bytes_to_target: AtomicU64,
    /// Bytes carried back.
    pub bytes_from_target: AtomicU64,
}

impl RelayCounters {
    /// The current value of a counter.
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
    pub from: LinkEnd,
    /// Who accepts them.
    pub to: LinkEnd,
    /// Where the far end listens.
    pub target: SocketAddr,
}

/// An open relay.
pub struct Relay {
    /// Where it accepts connections.
    pub addr: SocketAddr,
    /// What it has done.
    pub counts: Arc<RelayCounters>,
}

/// Opens a relay on `handle`'s runtime; its randomness follows from `seed` and the number of each connection.
///
/// # Errors
/// If no port on loopback could be had.
pub fn open(
    handle: &Handle,
    link: Link,
    faults: watch::Receiver<Arc<FaultSet>>,
    seed: u64,
) -> io::Result<Relay> {
    let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let counts = Arc::new(RelayCounters::default());
    let shared = counts.clone();
    handle.spawn(async move {
        match TcpListener::from_std(listener).and_then(HandshakeListener::new) {
            Ok(listener) => accept_connections(listener, link, faults, seed, shared).await,
            Err(e) => tracing::error!("relay {addr}: {e}"),
        }
    });
    Ok(Relay { addr, counts })
}

/// Accepts connections for as long as the board exists, while the link's far end is reachable.
async fn accept_connections(
    mut listener: HandshakeListener,
    link: Link,
    mut faults: watch::Receiver<Arc<FaultSet>>,
    seed: u64,
    counts: Arc<RelayCounters>,
) {
    let addr = listener.addr();
    let mut number = 0u64;
    loop {
        let unreachable = faults.borrow_and_update().effect(link.from, link.to).unreachable;
        if let Err(e) = listener.set_answering(!unreachable) {
            tracing::warn!("relay {addr}: {e}");
        }
        let accepted = tokio::select! {
            accepted = listener.accept(), if !unreachable => accepted,
            changed = faults.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        match accepted {
            Ok(stream) => {
                number += 1;
                let rng = Xoshiro256PlusPlus::seed_from_u64(mix(seed, addr.port().into(), number));
                RelayCounters::add(&counts.taken, 1);
                tokio::spawn(relay_connection(stream, link, faults.clone(), rng, counts.clone()));
            }
            Err(e) => {
                tracing::warn!("relay {addr}: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Whether a caller has closed its connection meanwhile.
async fn abandoned(stream: &TcpStream) -> bool {
    let writable = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
    writable.is_ok_and(|ready| ready.is_read_closed() || ready.is_write_closed())
}

/// Whether the kernel says that a connection's peer has reset it.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(socket2::SockRef::from(stream).take_error(), Ok(None))
}

fn reset(stream: &TcpStream) {
    // A socket that is gone already needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// How a direction of a connection ended.
enum EndReason {
    /// Its sender closed it.
    Closed,
    /// A fault resets the connection, or a side failed.
    Reset,
    /// A fault truncated it.
    Cut,
}

/// Carries one connection, from its acceptance to its end.
async fn relay_connection(
    mut downstream: TcpStream,
    link: Link,
    mut faults: watch::Receiver<Arc<FaultSet>>,
    mut rng: Xoshiro256PlusPlus,
    counts: Arc<RelayCounters>,
) {
    let _ = downstream.set_nodelay(true);
    let opened_at_change = faults.borrow().changes;
    let budget = match admit(&downstream, link, opened_at_change, &mut faults, &mut rng, &counts).await {
        Some(budget) => AtomicU64::new(budget),
        None => return,
    };
    let mut upstream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(link.target)).await {
        Ok(Ok(upstream)) => upstream,
        _ => {
            RelayCounters::add(&counts.unreached, 1);
            return reset(&downstream);
        }
    };
    let _ = upstream.set_nodelay(true);
    let seed = rng.random::<u64>();
    let end_reason = {
        let connection = Connection { link, opened_at_change, budget: &budget, counts: &counts };
        let (mut downstream_read, mut downstream_write) = downstream.split();
        let (mut upstream_read, mut upstream_write) = upstream.split();
        let to_target = connection.relay_direction(
            &mut downstream_read,
            &mut upstream_write,
            faults.clone(),
            seed,
            &counts.bytes_to_target,
        );
        let from_target = connection.relay_direction(
            &mut upstream_read,
            &mut downstream_write,
            faults,
            seed ^ 1,
            &counts.bytes_from_target,
        );
        tokio::pin!(to_target, from_target);
        let (first, other) = tokio::select! {
            end_reason = &mut to_target => (end_reason, true),
            end_reason = &mut from_target => (end_reason, false),
        };
        match first {
            // One direction was closed by its sender: the other is carried to its own end.
            EndReason::Closed if other => from_target.await,
            EndReason::Closed => to_target.await,
            end_reason => end_reason,
        }
    };
    match end_reason {
        EndReason::Closed => {}
        EndReason::Reset => {
            RelayCounters::add(&counts.reset, 1);
            reset(&downstream);
            reset(&upstream);
        }
        EndReason::Cut => RelayCounters::add(&counts.cut, 1),
    }
}

/// Applies the faults that hit a new connection; the bytes that it may carry before it is truncated, or none if it is over.
async fn admit(
    downstream: &TcpStream,
    link: Link,
    opened_at_change: u64,
    faults: &mut watch::Receiver<Arc<FaultSet>>,
    rng: &mut Xoshiro256PlusPlus,
    counts: &RelayCounters,
) -> Option<u64> {
    if faults.borrow().effect(link.from, link.to).silent {
        RelayCounters::add(&counts.held, 1);
        // Accepted and not answered until the silence ends, as a SYN that is sent again would find it.
        faults.wait_for(|f| !f.effect(link.from, link.to).silent).await.ok()?;
        // Danger: what its caller wrote to the relay and gave up meanwhile would reach the target all at once, though
        // over a real link no handshake had come about and nothing had been written.
        if abandoned(downstream).await {
            RelayCounters::add(&counts.abandoned, 1);
            return None;
        }
    }
    let effect = faults.borrow().effect(link.from, link.to);
    if effect.resets(opened_at_change) {
        RelayCounters::add(&counts.reset, 1);
        reset(downstream);
        return None;
    }
    if rng.random_bool(effect.drop.clamp(0.0, 1.0)) {
        RelayCounters::add(&counts.dropped, 1);
        return None;
    }
    let cut = rng.random_bool(effect.cut.clamp(0.0, 1.0));
    Some(if cut { rng.random_range(0..MAX_CUT_BYTES) } else { u64::MAX })
}

/// A connection whose two directions are carried.
struct Connection<'a> {
    link: Link,
    /// The board's count of changes when it was opened.
    opened_at_change: u64,
    /// Bytes that both directions together may still carry.
    budget: &'a AtomicU64,
    counts: &'a RelayCounters,
}

impl Connection<'_> {
    /// Carries one direction; its bytes are counted in `carried`.
    async fn relay_direction(
        &self,
        read: &mut ReadHalf<'_>,
        write: &mut WriteHalf<'_>,
        mut faults: watch::Receiver<Arc<FaultSet>>,
        seed: u64,
        bytes_carried: &AtomicU64,
    ) -> EndReason {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let mut buf = vec![0u8; MAX_CHUNK_BYTES];
        let mut due = Instant::now();
        loop {
            let n = match self.read(read, write, &mut faults, &mut buf).await {
                Ok(n) => n,
                Err(end_reason) => return end_reason,
            };
            let (effect, held) = match self.wait_while_silent(&mut faults).await {
                Some(held) => held,
                None => return EndReason::Reset,
            };
            // Danger: over a real link, bytes that are not acknowledged are sent again until their sender resets the
            // connection, and never after that; the relay has acknowledged what it holds.
            if held && was_reset(read.as_ref()) {
                RelayCounters::add(&self.counts.abandoned, 1);
                return EndReason::Reset;
            }
            // Both directions draw on one budget; it never goes below nothing.
            let consume = |remaining: u64| Some(remaining.saturating_sub(n as u64));
            let remaining =
                self.budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, consume).unwrap_or(0);
            let cut = remaining <= n as u64;
            let chunk = if cut { &buf[..remaining as usize] } else { &buf[..n] };
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
                return EndReason::Reset;
            }
            RelayCounters::add(bytes_carried, chunk.len() as u64);
            if cut {
                return EndReason::Cut;
            }
        }
    }

    /// Reads the next chunk, or how the direction ended; follows the faults meanwhile.
    async fn read(
        &self,
        read: &mut ReadHalf<'_>,
        write: &mut WriteHalf<'_>,
        faults: &mut watch::Receiver<Arc<FaultSet>>,
        buf: &mut [u8],
    ) -> Result<usize, EndReason> {
        loop {
            tokio::select! {
                got = read.read(buf) => match got {
                    Ok(0) => {
                        let _ = write.shutdown().await;
                        return Err(EndReason::Closed);
                    }
                    Ok(n) => return Ok(n),
                    Err(_) => return Err(EndReason::Reset),
                },
                changed = faults.changed() => {
                    if changed.is_err() {
                        return Err(EndReason::Closed);
                    }
                    let effect = faults.borrow().effect(self.link.from, self.link.to);
                    if effect.resets(self.opened_at_change) {
                        return Err(EndReason::Reset);
                    }
                    if effect.half_open(self.opened_at_change) {
                        RelayCounters::add(&self.counts.held, 1);
                        // Half-open for good, even after the fault is cleared.
                        std::future::pending::<()>().await;
                    }
                }
            }
        }
    }

    /// Waits while the link is silent; the effect after that and whether it was silent, or none if the connection is to be
    /// reset. A half-open connection never comes back.
    async fn wait_while_silent(
        &self,
        faults: &mut watch::Receiver<Arc<FaultSet>>,
    ) -> Option<(LinkEffect, bool)> {
        let mut counted = false;
        loop {
            let effect = faults.borrow_and_update().effect(self.link.from, self.link.to);
            if effect.resets(self.opened_at_change) {
                return None;
            }
            if !effect.silent && !effect.half_open(self.opened_at_change) {
                return Some((effect, counted));
            }
            if !counted {
                RelayCounters::add(&self.counts.held, 1);
                counted = true;
            }
            if effect.half_open(self.opened_at_change) {
                // Half-open: neither answered nor closed, for as long as the other side keeps it.
                std::future::pending::<()>().await;
            }
            if faults.changed().await.is_err() {
                return None;
            }
        }
    }
}
