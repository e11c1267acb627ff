//! Checks what a change of the configuration would break, given the nodes that accept requests now. A version
//! that is valid by itself may still leave a class or a tenant without service.

use crate::Routing;
use aniseyoke_decision::api::{Entry, Settings, State};
use rustc_hash::FxHashMap;

/// A reason to reject a version.
#[derive(Clone, Debug, PartialEq)]
pub enum Breakage {
    /// A class, or its requests that are routed to a pool, would be left without a node that accepts
    /// requests.
    NoNode {
        /// The index of the class.
        class: usize,
        /// The index of the pool in the proposed settings.
        pool: Option<usize>,
        /// The number of nodes that these requests can be sent to now.
        nodes_before: usize,
    },
    /// A tenant's quota would become zero.
    NoQuota {
        /// The index of the tenant.
        tenant: usize,
        /// The current quota, in requests per second.
        quota_before: f64,
    },
}

/// A proposed configuration, or the one in force.
#[derive(Clone, Copy)]
pub struct Configuration<'a> {
    /// The settings, with classes, tenants and pools.
    pub settings: &'a Settings,
    /// The routes and node overrides.
    pub routing: &'a Routing,
}

impl Configuration<'_> {
    fn is_origin(&self, entry: &Entry) -> bool {
        self.settings.cache_aside && self.settings.origin_kind == Some(entry.kind)
    }
}

/// The number of nodes that accept requests, by zone and kind.
struct ReadyNodes(FxHashMap<(u32, u32), usize>);

impl ReadyNodes {
    fn count(configuration: Configuration<'_>, entries: &[Entry]) -> Self {
        let mut counts = FxHashMap::default();
        for entry in entries.iter().filter(|entry| !configuration.is_origin(entry)) {
            if configuration.routing.overlay.apply(entry).state == State::Ready {
                *counts.entry((entry.zone, entry.kind)).or_default() += 1;
            }
        }
        ReadyNodes(counts)
    }

    /// Returns the number of nodes that requests of a class can be sent to if they are routed to a pool.
    fn reachable(&self, settings: &Settings, class: usize, pool: Option<usize>) -> usize {
        let allowed = self.0.iter().filter(|((zone, kind), _)| settings.allows(class, pool, *zone, *kind));
        allowed.map(|(_, nodes)| nodes).sum()
    }
}

/// Returns everything that a change from `current` to `proposed` would break, given the entries of the list
/// that operators have not banned. Classes and pools that already have no nodes do not count as broken by the
/// change.
pub fn review(current: Configuration<'_>, proposed: Configuration<'_>, entries: &[Entry]) -> Vec<Breakage> {
    let (before, after) = (ReadyNodes::count(current, entries), ReadyNodes::count(proposed, entries));
    let mut breakages = Vec::new();
    for (class, pool) in classes_and_pools(proposed) {
        if after.reachable(proposed.settings, class, pool) > 0 {
            continue;
        }
        let nodes_before =
            before.reachable(current.settings, class, current_pool_index(current, proposed, pool));
        if nodes_before > 0 {
            breakages.push(Breakage::NoNode { class, pool, nodes_before });
        }
    }
    for (tenant, after) in proposed.settings.tenants.iter().enumerate() {
        let quota_before = current.settings.tenants.get(tenant).map_or(0.0, |t| t.quota_rps);
        if quota_before > 0.0 && after.quota_rps <= 0.0 {
            breakages.push(Breakage::NoQuota { tenant, quota_before });
        }
    }
    breakages
}

/// Returns every class by itself, and with each pool that its requests may be routed to.
fn classes_and_pools(configuration: Configuration<'_>) -> Vec<(usize, Option<usize>)> {
    let classes = 0..configuration.settings.classes.len();
    let mut pairs: Vec<(usize, Option<usize>)> = classes.clone().map(|class| (class, None)).collect();
    for (class, pool) in configuration.routing.table.targets() {
        let routed = class.map_or(classes.clone(), |class| class as usize..class as usize + 1);
        pairs.extend(routed.map(|class| (class, Some(pool as usize))));
    }
    pairs.sort_unstable();
    pairs.dedup();
    pairs
}

/// Returns the index in the current settings of a pool of the proposed settings, if it exists there.
fn current_pool_index(
    current: Configuration<'_>,
    proposed: Configuration<'_>,
    pool: Option<usize>,
) -> Option<usize> {
    let pool = proposed.settings.pools.get(pool?)?;
    current.settings.pools.iter().position(|other| other == pool)
}

#[cfg(test)]
mod tests;
