use super::*;
use std::time::Duration;

const MS: Nanos = 1_000_000;

fn queue(max_length: usize) -> Queue<u32> {
    let (interval, target) = (Duration::from_millis(100), Duration::from_millis(5));
    Queue::new(QueueConfig { max_length, interval, target })
}

fn priority(weight: f64, enqueued_at: Nanos) -> QueuePriority {
    QueuePriority { weight, enqueued_at, deadline: enqueued_at + 1000 * MS, within_quota: true, tenant: None }
}

#[test]
fn the_highest_weight_is_served_first_and_the_first_among_equals() {
    let mut queue = queue(8);
    for (n, weight) in [(0, 1.0), (1, 5.0), (2, 1.0), (3, 5.0)] {
        assert_eq!(queue.push(n, priority(weight, u64::from(n))), Ok(None));
    }
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(10, Eligible::All)).map(|(n, _)| n).collect();
    assert_eq!(order, [1, 3, 0, 2]);
}

#[test]
fn a_full_queue_evicts_the_lowest_weight_and_rejects_an_attempt_of_equal_weight() {
    let mut q = queue(2);
    assert_eq!(q.push(0, priority(2.0, 0)), Ok(None));
    assert_eq!(q.push(1, priority(1.0, 1)), Ok(None));
    assert_eq!(q.push(2, priority(1.0, 2)), Err(QueueFull));
    assert_eq!(q.push(3, priority(1.5, 3)), Ok(Some(1)));
    assert_eq!(q.len(), 2);
    assert_eq!(queue(0).push(0, priority(9.0, 0)), Err(QueueFull), "the maximum length is 0");
}

#[test]
fn of_two_with_equal_weight_the_one_with_less_time_left_is_evicted() {
    let mut queue = queue(2);
    let short = QueuePriority { deadline: 10 * MS, ..priority(1.0, 0) };
    queue.push(0, priority(1.0, 0)).unwrap();
    queue.push(1, short).unwrap();
    assert_eq!(queue.push(2, priority(2.0, 0)), Ok(Some(1)));
}

/// Guards against serving a queue that never becomes empty in order of arrival, so that every answer is late.
#[test]
fn a_standing_queue_bounds_the_wait_by_the_target_and_serves_the_newest_first() {
    let mut queue = queue(8);
    queue.push(0, priority(1.0, 0)).unwrap();
    assert_eq!(queue.max_wait(50 * MS, 0), 100 * MS, "a burst");
    queue.push(1, priority(1.0, 60 * MS)).unwrap();
    queue.push(2, priority(1.0, 150 * MS)).unwrap();
    assert_eq!(queue.max_wait(150 * MS, 0), 5 * MS, "a standing queue");
    assert_eq!(queue.max_wait(150 * MS, 20 * MS), 20 * MS, "no capacity is freed sooner");
    assert_eq!(queue.pop(150 * MS, Eligible::All).map(|(n, _)| n), Some(2));
    while queue.pop(160 * MS, Eligible::All).is_some() {}
    queue.push(3, priority(1.0, 170 * MS)).unwrap();
    assert_eq!(queue.max_wait(170 * MS, 0), 100 * MS, "a burst, since the queue was empty");
}

#[test]
fn attempts_over_quota_wait_while_only_those_within_quota_may_start() {
    let mut queue = queue(8);
    queue.push(0, QueuePriority { within_quota: false, ..priority(9.0, 0) }).unwrap();
    assert_eq!(queue.pop(1, Eligible::WithinQuota), None);
    queue.push(1, priority(1.0, 0)).unwrap();
    assert_eq!(queue.pop(1, Eligible::WithinQuota).map(|(n, _)| n), Some(1));
    assert_eq!(queue.pop(1, Eligible::All).map(|(n, _)| n), Some(0));
}

/// Guards against a burst of one tenant, within its quota, that fills the queue ahead of the other tenants'
/// attempts.
#[test]
fn among_equals_the_tenant_with_the_fewest_is_served_first_and_the_one_with_the_most_is_evicted() {
    let mut queue = queue(4);
    let of_tenant =
        |tenant, enqueued_at| QueuePriority { tenant: Some(tenant), ..priority(1.0, enqueued_at) };
    (0..4).for_each(|n| assert_eq!(queue.push(n, of_tenant(0, u64::from(n))), Ok(None)));
    assert_eq!(queue.push(4, of_tenant(1, 4)), Ok(Some(0)));
    assert_eq!(queue.push(5, of_tenant(0, 5)), Err(QueueFull), "the tenant already has the most waiting");
    assert_eq!(queue.pop(6, Eligible::All).map(|(n, _)| n), Some(4));
    assert_eq!(queue.pop(6, Eligible::All).map(|(n, _)| n), Some(1));
}

#[test]
fn a_removed_attempt_is_no_longer_in_the_queue() {
    let mut queue = queue(8);
    queue.push(0, priority(1.0, 0)).unwrap();
    assert!(queue.remove(1, 0) && !queue.remove(1, 0) && queue.is_empty());
}
