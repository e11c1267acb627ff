use super::*;
use crate::opcode;
use strum::VariantArray;

/// Guards against a counter in an idempotent class, which counts twice after one lost response.
#[test]
fn operations_that_are_not_idempotent_are_allowed_in_no_idempotent_class() {
    let allowed: Vec<Opcode> = Opcode::VARIANTS
        .iter()
        .copied()
        .filter(|o| {
            !o.is_quiet()
                && class_allows(Idempotency::Idempotent, repeat_effect(*o, 0))
                && o.key() == opcode::Presence::Required
        })
        .collect();
    use Opcode::*;
    assert_eq!(allowed, [Get, Set, Replace, GetK, Touch, Gat, SaslAuth, SaslStep, GatK]);
    assert!(Opcode::VARIANTS
        .iter()
        .copied()
        .all(|o| class_allows(Idempotency::NonIdempotent, repeat_effect(o, 9))));
    assert!(!class_allows(Idempotency::Idempotent, repeat_effect(SetQ, 1)), "it is bound to a version");
    assert!(Opcode::VARIANTS
        .iter()
        .copied()
        .all(|o| repeat_effect(o, 0) == repeat_effect(o.without_quiet(), 0)));
}

/// Guards against a status that wrongly counts as "not executed": a retry would execute the request twice.
#[test]
fn only_statuses_of_rejections_count_as_not_executed() {
    for status in Status::VARIANTS.iter().copied().map(Some).chain([None]) {
        let not_executed = match outcome(Opcode::Increment, status) {
            Outcome::Final => false,
            Outcome::Miss => panic!("a counter operation is not a retrieval"),
            Outcome::Failed(status) => status.never_ran(),
        };
        use Status::*;
        let rejected = [Busy, Temporary, NoMemory, WrongBucket, AuthError, AuthContinue];
        assert_eq!(not_executed, status.is_some_and(|s| rejected.contains(&s)), "{status:?}");
    }
    assert_eq!(outcome(Opcode::GatKQ, Some(Status::NotFound)), Outcome::Miss);
}

#[test]
fn quiet_requests_get_no_response_that_their_client_expects() {
    assert!(!has_response(Opcode::GetQ, Status::NotFound) && has_response(Opcode::GetQ, Status::Ok));
    assert!(!has_response(Opcode::SetQ, Status::Ok) && has_response(Opcode::SetQ, Status::Internal));
    assert!(has_response(Opcode::Get, Status::NotFound) && has_response(Opcode::Set, Status::Ok));
    for verdict in [Verdict::Rejected, Verdict::Failed, Verdict::TimedOut] {
        assert!(
            has_response(Opcode::GetQ, status_of(verdict)) && has_response(Opcode::SetQ, status_of(verdict))
        );
    }
}
