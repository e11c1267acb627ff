use super::*;

#[test]
fn a_number_is_completed_when_the_last_member_has_it() {
    let mut tally = CompletionTally::new(3);
    tally.record(0, 2, 10);
    tally.record(1, 1, 20);
    tally.record(2, 2, 30);
    assert_eq!(
        (tally.completed_at(1), tally.completed_at(2), tally.completed_at(3), tally.completed_at(0)),
        (Some(30), None, None, None)
    );
    assert_eq!((tally.reached_by_all(), tally.newest()), (1, 2));
    assert_eq!(tally.lacking(2).collect::<Vec<_>>(), [(1, 1)]);
    tally.record(1, 2, 40);
    // Repeated and older records change nothing.
    tally.record(0, 2, 99);
    tally.record(0, 1, 99);
    assert_eq!(
        (tally.completed_at(1), tally.completed_at(2), tally.reached_by_all()),
        (Some(30), Some(40), 2)
    );
}

#[test]
fn numbers_that_do_not_apply_to_a_member_neither_delay_nor_set_the_completion_time() {
    let mut tally = CompletionTally::new(2);
    tally.record(0, 5, 10);
    tally.record_not_applicable(1, 4);
    tally.record(1, 5, 50);
    assert_eq!((tally.completed_at(4), tally.completed_at(5)), (Some(10), Some(50)));
}

#[test]
fn a_merged_tally_covers_the_members_of_both() {
    let (mut a, mut b) = (CompletionTally::new(1), CompletionTally::new(2));
    a.record(0, 3, 7);
    b.record(0, 3, 9);
    b.record(1, 2, 8);
    a.merge(b);
    assert_eq!((a.members(), a.completed_at(2), a.completed_at(3)), (3, Some(9), None));
    assert_eq!(a.lacking(3).collect::<Vec<_>>(), [(2, 2)]);
}

#[test]
fn numbers_above_the_maximum_and_unknown_members_allocate_nothing() {
    let mut tally = CompletionTally::new(1);
    tally.record(0, u64::MAX, 1);
    tally.record(7, 3, 1);
    assert_eq!((tally.newest(), tally.beyond, tally.reached_by_all()), (0, 1, 0));
}
