//! When a connection to a node may be opened, so that all proxies together open no more than the node can take: a slow
//! start of connections that the whole fleet shares.
//!
//! Each proxy may open one connection to a node in its own slot of a cycle. A permit that it did not use is kept until
//! it is needed, one at most. A node that is new to the proxy has no permit before the first slot.
//!
//! From the time at which a node is new to all proxies, the fleet has opened at most the node's rate times that time
//! there; in any later span at most that, and one more for each proxy.

use super::{FleetPosition, Nanos, SlotSchedule, SECOND};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// A longer cycle would keep a proxy from a node for longer than any client waits.
const MAX_CYCLE: Nanos = 60 * SECOND;

/// Permits to open connections, by node.
#[derive(Clone, Debug)]
pub struct ConnectionPermits {
    position: FleetPosition,
    /// The caller's clock when this was made.
    created: Nanos,
    /// Unix time then.
    created_unix: Nanos,
    nodes: FxHashMap<u64, NodePermits>,
}

#[derive(Clone, Copy, Debug)]
struct NodePermits {
    schedule: SlotSchedule,
    /// Slots that have come and whose permits were used, or expired when a later one came.
    spent: u64,
}

impl ConnectionPermits {
    /// For a proxy that starts at `now`; see [`SlotSchedule::new`] for `unix`.
    pub fn new(position: FleetPosition, unix: Nanos, now: Nanos) -> Self {
        ConnectionPermits { position, created: now, created_unix: unix, nodes: FxHashMap::default() }
    }

    /// A node is in the endpoint list; it takes so many new connections a second from all proxies together.
    pub fn add_node(&mut self, now: Nanos, node: u64, per_second: f64) {
        let (position, created, unix) = (self.position, self.created, self.created_unix);
        self.nodes.entry(node).or_insert_with(|| {
            let cycle = f64::from(position.size()) / per_second.max(f64::MIN_POSITIVE) * SECOND as f64;
            let cycle = (cycle as Nanos).clamp(1, MAX_CYCLE);
            // Cycles of nodes are shifted against each other, so that a proxy does not connect to all at once.
            let shift = xxh3_64(&node.to_le_bytes()) as f64 / u64::MAX as f64;
            let schedule = SlotSchedule::new(cycle, position, shift, unix, created);
            NodePermits { schedule, spent: schedule.count_until(now) }
        });
    }

    /// A node is no longer in the endpoint list, or was restarted.
    pub fn remove_node(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// Removes all nodes but those for which `listed` holds.
    pub fn retain(&mut self, listed: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| listed(*node));
    }

    /// Takes a permit to open a connection to a node now. A node that was not added is not limited.
    ///
    /// # Errors
    /// How long to wait for the next permit.
    pub fn try_acquire(&mut self, now: Nanos, node: u64) -> Result<(), Nanos> {
        let Some(permits) = self.nodes.get_mut(&node) else { return Ok(()) };
        let granted = permits.schedule.count_until(now);
        if granted > permits.spent {
            // Of several permits that were not used one alone was kept.
            permits.spent = granted;
            return Ok(());
        }
        Err(permits.schedule.first_from(now.saturating_add(1)).saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
