use super::*;

#[test]
fn no_more_is_reserved_than_the_budget() {
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
