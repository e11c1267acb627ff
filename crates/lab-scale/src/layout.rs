//! The site, zone and region of each member, and the delays of regions. No I/O, no clock.

use super::plan::{Plan, Role, Step};
use aniseyoke_lab_day::clock::{mix, unit_fraction};
use std::time::Duration;

/// The location of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The site.
    pub site: usize,
    /// Its zone.
    pub zone: usize,
    /// Its region.
    pub region: usize,
}

/// The location of a site.
pub fn site(plan: &Plan, site: usize) -> Location {
    let zone = site % plan.zones();
    Location { site, zone, region: zone % plan.regions() }
}

/// The location of a member, by its role and number.
pub fn member(plan: &Plan, role: Role, n: usize) -> Location {
    match role {
        Role::RegionRelay => Location { site: n, zone: n, region: n },
        Role::SiteRelay | Role::Proxy | Role::Node => site(plan, n % plan.sites()),
        // Fewer than sites: spread as evenly as possible.
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

/// The delay from the first region to another, one way; none within the first.
pub fn delay(plan: &Plan, seed: u64, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.base.0 + plan.delay.spread.0.mul_f64(unit_fraction(mix(seed, 4, region as u64)))
}

/// Up to this much more, for each chunk of bytes; none within the first region.
pub fn jitter(plan: &Plan, region: usize) -> Duration {
    if region == 0 {
        return Duration::ZERO;
    }
    plan.delay.jitter.0
}

/// For each region, whether it is reached over a link: those with a delay, and those that will be cut off.
pub fn linked(plan: &Plan, seed: u64) -> Vec<bool> {
    let steps = plan.schedule(seed).steps;
    let cut = |region| steps.iter().any(|(_, step)| *step == Step::Cut(region));
    let delayed = |region| !(delay(plan, seed, region) + jitter(plan, region)).is_zero();
    (0..plan.regions()).map(|region| delayed(region) || cut(region)).collect()
}

#[cfg(test)]
mod tests;
