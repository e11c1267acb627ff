//! What callers and [`super::Limits`] tell each other.

use aniseyoke_decision::api::{Nanos, RequestId, ServerId, Status};

/// An attempt: its request and its number within the request, from 0.
pub type AttemptId = (RequestId, usize);

/// Asks for admission of an attempt at its node.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// The server it is to be sent to.
    pub server: ServerId,
    /// Index into the settings' classes.
    pub class: usize,
    /// Index into the settings' tenants.
    pub tenant: Option<usize>,
    /// When its answer is of no use any more.
    pub deadline: Nanos,
}

/// The answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is capacity: start it now.
    Admitted,
    /// It waits in the node's queue. Call [`super::Limits::wait_expired`] after this time.
    Queued(Nanos),
    /// There is no capacity, and none in time: it ends as rejected and never executed.
    Rejected,
}

/// What is to be done with an attempt that waited in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// Start it now.
    Start(AttemptId),
    /// Its wait is over: it ends as rejected and never executed.
    Reject(AttemptId),
}

/// An attempt that was started and has ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    /// The server it was sent to.
    pub server: ServerId,
    /// Index into the settings' classes.
    pub class: usize,
    /// How it ended.
    pub status: Status,
    /// Time since its start.
    pub elapsed: Nanos,
    /// Whether it was a cache hit, if the node reports that.
    pub cache_hit: Option<bool>,
}

/// What a removal of all limits sets free.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Attempts that waited, in order of their ids; they may start now.
    pub waiting: Vec<AttemptId>,
    /// Servers that had a limit.
    pub servers: Vec<ServerId>,
}
