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

/// Guards against memory that is counted as free while a slow reader's write queue holds it.
#[test]
fn data_keeps_its_reservation_until_its_last_part_is_dropped() {
    let budget = Budget::new(100);
    let data = budget.reserve(100).expect("room").hold(vec![7; 60]);
    assert!(budget.reserve(41).is_none() && budget.reserve(40).is_some());
    let part = data.slice(50..);
    drop(data);
    assert!(budget.reserve(41).is_none());
    assert_eq!(part.as_ref(), [7; 10]);
    drop(part);
    assert!(budget.reserve(100).is_some());
}
