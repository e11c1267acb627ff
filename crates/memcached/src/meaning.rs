//! What an operation may do when it runs twice, and what a node's status says of whether it ran.
//!
//! The core knows requests by their class, and a class says whether it may run again. An operation has its own word on
//! that: a counter must not be put into a class that may be repeated at will. Whoever maps operations to classes asks here.

use crate::{Opcode, Status};
use aniseyoke_decision::api::{self, Idempotency};

/// What it would mean for an operation to run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Repeat {
    /// Nothing.
    Harmless,
    /// The value is as it should be, but the second answer says otherwise than the first: what was stored `exists`, what was
    /// deleted is `not found`.
    Misleads,
    /// It is done twice: a counter counts twice, bytes stand there twice.
    Doubles,
}

/// What it would mean for an operation to run a second time. With `cas` it is bound to a version of the value, which the
/// first run has changed.
pub fn repeat(opcode: Opcode, cas: u64) -> Repeat {
    match opcode.loud() {
        Opcode::Append | Opcode::Prepend if cas != 0 => Repeat::Misleads,
        Opcode::Increment | Opcode::Decrement | Opcode::Append | Opcode::Prepend => Repeat::Doubles,
        Opcode::Add | Opcode::Delete => Repeat::Misleads,
        Opcode::Set | Opcode::Replace if cas != 0 => Repeat::Misleads,
        _ => Repeat::Harmless,
    }
}

/// Whether a class of this effect may carry an operation. Nodes that drop repeats of keyed requests give the first answer
/// again, so that neither harm comes of one.
pub fn may_carry(effect: Idempotency, repeat: Repeat) -> bool {
    effect != Idempotency::Idempotent || repeat == Repeat::Harmless
}

/// What an answer of a node means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is the answer: the client gets it as it is, and nothing more is tried.
    Final,
    /// The node lacks the value.
    Miss,
    /// It is none; another attempt may be.
    Failed(api::Status),
}

/// What a status of a node means for an operation.
pub fn outcome(opcode: Opcode, status: Option<Status>) -> Outcome {
    match status {
        Some(Status::NotFound) if opcode.retrieves() => Outcome::Miss,
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
        // Turned away before it was looked at: it never ran.
        Some(Status::Busy | Status::Temporary | Status::NoMemory | Status::WrongBucket) => {
            Outcome::Failed(api::Status::Rejected)
        }
        // The operators' own slip; it never ran, and says nothing good of the node.
        Some(Status::AuthError | Status::AuthContinue) => Outcome::Failed(api::Status::ConnectFailed),
        // It may have run.
        Some(Status::Internal) | None => Outcome::Failed(api::Status::Error),
    }
}

/// Whether a request is answered at all: of quiet forms only what its client does not expect is.
pub fn answered(opcode: Opcode, status: Status) -> bool {
    let expected = if opcode.retrieves() { Status::NotFound } else { Status::Ok };
    !opcode.quiet() || status != expected
}

/// What a client is told where no node's answer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not done, a repeat is harmless.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// There was no answer in time; it may have run.
    Overdue,
    /// No node and not the origin has the value.
    Missing,
}

/// The status that tells it.
pub fn told(verdict: Verdict) -> Status {
    match verdict {
        Verdict::Refused => Status::Temporary,
        Verdict::Failed | Verdict::Overdue => Status::Internal,
        Verdict::Missing => Status::NotFound,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::opcode;
    use strum::VariantArray;

    /// Danger: a counter in a class that is repeated at will counts twice after one lost answer.
    #[test]
    fn what_doubles_or_misleads_is_carried_by_no_class_that_is_repeated_at_will() {
        let carried: Vec<Opcode> = Opcode::VARIANTS
            .iter()
            .copied()
            .filter(|o| {
                !o.quiet()
                    && may_carry(Idempotency::Idempotent, repeat(*o, 0))
                    && o.key() == opcode::Presence::Must
            })
            .collect();
        use Opcode::*;
        assert_eq!(carried, [Get, Set, Replace, GetK, Touch, Gat, SaslAuth, SaslStep, GatK]);
        assert!(Opcode::VARIANTS
            .iter()
            .copied()
            .all(|o| may_carry(Idempotency::NonIdempotent, repeat(o, 9))));
        assert!(!may_carry(Idempotency::Idempotent, repeat(SetQ, 1)), "it is bound to a version");
        assert!(Opcode::VARIANTS.iter().copied().all(|o| repeat(o, 0) == repeat(o.loud(), 0)));
    }

    /// Danger: a status that is taken for "it never ran" when it may have lets a request run twice.
    #[test]
    fn only_what_was_turned_away_unseen_counts_as_never_run() {
        for status in Status::VARIANTS.iter().copied().map(Some).chain([None]) {
            let never_ran = match outcome(Opcode::Increment, status) {
                Outcome::Final => false,
                Outcome::Miss => panic!("a counter is no read"),
                Outcome::Failed(told) => told.never_ran(),
            };
            use Status::*;
            let turned_away = [Busy, Temporary, NoMemory, WrongBucket, AuthError, AuthContinue];
            assert_eq!(never_ran, status.is_some_and(|s| turned_away.contains(&s)), "{status:?}");
        }
        assert_eq!(outcome(Opcode::GatKQ, Some(Status::NotFound)), Outcome::Miss);
    }

    #[test]
    fn quiet_forms_leave_out_what_their_client_expects() {
        assert!(!answered(Opcode::GetQ, Status::NotFound) && answered(Opcode::GetQ, Status::Ok));
        assert!(!answered(Opcode::SetQ, Status::Ok) && answered(Opcode::SetQ, Status::Internal));
        assert!(answered(Opcode::Get, Status::NotFound) && answered(Opcode::Set, Status::Ok));
        for verdict in [Verdict::Refused, Verdict::Failed, Verdict::Overdue] {
            assert!(answered(Opcode::GetQ, told(verdict)) && answered(Opcode::SetQ, told(verdict)));
        }
    }
}
