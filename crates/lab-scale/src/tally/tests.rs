use super::*;

#[test]
fn a_number_is_done_when_the_last_member_has_it() {
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
    // Told again, it changes nothing.
    tally.record(0, 2, 99);
    tally.record(0, 1, 99);
    assert_eq!(
        (tally.completed_at(1), tally.completed_at(2), tally.reached_by_all()),
        (Some(30), Some(40), 2)
    );
}

#[test]
fn what_does_not_concern_a_new_member_is_not_waited_for_and_sets_no_time() {
    let mut tally = CompletionTally::new(2);
    tally.record(0, 5, 10);
    tally.record_not_applicable(1, 4);
    tally.record(1, 5, 50);
    assert_eq!((tally.completed_at(4), tally.completed_at(5)), (Some(10), Some(50)));
}

#[test]
fn two_sets_joined_are_as_one() {
    let (mut a, mut b) = (CompletionTally::new(1), CompletionTally::new(2));
    a.record(0, 3, 7);
    b.record(0, 3, 9);
    b.record(1, 2, 8);
    a.merge(b);
    assert_eq!((a.members(), a.completed_at(2), a.completed_at(3)), (3, Some(9), None));
    assert_eq!(a.lacking(3).collect::<Vec<_>>(), [(2, 2)]);
}

#[test]
fn numbers_past_the_bound_and_unknown_members_take_no_room() {
    let mut tally = CompletionTally::new(1);
    tally.record(0, u64::MAX, 1);
    tally.record(7, 3, 1);
    assert_eq!((tally.newest(), tally.beyond, tally.reached_by_all()), (0, 1, 0));
}
