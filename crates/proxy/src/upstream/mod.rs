//! The connections to cache nodes and the origin, and the attempts that are made on them.
//!
//! - this module is the pool: the nodes that the list names, and their idle connections;
//! - `attempt` is one attempt, on a `connection`, and `answer` reads what comes of it;
//! - `job` is the request that it carries, `handle` the engine's hold on it;
//! - `write_check` looks once more right before its first byte is written.

mod answer;
mod attempt;
mod connection;
mod handle;
mod job;
mod write_check;

pub use job::Job;

use crate::budget::Budget;
use crate::descriptors::DescriptorBudget;
use crate::opening::OpenLimiter;
use crate::relay::ResponseBody;
use aniseyoke_core::{AttemptOutcome, Transport};
use aniseyoke_decision::api::{Entry, Nanos, ServerId, State, Status};
use aniseyoke_sockets::{connect, ConnectError};
use attempt::Attempt;
use connection::{Connection, IdleConnection, ReservedConnection};
use handle::AttemptHandle;
use hyper::Response;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, Instant};

/// Who waits for a permit to open a connection looks this often for one that has become idle.
const PERMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// What a node has answered, on its way to whoever asked.
pub type Reply = Response<ResponseBody>;

/// How an attempt ended.
type Outcome = AttemptOutcome<Reply>;

/// A node that the list names.
struct Node {
    addr: Option<SocketAddr>,
    started: Nanos,
    ready: bool,
    /// Counts what makes older connections useless: a restart, a new address, a drain.
    epoch: u64,
    idle: Vec<IdleConnection>,
}

/// All cache nodes that the list names.
pub struct Upstreams {
    nodes: RefCell<FxHashMap<ServerId, Node>>,
    /// Taken out by operators, listed or not.
    banned: RefCell<FxHashSet<ServerId>>,
    descriptors: Rc<DescriptorBudget>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    /// An idle connection is used again within this time.
    max_idle: Duration,
    last_epoch: Cell<u64>,
    /// Permits to open connections, where that is limited.
    opening: Option<RefCell<OpenLimiter>>,
}

impl Transport for Upstreams {
    type Job = Job;
    type Reply = Reply;
    type Handle = AttemptHandle;

    fn update_endpoints(&self, whole: bool, entries: &[(Entry, Option<SocketAddr>)]) {
        if let Some(opening) = &self.opening {
            opening.borrow_mut().update(whole, entries.iter().map(|(entry, _)| entry));
        }
        let mut nodes = self.nodes.borrow_mut();
        if whole {
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
            // The idle connections of the old one close here.
            nodes.insert(entry.server, Node { addr: *addr, started, ready, epoch, idle: Vec::new() });
        }
    }

    fn set_banned(&self, server: ServerId, out: bool) {
        let mut banned = self.banned.borrow_mut();
        if out {
            banned.insert(server);
        } else {
            banned.remove(&server);
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
        let due = Instant::from_std(since) + time_limit;
        Attempt { pool: &self, server, job: &job, due, time_limit, handle: &handle }.run().await
    }
}

impl Upstreams {
    /// A pool without nodes. Nodes close connections that have been idle for `idle_time`; with 0 they do as soon as they
    /// have answered, and no connection is used again.
    pub fn new(
        descriptors: Rc<DescriptorBudget>,
        budget: Rc<Budget>,
        connect_timeout: Duration,
        idle_time: Nanos,
        opening: Option<OpenLimiter>,
    ) -> Rc<Self> {
        Rc::new(Upstreams {
            nodes: RefCell::default(),
            banned: RefCell::default(),
            descriptors,
            budget,
            connect_timeout,
            // A request written to a connection that its node is just closing ends as a reset, and may have run. The node
            // counts from its own last byte, so that a good part of the time is left to it.
            max_idle: Duration::from_nanos(idle_time / 4 * 3),
            last_epoch: Cell::new(0),
            opening: opening.map(RefCell::new),
        })
    }

    /// Closes idle connections that have ended or stood too long.
    pub fn close_expired_idle(&self) {
        let keep = |idle: &IdleConnection| {
            idle.since.elapsed() < self.max_idle && !idle.connection.sender.is_closed()
        };
        self.nodes.borrow_mut().values_mut().for_each(|node| node.idle.retain(keep));
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; false if there is none.
    pub fn close_longest_idle(&self) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let oldest =
            nodes.values_mut().filter(|node| !node.idle.is_empty()).min_by_key(|node| node.idle[0].since);
        oldest.map(|node| node.idle.remove(0)).is_some()
    }

    fn next_epoch(&self) -> u64 {
        self.last_epoch.set(self.last_epoch.get() + 1);
        self.last_epoch.get()
    }

    /// Waits for a permit to open a connection, or for one that has become idle meanwhile, which is returned. None if more
    /// than half of the attempt's time would go by: another node may have room sooner, and this one is not to blame.
    async fn permit(
        self: &Rc<Self>,
        server: ServerId,
        due: Instant,
        time_limit: Duration,
    ) -> Option<Option<ReservedConnection>> {
        let Some(opening) = &self.opening else { return Some(None) };
        let until = due - time_limit / 2;
        loop {
            if let Some(connection) = self.take_idle(server) {
                return Some(Some(connection));
            }
            let Err(later) = opening.borrow_mut().try_acquire(server) else { return Some(None) };
            if Instant::now() + later > until || self.open_to(server).is_none() {
                return None;
            }
            sleep(later.min(PERMIT_CHECK_INTERVAL)).await;
        }
    }

    /// The address and the epoch of a node that takes new work.
    fn open_to(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&server).filter(|node| node.ready && !self.banned.borrow().contains(&server))?;
        Some((node.addr?, node.epoch))
    }

    /// The epoch of a node that takes new work.
    fn epoch(&self, server: ServerId) -> Option<u64> {
        self.open_to(server).map(|(_, epoch)| epoch)
    }

    /// The connection to a node that has become idle last, of those that can be used again.
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

    /// Keeps a connection that has just become idle for the next attempt.
    fn keep_used(&self, server: ServerId, epoch: u64, connection: Connection) {
        if !self.max_idle.is_zero() {
            self.keep(server, epoch, IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Keeps an idle connection for the next attempt, if its node is the same as when it was chosen.
    fn keep(&self, server: ServerId, epoch: u64, idle: IdleConnection) {
        if !idle.connection.is_clean() {
            return;
        }
        let mut nodes = self.nodes.borrow_mut();
        if let Some(node) = nodes.get_mut(&server).filter(|node| node.epoch == epoch && node.ready) {
            // The one that has been idle for longest stays the first.
            let at = node.idle.partition_point(|other| other.since <= idle.since);
            node.idle.insert(at, idle);
        }
    }

    /// A new connection, or what to tell of its lack. The node is not to blame for a shortage of our own.
    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Status> {
        let permit = loop {
            match self.descriptors.try_acquire() {
                Some(permit) => break permit,
                None if self.close_longest_idle() => tokio::task::yield_now().await,
                None => return Err(Status::NotSent),
            }
        };
        let make_room = || {
            self.close_longest_idle();
        };
        let connecting = tokio::time::timeout(self.connect_timeout, connect(addr, make_room)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            Ok(Err(ConnectError::Local(error))) => {
                tracing::warn!("no socket for {addr}: {error}");
                return Err(Status::NotSent);
            }
            Ok(Err(ConnectError::Remote(_))) | Err(_) => return Err(Status::ConnectFailed),
        };
        Connection::open(stream, permit).await.map_err(|_| Status::ConnectFailed)
    }
}

#[cfg(test)]
mod tests;
