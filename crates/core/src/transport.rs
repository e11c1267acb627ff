//! What the engine needs of the side that talks to nodes: a request that it can't look into, attempts that carry that
//! request, and the nodes of the endpoint list. A transport speaks some protocol; the engine knows none.

use crate::endpoint_list::Endpoint;
use aniseyoke_decision::api::{Load, ServerId, Status};
use std::future::Future;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

/// A client's request as it is forwarded to any node, in the transport's own terms.
pub trait Job: 'static {
    /// The key as its client wrote it, for routes by prefix; empty where it has none.
    fn key(&self) -> &[u8];

    /// Whether a part of the client's body is still to come.
    fn body_pending(&self) -> bool;

    /// Has `callback` called once the last byte of the client's body has come, if it is still to come.
    fn on_body_received(&self, callback: impl FnOnce() + 'static);

    /// Returns once the last byte of the request has come from its client, and never if it does not. It must not hold
    /// the job itself, or the wait would keep the client's connection.
    fn body_received(job: Weak<Self>) -> impl Future<Output = ()>;
}

/// The engine's handle on an attempt in flight.
pub trait AttemptHandle: Default + 'static {
    /// The request is over: what is not written yet must stay unwritten.
    fn forbid_writing(&self);

    /// What is not written yet so long after `since` must stay unwritten: the node would no longer recognize a retry by its
    /// idempotency key.
    fn forbid_writing_after(&self, since: Instant, time: Duration);

    /// Ends the attempt now, and its connection with it.
    fn abort(&self);
}

/// How an attempt ended.
pub struct AttemptOutcome<R> {
    /// How it ended, with what that tells of whether it was executed.
    pub status: Status,
    /// Whether it was a cache hit, where the node reports that.
    pub hit: Option<bool>,
    /// The node's load report, if one came with the answer.
    pub load: Option<Load>,
    /// The answer, where it was served.
    pub answer: Option<R>,
}

impl<R> From<Status> for AttemptOutcome<R> {
    fn from(status: Status) -> Self {
        AttemptOutcome { status, hit: None, load: None, answer: None }
    }
}

/// The nodes of the endpoint list, and attempts on them.
pub trait Transport: 'static {
    /// A request as attempts carry it.
    type Job: Job;
    /// A node's answer on its way to the client.
    type Reply: 'static;
    /// The handle on an attempt.
    type Handle: AttemptHandle;

    /// Applies an update of the endpoint list. After a `complete` one the nodes that it does not name are gone.
    fn update_endpoints(&self, complete: bool, endpoints: &[Endpoint]);

    /// Bans a node by an operator's order, or lifts the ban; what is about to be written there must stay unwritten.
    fn set_banned(&self, server: ServerId, banned: bool);

    /// Whether any node takes requests.
    fn any_ready(&self) -> bool;

    /// Closes the connections to a node that carry no attempt.
    fn close_idle(&self, server: ServerId);

    /// Makes one attempt, which may take `time_limit` from `since` on, or from the last byte of the request where a part of
    /// it is still to come.
    fn attempt(
        self: Rc<Self>,
        server: ServerId,
        job: Rc<Self::Job>,
        since: Instant,
        time_limit: Duration,
        handle: Rc<Self::Handle>,
    ) -> impl Future<Output = AttemptOutcome<Self::Reply>> + 'static;
}
