use super::*;

fn stamp(number: u64) -> Stamp {
    Stamp { epoch: 1, number }
}

fn begin(number: u64) -> Record {
    Record::Begin { change: Change { stamp: stamp(number), digest: "d".into() } }
}

#[test]
fn of_two_concurrent_changes_one_wins_and_the_error_of_the_other_names_it() {
    let mut log = Log::default();
    assert_eq!(log.apply(begin(1)), Ok(()));
    let lost = log.apply(begin(2)).expect_err("another one is pending");
    assert_eq!(lost, RecordError::Conflict { stamp: stamp(2), winner: stamp(1) });
    assert!(lost.to_string().contains("version 1.2 lost to version 1.1"));
    assert_eq!(log.apply(Record::Commit { stamp: stamp(1) }), Ok(()));
    assert_eq!(log.apply(begin(1)), Err(RecordError::Outdated { stamp: stamp(1), newest: stamp(1) }));
}

#[test]
fn a_decision_is_final() {
    let mut log = Log::default();
    log.apply(begin(1)).expect("accepted");
    log.apply(Record::Commit { stamp: stamp(1) }).expect("accepted");
    let abort = |number| Record::Abort { stamp: stamp(number), reason: "é".repeat(MAX_REASON_BYTES) };
    assert_eq!(log.apply(abort(1)), Err(RecordError::NotPending(stamp(1))));
    assert_eq!(log.committed().map(|c| c.stamp), Some(stamp(1)));
    log.apply(begin(2)).expect("accepted");
    log.apply(abort(2)).expect("accepted");
    assert_eq!(log.apply(Record::Commit { stamp: stamp(2) }), Err(RecordError::NotPending(stamp(2))));
    assert_eq!(log.committed().map(|c| c.stamp), Some(stamp(1)));
    assert!(log.abort_reason(stamp(2)).is_some_and(|reason| reason.len() <= MAX_REASON_BYTES));
    for number in 3..200 {
        log.apply(begin(number)).expect("accepted");
        log.apply(abort(number)).expect("accepted");
    }
    assert_eq!(log.aborted.len(), MAX_ABORTED);
}
