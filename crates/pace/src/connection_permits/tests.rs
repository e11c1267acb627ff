use super::*;
use proptest::prelude::*;

const UNIX_NOW: Nanos = 1_000_000 * SECOND;

#[test]
fn a_fleet_that_starts_at_once_opens_connections_to_a_node_at_its_rate() {
    let (size, rate, node) = (300, 100.0, 7);
    let permits = |index| ConnectionPermits::new(FleetPosition::new(index, size), UNIX_NOW, 0);
    let mut fleet: Vec<ConnectionPermits> = (0..size).map(permits).collect();
    fleet.iter_mut().for_each(|permits| permits.add_node(0, node, rate));
    let mut by_second = [0; 6];
    for ms in 0..6000 {
        let now = ms * SECOND / 1000;
        let opened = fleet.iter_mut().filter_map(|permits| permits.try_acquire(now, node).ok()).count();
        by_second[(ms / 1000) as usize] += opened;
    }
    assert!(by_second.iter().all(|opened| (99..=101).contains(opened)), "{by_second:?}");
}

#[test]
fn at_most_one_unused_permit_is_kept() {
    let mut permits = ConnectionPermits::new(FleetPosition::new(0, 10), UNIX_NOW, 0);
    permits.add_node(0, 1, 10.0);
    assert!(permits.try_acquire(0, 1).is_err(), "there is no permit before the first slot");
    let later = 10 * SECOND;
    assert_eq!(permits.try_acquire(later, 1), Ok(()));
    let wait = permits.try_acquire(later, 1).unwrap_err();
    assert!(wait > 0 && wait <= SECOND);
    assert_eq!(permits.try_acquire(later + wait, 1), Ok(()));
}

#[test]
fn removed_and_unlisted_nodes_are_not_limited() {
    let mut permits = ConnectionPermits::new(FleetPosition::new(0, 10), UNIX_NOW, 0);
    (0..5).for_each(|node| permits.add_node(0, node, 10.0));
    permits.remove_node(0);
    permits.retain(|node| node == 4);
    assert_eq!(permits.nodes.len(), 1);
    assert_eq!((permits.try_acquire(0, 0), permits.try_acquire(0, 4).is_err()), (Ok(()), true));
}

proptest! {
    #[test]
    fn in_any_time_span_a_proxy_opens_at_most_one_connection_per_cycle_plus_one(
        steps in prop::collection::vec(0u64..3_000_000_000, 1..200), index in 0u32..20, rate in 0.5f64..500.0
    ) {
        let mut permits = ConnectionPermits::new(FleetPosition::new(index, 20), UNIX_NOW, 0);
        permits.add_node(0, 9, rate);
        let cycle = (20.0 / rate * SECOND as f64) as Nanos;
        let (mut now, mut opened) = (0, Vec::new());
        for step in steps {
            now += step;
            if permits.try_acquire(now, 9).is_ok() {
                opened.push(now);
            }
        }
        for (first, from) in opened.iter().enumerate() {
            for (last, to) in opened.iter().enumerate().skip(first) {
                prop_assert!((last - first + 1) as u64 <= (to - from) / cycle + 2, "{from}..{to}");
            }
        }
    }
}
