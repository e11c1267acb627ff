//! Limits the rate at which all proxies together open connections to a node: a slow start that the fleet
//! shares.
//!
//! Each proxy may open one connection to a node in its own slot of a cycle. At most one unused permit is kept
//! for later. A node that is new to the proxy has no permit before the first slot.
//!
//! If a node becomes known to all proxies at the same time, the fleet opens at most the node's rate times the
//! time elapsed since then; in any later time span at most the rate times that span, plus one connection for
//! each proxy.

use super::{FleetPosition, Nanos, SlotSchedule, SECOND};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64;

/// The longest cycle. A longer one would delay a connection for longer than any client waits.
const MAX_CYCLE: Nanos = 60 * SECOND;

/// Permits to open connections, by node.
#[derive(Clone, Debug)]
pub struct ConnectionPermits {
    position: FleetPosition,
    /// The caller's clock at creation.
    created: Nanos,
    /// The Unix time at creation.
    created_unix: Nanos,
    nodes: FxHashMap<u64, NodePermits>,
}

#[derive(Clone, Copy, Debug)]
struct NodePermits {
    schedule: SlotSchedule,
    /// The number of past slots whose permits were used, or expired at a later slot.
    spent: u64,
}

impl ConnectionPermits {
    /// Creates the permits of a proxy that starts at `now`; see [`SlotSchedule::new`] for `unix_now`.
    pub fn new(position: FleetPosition, unix_now: Nanos, now: Nanos) -> Self {
        ConnectionPermits { position, created: now, created_unix: unix_now, nodes: FxHashMap::default() }
    }

    /// Adds a node of the endpoint list, which accepts `per_second` new connections from all proxies
    /// together.
    pub fn add_node(&mut self, now: Nanos, node: u64, per_second: f64) {
        let (position, created, unix_now) = (self.position, self.created, self.created_unix);
        self.nodes.entry(node).or_insert_with(|| {
            let cycle = f64::from(position.size()) / per_second.max(f64::MIN_POSITIVE) * SECOND as f64;
            let cycle = (cycle as Nanos).clamp(1, MAX_CYCLE);
            // The cycle of each node has its own offset, so that a proxy does not connect to all nodes at
            // once.
            let shift = xxh3_64(&node.to_le_bytes()) as f64 / u64::MAX as f64;
            let schedule = SlotSchedule::new(cycle, position, shift, unix_now, created);
            NodePermits { schedule, spent: schedule.count_until(now) }
        });
    }

    /// Removes a node that is no longer in the endpoint list, or was restarted.
    pub fn remove_node(&mut self, node: u64) {
        self.nodes.remove(&node);
    }

    /// Removes all nodes for which `is_listed` returns false.
    pub fn retain(&mut self, is_listed: impl Fn(u64) -> bool) {
        self.nodes.retain(|node, _| is_listed(*node));
    }

    /// Takes a permit to open a connection to a node now. Nodes that were not added are not limited.
    ///
    /// # Errors
    /// The time until the next permit.
    pub fn try_acquire(&mut self, now: Nanos, node: u64) -> Result<(), Nanos> {
        let Some(permits) = self.nodes.get_mut(&node) else { return Ok(()) };
        let slots_passed = permits.schedule.count_until(now);
        if slots_passed > permits.spent {
            // All unused permits but one have expired.
            permits.spent = slots_passed;
            return Ok(());
        }
        Err(permits.schedule.first_from(now.saturating_add(1)).saturating_sub(now))
    }
}

#[cfg(test)]
mod tests;
