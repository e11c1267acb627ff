//! The site, zone and region of each member, and the network delays of regions. Does no I/O and reads no clock.

use super::plan::{Plan, Role, Step};
use aniseyoke_lab_day::clock::{mix, unit_fraction};
use std::time::Duration;

/// The location of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The site's number.
    pub site: usize,
    /// The zone of the site.
    pub zone: usize,
    /// The region of the zone.
    pub region: usize,
}

/// Returns the location of a site.
pub fn site(plan: &Plan, site: usize) -> Location {
    let zone = site % plan.zones();
    Location { site, zone, region: zone % plan.regions() }
}

/// Returns the location of a member, given by its role and number.
pub fn member(plan: &Plan, role: Role, n: usize) -> Location {
    match role {
        Role::RegionRelay => Location { site: n, zone: n, region: n },
        Role::SiteRelay | Role::Proxy | Role::Node => site(plan, n % plan.sites()),
        // There are fewer real proxies than sites, so they are distributed as evenly as possible.
        Role::Real => site(plan, n * plan.sites() / plan.real().max(1) % plan.sites()),
    }
}

/// Returns the name of a member, given by its role and number.
pub fn name(role: Role, n: usize) -> String {
    match role {
        Role::RegionRelay => format!("region-{n}"),
        Role::SiteRelay => format!("site-{n}"),
        Role::Proxy => format!("hollow-{n}"),
        Role::Node => format!("node-{n}"),
        Role::Real => format!("proxy-{n}"),
    }
}

/// Returns the one-way delay between the first region and another, which is zero within the first.
pub fn delay(plan: &Plan, seed: u64, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.base.0 + plan.delay.spread.0.mul_f64(unit_fraction(mix(seed, 4, region as u64)))
}

/// Returns the maximum jitter for each chunk of bytes, which is zero within the first region.
pub fn jitter(plan: &Plan, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.jitter.0
}

/// Returns for each region whether it is connected over a link, which is the case if it has a delay or if the schedule
/// partitions it.
pub fn linked(plan: &Plan, seed: u64) -> Vec<bool> {
    let steps = plan.schedule(seed).steps;
    let cut = |region| steps.iter().any(|(_, step)| *step == Step::Cut(region));
    let delayed = |region| !(delay(plan, seed, region) + jitter(plan, region)).is_zero();
    (0..plan.regions()).map(|region| delayed(region) || cut(region)).collect()
}

#[cfg(test)]
mod tests;
