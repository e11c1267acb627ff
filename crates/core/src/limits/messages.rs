//! Types exchanged between [`super::Limits`] and its callers.

use aniseyoke_decision::api::{Nanos, RequestId, ServerId, Status};

/// An attempt: its request and its number within the request, from 0.
pub type AttemptId = (RequestId, usize);

/// A request for admission of an attempt at its node.
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
    /// When its answer would be too late for the client.
    pub deadline: Nanos,
}

/// The result of an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// There is capacity: the caller starts the attempt now.
    Admitted,
    /// The attempt waits in the node's queue. The caller calls [`super::Limits::wait_expired`] after this
    /// time.
    Queued(Nanos),
    /// There is no capacity and no place in the queue: the attempt ends as rejected and never executed.
    Rejected,
}

/// An action to take on an attempt that waited in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueAction {
    /// Start the attempt now.
    Start(AttemptId),
    /// End the attempt as rejected and never executed.
    Reject(AttemptId),
}

/// An attempt that was started and has ended.
#[derive(Clone, Copy, Debug)]
pub struct CompletedAttempt {
    /// The server it was sent to.
    pub server: ServerId,
    /// Index into the settings' classes.
    pub class: usize,
    /// The status with which it ended.
    pub status: Status,
    /// Time since its start.
    pub elapsed: Nanos,
    /// Whether it was a cache hit, if the node reports that.
    pub cache_hit: Option<bool>,
}

/// The attempts and servers that are released when all limits are removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Released {
    /// Attempts that waited, in order of their ids; they may start now.
    pub waiting: Vec<AttemptId>,
    /// Servers that had a limit.
    pub servers: Vec<ServerId>,
}
