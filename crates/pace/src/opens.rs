//! When a connection to a node may be opened, so that all proxies together open no more there than it bears: a joint
//! slow start. Each proxy may open one connection to a node in its own slot of a cycle, and one that it did not use
//! then is kept until it is needed; a node that is new to it waits for its first slot.
//!
//! From the time at which a node is new to all of them, the proxies of a fleet have opened at most the node's rate times
//! that time there; in any later span at most that and one more each.

use super::{Nanos, Place, Slots, SECOND};
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
    slots: Slots,
    /// Slots that have come and were used, or were given up for a later one.
    used: u64,
}

impl Opens {
    /// For a proxy that starts at `now`; see [`Slots::new`] for `unix`.
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
            let slots = Slots::new(cycle, place, shift, unix, began);
            Node { slots, used: slots.by(now) }
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

    /// Takes a permit to open a connection to a node now.
    ///
    /// # Errors
    /// How long to wait for the next permit. A node that is not listed is open to nobody's cycle, and may be opened.
    pub fn take(&mut self, now: Nanos, node: u64) -> Result<(), Nanos> {
        let Some(node) = self.nodes.get_mut(&node) else { return Ok(()) };
        let come = node.slots.by(now);
        if come > node.used {
            // Of those that came and were not used, one alone was kept.
            node.used = come;
            return Ok(());
        }
        Err(node.slots.next(now.saturating_add(1)).saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
