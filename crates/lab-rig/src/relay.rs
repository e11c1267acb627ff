//! A relay on one link: accepts connections from one end, forwards their bytes to the other, and applies the active faults.

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

/// The maximum size of a chunk of bytes that is read at once.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// The time limit for connecting to the target; after it the relay resets the accepted connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection truncated by `cut` transfers fewer bytes than this.
const MAX_CUT_BYTES: u64 = 2048;

/// The counters of a relay, for reports and tests.
#[derive(Debug, Default)]
pub struct RelayCounters {
    /// Connections accepted.
    pub taken: AtomicU64,
    /// Connections closed immediately by `drop`.
    pub dropped: AtomicU64,
    /// Connections truncated by `cut`.
    pub cut: AtomicU64,
    /// Connections reset.
    pub reset: AtomicU64,
    /// Connections stalled temporarily or permanently.
    pub held: AtomicU64,
    /// Stalled connections that their clients closed or reset before the fault ended; their pending bytes are not forwarded.
    pub abandoned: AtomicU64,
    /// Connections whose target could not be reached.
    pub unreached: AtomicU64,
    /// Bytes forwarded to the target.
    pub bytes_to_target: AtomicU64,
    /// Bytes forwarded from the target.
    pub bytes_from_target: AtomicU64,
}

impl RelayCounters {
    /// Returns the value of a counter.
    pub fn get(counter: &AtomicU64) -> u64 {
        counter.load(Ordering::Relaxed)
    }

    fn add(counter: &AtomicU64, n: u64) {
        counter.fetch_add(n, Ordering::Relaxed);
    }
}

/// The two ends of a link, and the address of its target.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// The end that opens connections.
    pub from: LinkEnd,
    /// The end that accepts connections.
    pub to: LinkEnd,
    /// The address on which `to` listens.
    pub target: SocketAddr,
}

/// An open relay.
pub struct Relay {
    /// The address on which it accepts connections.
    pub addr: SocketAddr,
    /// Its counters.
    pub counts: Arc<RelayCounters>,
}

/// Opens a relay on the runtime of `handle`. Its random choices for a connection are determined by `seed`, the relay's port
/// and the sequence number of the connection.
///
/// # Errors
/// Returns an error if no port on the loopback interface could be opened.
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
            Err(e) => tracing::error!("relay {addr}: failed to start accepting connections: {e}"),
        }
    });
    Ok(Relay { addr, counts })
}

/// Accepts connections while the target is reachable, until the set of active faults is dropped.
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
            tracing::warn!("relay {addr}: failed to start or stop answering handshakes: {e}");
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
                tracing::warn!("relay {addr}: failed to accept a connection: {e}");
                sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

/// Returns whether the client has closed or reset its connection.
async fn abandoned(stream: &TcpStream) -> bool {
    let writable = stream.ready(Interest::READABLE | Interest::WRITABLE).await;
    writable.is_ok_and(|ready| ready.is_read_closed() || ready.is_write_closed())
}

/// Returns whether the kernel reports an error on a connection, such as a reset by its peer.
fn was_reset(stream: &TcpStream) -> bool {
    !matches!(socket2::SockRef::from(stream).take_error(), Ok(None))
}

fn reset(stream: &TcpStream) {
    // Fails only if the socket is closed already, which needs no reset.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Why a direction of a connection ended.
enum EndReason {
    /// The sender closed it.
    Closed,
    /// A fault reset the connection, or an I/O error occurred on one side.
    Reset,
    /// A fault truncated it.
    Cut,
}

/// Relays one connection until it ends.
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
            // The sender closed one direction; the other one continues until it ends.
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

/// Applies the faults that affect a new connection. Returns the number of bytes that the connection may transfer before it is
/// truncated, or `None` if it has ended.
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
        // The connection stays unanswered until the link is no longer silent, as with a retransmitted SYN.
        faults.wait_for(|f| !f.effect(link.from, link.to).silent).await.ok()?;
        // Guards against forwarding the bytes of connections that their clients have abandoned: all of them would reach
        // the target at once, although over a real link the handshake would not have completed and the clients would not
        // have sent any bytes.
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

/// A connection whose two directions are relayed.
struct Connection<'a> {
    link: Link,
    /// The value of [`FaultSet::changes`] when the connection was opened.
    opened_at_change: u64,
    /// The number of bytes that both directions together may still transfer.
    budget: &'a AtomicU64,
    counts: &'a RelayCounters,
}

impl Connection<'_> {
    /// Relays one direction and counts its bytes in `bytes_carried`.
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
            // Guards against forwarding bytes after a reset: over a real link, unacknowledged bytes are retransmitted only
            // until their sender resets the connection, but the relay has already acknowledged the bytes that it buffers.
            if held && was_reset(read.as_ref()) {
                RelayCounters::add(&self.counts.abandoned, 1);
                return EndReason::Reset;
            }
            // Both directions share one budget, which does not go below 0.
            let consume = |remaining: u64| Some(remaining.saturating_sub(n as u64));
            let remaining =
                self.budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, consume).unwrap_or(0);
            let cut = remaining <= n as u64;
            let chunk = if cut { &buf[..remaining as usize] } else { &buf[..n] };
            if !effect.delay.is_zero() || !effect.jitter.is_zero() {
                let jitter = effect.jitter.mul_f64(rng.random::<f64>());
                // Preserves the order: no chunk is sent before the previous one.
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

    /// Reads the next chunk, while watching the active faults. Returns an error with the reason if the direction has ended.
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
                        // The connection stays half-open, even after the fault is cleared.
                        std::future::pending::<()>().await;
                    }
                }
            }
        }
    }

    /// Waits while the link is silent. Returns the current effect and whether the link was silent, or `None` if the
    /// connection has to be reset. Never returns for a half-open connection.
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
                // A half-open connection is neither answered nor closed, as long as the other side keeps it open.
                std::future::pending::<()>().await;
            }
            if faults.changed().await.is_err() {
                return None;
            }
        }
    }
}
