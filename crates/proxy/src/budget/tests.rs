use super::*;

#[test]
fn reservations_never_exceed_the_limit() {
    let budget = Budget::new(100);
    let mut first = budget.reserve(80).expect("room");
    assert!(budget.reserve(21).is_none() && budget.reserve(usize::MAX).is_none());
    first.shrink(30);
    let second = budget.reserve(70).expect("room");
    assert!(budget.reserve(1).is_none());
    drop(first);
    budget.set_limit(70);
    assert!(budget.reserve(1).is_none());
    drop(second);
    assert!(budget.reserve(70).is_some());
}
