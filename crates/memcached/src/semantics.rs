//! What a second execution of an operation would do, and what a node's status says of whether an operation was executed.
//!
//! The core knows requests by their class, and a class says whether a request is idempotent. An operation may contradict
//! that: a counter must not be in a class of idempotent requests. Whoever maps operations to classes asks here.

use crate::{Opcode, Status};
use aniseyoke_decision::api::{self, Idempotency};

/// What it would mean to execute an operation a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatEffect {
    /// Nothing: the operation is idempotent.
    Harmless,
    /// The value is as it should be, but the second response contradicts the first: a value that was stored `exists`, a value
    /// that was deleted is `not found`.
    MisleadingResponse,
    /// The change is applied twice: a counter counts twice, bytes are appended twice.
    AppliedTwice,
}

/// What it would mean to execute an operation a second time. With `cas` it is bound to a version of the value, which the
/// first execution has changed.
pub fn repeat_effect(opcode: Opcode, cas: u64) -> RepeatEffect {
    match opcode.without_quiet() {
        Opcode::Append | Opcode::Prepend if cas != 0 => RepeatEffect::MisleadingResponse,
        Opcode::Increment | Opcode::Decrement | Opcode::Append | Opcode::Prepend => {
            RepeatEffect::AppliedTwice
        }
        Opcode::Add | Opcode::Delete => RepeatEffect::MisleadingResponse,
        Opcode::Set | Opcode::Replace if cas != 0 => RepeatEffect::MisleadingResponse,
        _ => RepeatEffect::Harmless,
    }
}

/// Whether an operation may be in a class of this effect. Nodes that deduplicate requests with idempotency keys repeat the
/// first response, so that a second attempt does no harm there.
pub fn class_allows(effect: Idempotency, repeat: RepeatEffect) -> bool {
    effect != Idempotency::Idempotent || repeat == RepeatEffect::Harmless
}

/// What a response of a node means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is the final response: the client gets it as it is.
    Final,
    /// The node does not have the value.
    Miss,
    /// The attempt failed; another may be made.
    Failed(api::Status),
}

/// What a status of a node means for an operation.
pub fn outcome(opcode: Opcode, status: Option<Status>) -> Outcome {
    match status {
        Some(Status::NotFound) if opcode.is_retrieval() => Outcome::Miss,
        Some(
            Status::Ok
            | Status::NotFound
            | Status::Exists
            | Status::NotStored
            | Status::NotNumber
            | Status::TooLarge
            | Status::Invalid
            | Status::NotSupported
            | Status::Unknown,
        ) => Outcome::Final,
        // Rejected before it was looked at: it was not executed.
        Some(Status::Busy | Status::Temporary | Status::NoMemory | Status::WrongBucket) => {
            Outcome::Failed(api::Status::Rejected)
        }
        // A mistake of the operators; it was not executed, and the node can't be used.
        Some(Status::AuthError | Status::AuthContinue) => Outcome::Failed(api::Status::ConnectFailed),
        // It may have been executed.
        Some(Status::Internal) | None => Outcome::Failed(api::Status::Error),
    }
}

/// Whether a request gets a response at all: a quiet one gets only those that its client does not expect.
pub fn has_response(opcode: Opcode, status: Status) -> bool {
    let expected = if opcode.is_retrieval() { Status::NotFound } else { Status::Ok };
    !opcode.is_quiet() || status != expected
}

/// How a request ended for which there is no response of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was not executed; a retry is harmless.
    Rejected,
    /// It failed, and may have been executed.
    Failed,
    /// There was no response in time; it may have been executed.
    TimedOut,
    /// Neither a node nor the origin has the value.
    NotFound,
}

/// The status that the client gets.
pub fn status_of(verdict: Verdict) -> Status {
    match verdict {
        Verdict::Rejected => Status::Temporary,
        Verdict::Failed | Verdict::TimedOut => Status::Internal,
        Verdict::NotFound => Status::NotFound,
    }
}

#[cfg(test)]
mod tests;
