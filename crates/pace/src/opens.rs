//! When a connection to a node may be opened, so that all proxies together open no more there than it bears: a joint
//! slow start. Each proxy may open one connection to a node at its own moment of a cycle, and one that it did not use
//! then is kept until it is needed; a node that is new to it waits for its first moment.
//!
//! From the time at which a node is new to all of them, the proxies of a fleet have opened at most the node's rate times
//! that time there; in any later span at most that and one more each.

use super::{Moments, Nanos, Place, SECOND};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A cycle longer than this would keep a proxy from a node for longer than any client waits.
const CYCLE_MOST: Nanos = 60 * SECOND;

/// Connections that may be opened to each node.
#[derive(Clone, Debug)]
pub struct Opens {
    place: Place,
    /// The caller's clock and Unix time when this began.
    began: (Nanos, Nanos),
    nodes: FxHashMap<u64, Node>,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    moments: Moments,
    /// Moments that have come and were used, or were given up for a later one.
    used: u64,
}

impl Opens {
    /// For a proxy that starts at `now`; see [`Moments::new`] for `unix`.
    pub fn new(place: Place, unix: Nanos, now: Nanos) -> Self {
        Opens { place, began: (now, unix), nodes: FxHashMap::default() }
    }

    /// A node is listed, and bears so many new connections a second from all proxies together.
    pub fn listed(&mut self, now: Nanos, node: u64, per_second: f64) {
        let (place, (began, unix)) = (self.place, self.began);
        self.nodes.entry(node).or_insert_with(|| {
            let cycle = f64::from(place.of()) / per_second.max(f64::MIN_POSITIVE) * SECOND as f64;
            let cycle = (cycle as Nanos).clamp(1, CYCLE_MOST);
            // Nodes' cycles are shifted against each other: a proxy meets them one by one.
            let shift = xxh3_64(&node.to_le_bytes()) as f64 / u64::MAX as f64;
            let moments = Moments::new(cycle, place, shift, unix, began);
            Node { moments, used: moments.by(now) }
        });
    }

    /// A node is gone.
    pub fn gone(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// Only these are listed.
    pub fn retain(&mut self, listed: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| listed(*node));
    }

    /// Takes leave to open a connection to a node now.
    ///
    /// # Errors
    /// How long to wait for the next leave. A node that is not listed is open to nobody's cycle, and may be opened.
    pub fn take(&mut self, now: Nanos, node: u64) -> Result<(), Nanos> {
        let Some(node) = self.nodes.get_mut(&node) else { return Ok(()) };
        let come = node.moments.by(now);
        if come > node.used {
            // Of those that came and were not used, one alone was kept.
            node.used = come;
            return Ok(());
        }
        Err(node.moments.next(now.saturating_add(1)).saturating_sub(now))
    }
}

#[cfg(test)]
mod tests {
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
        assert!(opens.take(0, 1).is_err(), "its first moment has not come");
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
}
