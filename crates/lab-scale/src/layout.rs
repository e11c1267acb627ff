//! Who stands at which site, zone and region, and how far regions are. No I/O, no clock.

use super::plan::{Do, Plan, Role};
use aniseyoke_lab_day::clock::{mix, part};
use std::time::Duration;

/// Where something stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The site.
    pub site: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
}

/// The region and zone of a site.
pub fn site(plan: &Plan, site: usize) -> Place {
    let zone = site % plan.zones();
    Place { site, zone, region: zone % plan.regions() }
}

/// Where a member stands, by its role and number.
pub fn member(plan: &Plan, role: Role, n: usize) -> Place {
    match role {
        Role::RegionRelay => Place { site: n, zone: n, region: n },
        Role::SiteRelay | Role::Proxy | Role::Node => site(plan, n % plan.sites()),
        // Fewer than sites: as far apart as they can be.
        Role::Real => site(plan, n * plan.sites() / plan.real().max(1) % plan.sites()),
    }
}

/// A member's name.
pub fn name(role: Role, n: usize) -> String {
    match role {
        Role::RegionRelay => format!("region-{n}"),
        Role::SiteRelay => format!("site-{n}"),
        Role::Proxy => format!("hollow-{n}"),
        Role::Node => format!("node-{n}"),
        Role::Real => format!("proxy-{n}"),
    }
}

/// How long bytes take from the first region to another, one way; nothing within the first.
pub fn delay(plan: &Plan, seed: u64, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.base.0 + plan.delay.spread.0.mul_f64(part(mix(seed, 4, region as u64)))
}

/// Up to so much more, for each chunk of bytes; nothing within the first region.
pub fn jitter(plan: &Plan, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.jitter.0
}

/// Which regions are reached over a link: those that are away, and those that will be cut off.
pub fn linked(plan: &Plan, seed: u64) -> Vec<bool> {
    let steps = plan.schedule(seed).steps;
    let cut = |region| steps.iter().any(|(_, step)| *step == Do::Cut(region));
    let away = |region| !(delay(plan, seed, region) + jitter(plan, region)).is_zero();
    (0..plan.regions()).map(|region| away(region) || cut(region)).collect()
}

#[cfg(test)]
mod tests;
