//! The connections to cache nodes and the origin, and the attempts that are made on them.
//!
//! - This module is the pool: the nodes of the endpoint list, and their idle connections.
//! - `attempt` makes one attempt on a `connection`, and `answer` reads the node's answer.
//! - `job` is the request of an attempt, and `handle` is the engine's control over the attempt.
//! - `attempt_log` records how an attempt ended.
//! - `write_check` is the last check before the first byte of an attempt is written.

mod answer;
mod attempt;
mod attempt_log;
mod connection;
mod handle;
mod job;
mod write_check;

pub use job::Job;

use crate::budget::Budget;
use crate::descriptors::DescriptorBudget;
use crate::metrics::Metrics;
use crate::opening::OpenLimiter;
use crate::relay::ResponseBody;
use crate::MAX_BUFFERED_BODY_BYTES;
use aniseyoke_core::{AttemptOutcome, Transport};
use aniseyoke_decision::api::{Entry, Nanos, ServerId, State, Status};
use aniseyoke_sockets::{connect, ConnectError};
use attempt::Attempt;
use attempt_log::AttemptLog;
use connection::{Connection, IdleConnection, ReservedConnection};
use handle::AttemptHandle;
use hyper::Response;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// How often an attempt that waits for a permit to open a connection looks for an idle connection.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A streamed answer holds some pieces as they were read. While more answers are streamed than the budget for answers
/// has room for at full size, further ones are read in pieces of this size.
const SMALL_READ_BYTES: usize = 4 << 10;

/// A node's answer, as forwarded to the client.
pub type UpstreamResponse = Response<ResponseBody>;

/// Counts an answer as streamed.
struct StreamGuard(Rc<Cell<usize>>);

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How an attempt ended.
type Outcome = AttemptOutcome<UpstreamResponse>;

/// A node of the endpoint list.
struct Node {
    addr: Option<SocketAddr>,
    started: Nanos,
    ready: bool,
    /// Changes with every event that invalidates older connections: a restart, a new address, a drain, a ban.
    epoch: u64,
    idle: Vec<IdleConnection>,
}

/// The pool of all nodes of the endpoint list, and their connections.
pub struct Upstreams {
    nodes: RefCell<FxHashMap<ServerId, Node>>,
    /// Nodes banned by operators, listed or not.
    banned: RefCell<FxHashSet<ServerId>>,
    descriptors: Rc<DescriptorBudget>,
    answer_budget: Arc<Budget>,
    connect_timeout: Duration,
    /// How long a connection may be idle and still be reused.
    max_idle: Duration,
    last_epoch: Cell<u64>,
    /// Rate limits on opening connections, if configured.
    opening: Option<RefCell<OpenLimiter>>,
    /// Number of answers that are being streamed.
    streams: Rc<Cell<usize>>,
    metrics: Rc<Metrics>,
}

impl Transport for Upstreams {
    type Job = Job;
    type Reply = UpstreamResponse;
    type Handle = AttemptHandle;

    fn update_endpoints(&self, complete: bool, entries: &[(Entry, Option<SocketAddr>)]) {
        if let Some(opening) = &self.opening {
            opening.borrow_mut().update(complete, entries.iter().map(|(entry, _)| entry));
        }
        let mut nodes = self.nodes.borrow_mut();
        if complete {
            let named: FxHashSet<ServerId> = entries.iter().map(|(entry, _)| entry.server).collect();
            nodes.retain(|server, _| named.contains(server));
        }
        for (entry, addr) in entries {
            if entry.state == State::Gone {
                nodes.remove(&entry.server);
                continue;
            }
            let ready = entry.state == State::Ready;
            let known = nodes.get(&entry.server);
            if known.is_some_and(|n| n.addr == *addr && n.started == entry.started && n.ready == ready) {
                continue;
            }
            let (started, epoch) = (entry.started, self.next_epoch());
            // Dropping the replaced node closes its idle connections.
            nodes.insert(entry.server, Node { addr: *addr, started, ready, epoch, idle: Vec::new() });
        }
    }

    fn set_banned(&self, server: ServerId, banned: bool) {
        let mut all_banned = self.banned.borrow_mut();
        if banned {
            all_banned.insert(server);
        } else {
            all_banned.remove(&server);
        }
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.epoch = self.next_epoch();
            node.idle.clear();
        }
    }

    fn any_ready(&self) -> bool {
        let banned = self.banned.borrow();
        let ready = |(server, node): (&ServerId, &Node)| {
            node.ready && node.addr.is_some() && !banned.contains(server)
        };
        self.nodes.borrow().iter().any(ready)
    }

    fn close_idle(&self, server: ServerId) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.idle.clear();
        }
    }

    async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        job: Rc<Job>,
        since: std::time::Instant,
        time_limit: Duration,
        handle: Rc<AttemptHandle>,
    ) -> Outcome {
        let deadline = Instant::from_std(since) + time_limit;
        let log = AttemptLog::new(self.metrics.clone(), job.clone(), server);
        let attempt =
            Attempt { pool: &self, server, job: &job, deadline, time_limit, handle: &handle, log: &log };
        let outcome = attempt.run().await;
        log.end(outcome.status);
        outcome
    }
}

