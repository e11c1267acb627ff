use super::*;
use proptest::prelude::*;

const UNIX: Nanos = 1_000_000 * SECOND;

#[test]
fn a_fleet_that_starts_at_once_opens_a_node_at_its_rate() {
    let (of, rate, node) = (300, 100.0, 7);
    let mut fleet: Vec<Opens> = (0..of).map(|me| Opens::new(Place::new(me, of), UNIX, 0)).collect();
    fleet.iter_mut().for_each(|o| o.listed(0, node, rate));
    let mut by_second = [0; 6];
    for ms in 0..6000 {
        let now = ms * SECOND / 1000;
        let opened = fleet.iter_mut().filter_map(|o| o.take(now, node).ok()).count();
        by_second[(ms / 1000) as usize] += opened;
    }
    assert!(by_second.iter().all(|n| (99..=101).contains(n)), "{by_second:?}");
}

#[test]
fn one_that_was_not_used_is_kept_and_no_more_than_one() {
    let mut opens = Opens::new(Place::new(0, 10), UNIX, 0);
    opens.listed(0, 1, 10.0);
    assert!(opens.take(0, 1).is_err(), "its first slot has not come");
    let later = 10 * SECOND;
    assert_eq!(opens.take(later, 1), Ok(()));
    let wait = opens.take(later, 1).unwrap_err();
    assert!(wait > 0 && wait <= SECOND);
    assert_eq!(opens.take(later + wait, 1), Ok(()));
}

#[test]
fn nodes_that_are_gone_are_forgotten_and_unlisted_ones_are_free() {
    let mut opens = Opens::new(Place::new(0, 10), UNIX, 0);
    (0..5).for_each(|n| opens.listed(0, n, 10.0));
    opens.gone(0);
    opens.retain(|n| n == 4);
    assert_eq!(opens.nodes.len(), 1);
    assert_eq!((opens.take(0, 0), opens.take(0, 4).is_err()), (Ok(()), true));
}

proptest! {
    #[test]
    fn in_any_span_a_proxy_opens_one_in_a_cycle_and_one_more(
        steps in prop::collection::vec(0u64..3_000_000_000, 1..200), me in 0u32..20, rate in 0.5f64..500.0
    ) {
        let mut opens = Opens::new(Place::new(me, 20), UNIX, 0);
        opens.listed(0, 9, rate);
        let cycle = (20.0 / rate * SECOND as f64) as Nanos;
        let (mut now, mut taken) = (0, Vec::new());
        for step in steps {
            now += step;
            if opens.take(now, 9).is_ok() {
                taken.push(now);
            }
        }
        for (n, from) in taken.iter().enumerate() {
            for (m, to) in taken.iter().enumerate().skip(n) {
                prop_assert!((m - n + 1) as u64 <= (to - from) / cycle + 2, "{from}..{to}");
            }
        }
    }
}
