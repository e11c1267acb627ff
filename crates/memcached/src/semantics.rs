//! The effect of executing an operation twice, and whether a node's status means that the operation was
//! executed.
//!
//! The core takes from the class of a request whether it is idempotent. An operation may contradict its
//! class: a counter must not be in a class of idempotent requests. [`class_allows`] checks a mapping of
//! operations to classes.

use crate::{Opcode, Status};
use aniseyoke_decision::api::{self, Idempotency};

/// The effect of executing an operation a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RepeatEffect {
    /// None: the operation is idempotent.
    Harmless,
    /// The stored value is correct, but the second response contradicts the first: a value that was stored
    /// `exists`, a value that was deleted is `not found`.
    MisleadingResponse,
    /// The change is applied twice: a counter changes twice, bytes are appended twice.
    AppliedTwice,
}

/// Returns the effect of executing an operation a second time. A `cas` other than 0 binds the operation to a
/// version of the value, which the first execution changes.
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

/// Whether an operation may be in a class with this idempotency. Nodes that deduplicate requests with
/// idempotency keys repeat the first response, so any operation is allowed there.
pub fn class_allows(idempotency: Idempotency, effect: RepeatEffect) -> bool {
    idempotency != Idempotency::Idempotent || effect == RepeatEffect::Harmless
}

/// The meaning of a response of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response is final and goes to the client unchanged.
    Final,
    /// The node does not have the value.
    Miss,
    /// The attempt failed; it may be retried.
    Failed(api::Status),
}

/// Returns the meaning of a node's status for an operation; `None` is an unknown status.
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
        // The node rejected the request before executing it.
        Some(Status::Busy | Status::Temporary | Status::NoMemory | Status::WrongBucket) => {
            Outcome::Failed(api::Status::Rejected)
        }
        // Wrong credentials in the configuration: the request was not executed, and the node can't be used.
        Some(Status::AuthError | Status::AuthContinue) => Outcome::Failed(api::Status::ConnectFailed),
        // The request may have been executed.
        Some(Status::Internal) | None => Outcome::Failed(api::Status::Error),
    }
}

/// Whether a request gets a response with this status: a quiet request gets none with the status that its
/// client expects.
pub fn has_response(opcode: Opcode, status: Status) -> bool {
    let expected = if opcode.is_retrieval() { Status::NotFound } else { Status::Ok };
    !opcode.is_quiet() || status != expected
}

/// The outcome of a request that has no response of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request was not executed; it is safe to retry.
    Rejected,
    /// The request failed and may have been executed.
    Failed,
    /// There was no response in time; the request may have been executed.
    TimedOut,
    /// Neither a node nor the origin has the value.
    NotFound,
}

/// Returns the status for the response to the client.
pub fn status_of(verdict: Verdict) -> Status {
    match verdict {
        Verdict::Rejected => Status::Temporary,
        Verdict::Failed | Verdict::TimedOut => Status::Internal,
        Verdict::NotFound => Status::NotFound,
    }
}

#[cfg(test)]
mod tests;
