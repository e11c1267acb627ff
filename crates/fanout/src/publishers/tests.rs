use super::*;

#[test]
fn a_retried_call_is_known_and_the_same_sequence_of_another_publisher_is_new() {
    let mut publishers = Publishers::default();
    publishers.record("a", 1, 10);
    assert_eq!(publishers.status("a", 1), CallStatus::Numbered(10));
    assert_eq!(publishers.status("b", 1), CallStatus::New);
    assert_eq!(publishers.status("a", 2), CallStatus::New);
}

#[test]
fn calls_are_bounded_and_an_evicted_one_is_expired() {
    let mut publishers = Publishers::default();
    for sequence in 1..=MAX_CALLS as u64 + 5 {
        publishers.record("a", sequence, sequence);
    }
    assert_eq!(publishers.status("a", 5), CallStatus::Expired);
    assert_eq!(publishers.status("a", 6), CallStatus::Numbered(6));
    for n in 0..MAX_PUBLISHERS + 5 {
        publishers.record(&format!("other-{n}"), 1, 1);
    }
    assert_eq!(publishers.histories.len(), MAX_PUBLISHERS);
    assert_eq!(publishers.status("a", 6), CallStatus::New);
}
