//! The interface between the engine and the code that communicates with nodes: an opaque request, attempts
//! that carry it, and the nodes of the endpoint list. The transport implements the protocol; the engine does
//! not depend on it.

use crate::endpoint_list::Endpoint;
use aniseyoke_decision::api::{Load, ServerId, Status};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// A client's request as it is forwarded to nodes, in the transport's own representation.
pub trait Job: 'static {
    /// Returns the key as the client sent it, for routes by prefix; empty if the request has none.
    fn key(&self) -> &[u8];

    /// Whether part of the request body has not been received yet.
    fn body_pending(&self) -> bool;

    /// Calls `callback` once the last byte of the request body is received, if it has not been received yet,
    /// with the time from which the time limits of the request count.
    fn on_body_received(&self, callback: impl FnOnce(Instant) + 'static);

    /// Completes once the last byte of the request is received from the client, or never if it is not
    /// received, with the time from which the time limits of the request count. The future must not hold a
    /// strong reference to the job, which would keep the client's connection open.
    fn body_received(job: Weak<Self>) -> impl Future<Output = Instant>;
}

/// How long an attempt whose answer has begun to arrive may still take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseWait {
    /// When the time limit starts; `None`: with the last byte of the request, which is still to come.
    pub since: Option<Instant>,
    /// The time allowed.
    pub time_limit: Duration,
    /// The longest time without a further byte of the answer; `None`: no limit.
    pub max_pause: Option<Duration>,
}

/// The engine's handle on an attempt in flight.
pub trait AttemptHandle: Default + 'static {
    /// Calls `callback` once the first byte of the node's answer has been read. The attempt must not hold the
    /// engine's state borrowed then.
    fn on_response_started(&self, callback: impl FnOnce() + 'static);

    /// Replaces the time limit of an attempt whose answer has begun to arrive.
    fn await_response(&self, wait: ResponseWait);

    /// Forbids all further writes of the attempt, because the request has ended.
    fn forbid_writing(&self);

    /// Forbids writes once `time` has passed after `since`, because the node would no longer recognize a
    /// retry by its idempotency key.
    fn forbid_writing_after(&self, since: Instant, time: Duration);

    /// Aborts the attempt immediately and closes its connection.
    fn abort(&self);
}

/// How an attempt ended.
pub struct AttemptOutcome<R> {
    /// The status, which also shows whether the attempt may have been executed.
    pub status: Status,
    /// Whether it was a cache hit; `None` if the node does not report that.
    pub hit: Option<bool>,
    /// The node's load report, if the answer included one.
    pub load: Option<Load>,
    /// The answer, if the attempt was served.
    pub answer: Option<R>,
}

impl<R> From<Status> for AttemptOutcome<R> {
    fn from(status: Status) -> Self {
        AttemptOutcome { status, hit: None, load: None, answer: None }
    }
}

/// The nodes of the endpoint list, and attempts on them.
pub trait Transport: 'static {
    /// The request that attempts carry.
    type Job: Job;
    /// A node's answer, to be passed to the client.
    type Reply: 'static;
    /// The handle on an attempt in flight.
    type Handle: AttemptHandle;

    /// Applies an update of the endpoint list. A `complete` update removes the nodes that it does not
    /// contain.
    fn update_endpoints(&self, complete: bool, endpoints: &[Endpoint]);

    /// Bans a node on behalf of an operator, or lifts the ban. Nothing may be written to a banned node,
    /// including attempts that have already been started.
    fn set_banned(&self, server: ServerId, banned: bool);

    /// Whether any node accepts requests.
    fn any_ready(&self) -> bool;

    /// Closes the idle connections to a node.
    fn close_idle(&self, server: ServerId);

    /// Makes one attempt. Its `time_limit` counts from `since`, or from the last byte of the request if part
    /// of it has not been received yet; it ends with the first byte of the answer if the engine then sets
    /// another one.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        job: Rc<Self::Job>,
        since: Instant,
        time_limit: Duration,
        handle: Rc<Self::Handle>,
    ) -> impl Future<Output = AttemptOutcome<Self::Reply>> + 'static;
}