impl Upstreams {
    /// Creates a pool without nodes. Nodes close connections that have been idle for `idle_time`; with 0 they
    /// close them right after the answer, and no connection is reused.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        answer_budget: Arc<Budget>,
        connect_timeout: Duration,
        idle_time: Nanos,
        opening: Option<OpenLimiter>,
        metrics: Rc<Metrics>,
    ) -> Rc<Self> {
        Rc::new(Upstreams {
            nodes: RefCell::default(),
            banned: RefCell::default(),
            descriptors,
            answer_budget,
            connect_timeout,
            // A request written to a connection that its node is just closing ends in a reset and may have
            // run. The node measures from its own last byte, so only 3/4 of its idle time is used here.
            max_idle: Duration::from_nanos(idle_time / 4 * 3),
            last_epoch: Cell::new(0),
            opening: opening.map(RefCell::new),
            streams: Rc::default(),
            metrics,
        })
    }

    /// Closes idle connections that have ended or have been idle for too long.
    pub fn close_expired_idle(&self) {
        let keep = |idle: &IdleConnection| {
            idle.since.elapsed() < self.max_idle && !idle.connection.sender.is_closed()
        };
        self.nodes.borrow_mut().values_mut().for_each(|node| node.idle.retain(keep));
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; returns false if none is
    /// idle.
    pub fn close_longest_idle(&self) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let oldest =
            nodes.values_mut().filter(|node| !node.idle.is_empty()).min_by_key(|node| node.idle[0].since);
        oldest.map(|node| node.idle.remove(0)).is_some()
    }

    /// Counts an answer that is streamed over this connection until the returned value is dropped.
    fn begin_stream(&self, connection: &Connection) -> StreamGuard {
        connection.socket.prepare_for_streaming();
        // The length of a streamed body is limited where it is forwarded.
        connection.socket.allow_incoming(usize::MAX);
        if self.streams.get() >= self.answer_budget.limit() / MAX_BUFFERED_BODY_BYTES {
            connection.socket.limit_reads(SMALL_READ_BYTES);
        }
        self.streams.set(self.streams.get() + 1);
        StreamGuard(self.streams.clone())
    }

    fn next_epoch(&self) -> u64 {
        self.last_epoch.set(self.last_epoch.get() + 1);
        self.last_epoch.get()
    }

    /// Waits for a permit to open a connection, or for a connection that becomes idle meanwhile, which is
    /// returned. Returns `None` if the wait would take more than half of the attempt's time: another node may
    /// have capacity sooner, and this one is not at fault.
    async fn acquire_permit_or_idle(
        self: &Rc<Self>,
        server: ServerId,
        deadline: Instant,
        time_limit: Duration,
    ) -> Option<Option<ReservedConnection>> {
        let Some(opening) = &self.opening else { return Some(None) };
        let until = deadline - time_limit / 2;
        loop {
            if let Some(connection) = self.take_idle(server) {
                return Some(Some(connection));
            }
            let Err(wait) = opening.borrow_mut().try_acquire(server) else { return Some(None) };
            if Instant::now() + wait > until || self.address_and_epoch(server).is_none() {
                return None;
            }
            sleep(wait.min(PERMIT_CHECK_INTERVAL)).await;
        }
    }

    /// Returns the address and the epoch of a node that accepts new requests.
    fn address_and_epoch(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&server).filter(|node| node.ready && !self.banned.borrow().contains(&server))?;
        Some((node.addr?, node.epoch))
    }

    /// Returns the epoch of a node that accepts new requests.
    fn epoch(&self, server: ServerId) -> Option<u64> {
        self.address_and_epoch(server).map(|(_, epoch)| epoch)
    }

    /// Takes the reusable connection to a node that became idle last.
    fn take_idle(self: &Rc<Self>, server: ServerId) -> Option<ReservedConnection> {
        let mut nodes = self.nodes.borrow_mut();
        let Node { idle, epoch, .. } = nodes.get_mut(&server)?;
        while let Some(candidate) = idle.pop() {
            if candidate.since.elapsed() < self.max_idle && candidate.connection.is_clean() {
                return Some(ReservedConnection::new(self, server, *epoch, candidate));
            }
        }
        None
    }

    /// Returns a connection that has just become idle to the pool.
    fn put_used(&self, server: ServerId, epoch: u64, connection: Connection) {
        if !self.max_idle.is_zero() {
            self.put_idle(server, epoch, IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Returns an idle connection to the pool, if its node's epoch has not changed since the connection was
    /// chosen.
    fn put_idle(&self, server: ServerId, epoch: u64, idle: IdleConnection) {
        if !idle.connection.is_clean() {
            return;
        }
        let mut nodes = self.nodes.borrow_mut();
        if let Some(node) = nodes.get_mut(&server).filter(|node| node.epoch == epoch && node.ready) {
            // The connections are ordered by idle time, the longest first.
            let position = node.idle.partition_point(|other| other.since <= idle.since);
            node.idle.insert(position, idle);
        }
    }

    /// Opens a connection, or returns the status of the attempt that failed to. A local shortage is not
    /// reported as a failure of the node.
    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Status> {
        let permit = loop {
            match self.descriptors.try_acquire() {
                Some(permit) => break permit,
                None if self.close_longest_idle() => tokio::task::yield_now().await,
                None => return Err(Status::NotSent),
            }
        };
        let free_descriptor = || {
            self.close_longest_idle();
        };
        let connecting = tokio::time::timeout(self.connect_timeout, connect(addr, free_descriptor)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(ConnectError::Local(error))) => {
                tracing::warn!("could not create a socket for {addr}: {error}");
                return Err(Status::NotSent);
            }
            Ok(Err(ConnectError::Remote(_))) | Err(_) => return Err(Status::ConnectFailed),
        };
        Connection::open(stream, permit).await.map_err(|_| Status::ConnectFailed)
    }
}

#[cfg(test)]
mod tests;
