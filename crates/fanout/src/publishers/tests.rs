use super::*;

#[test]
fn a_call_that_is_made_again_is_known_and_another_publishers_is_not() {
    let mut publishers = Publishers::default();
    publishers.note("a", 1, 10);
    assert_eq!(publishers.seen("a", 1), Seen::Through(10));
    assert_eq!(publishers.seen("b", 1), Seen::New);
    assert_eq!(publishers.seen("a", 2), Seen::New);
}

#[test]
fn what_is_remembered_is_bounded_and_what_may_have_been_forgotten_is_said() {
    let mut publishers = Publishers::default();
    for sequence in 1..=CALLS as u64 + 5 {
        publishers.note("a", sequence, sequence);
    }
    assert_eq!(publishers.seen("a", 5), Seen::TooOld);
    assert_eq!(publishers.seen("a", 6), Seen::Through(6));
    for n in 0..PUBLISHERS + 5 {
        publishers.note(&format!("other-{n}"), 1, 1);
    }
    assert_eq!(publishers.known.len(), PUBLISHERS);
    assert_eq!(publishers.seen("a", 6), Seen::New);
}
