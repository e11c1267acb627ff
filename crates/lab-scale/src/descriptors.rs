//! Computes the file descriptors that a run needs before anything starts. The only I/O is reading and raising the
//! limit.

use super::error::ScaleError;
use super::layout;
use super::plan::{Plan, Role, Topology};
use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Descriptors of any process apart from its connections: files, pipes, timers and listeners.
const BASE_DESCRIPTORS: usize = 64;

/// Returns for each kind of process the descriptors that the largest of them needs, with an explanation.
pub fn descriptor_needs(plan: &Plan, seed: u64) -> Vec<(&'static str, usize, String)> {
    let members = plan.hollow() + plan.real();
    let (sites, hosts) = (plan.sites(), *plan.hosts.get_ref());
    let at_root = match plan.topology {
        Topology::Direct => members,
        Topology::Relays => plan.regions(),
    };
    let linked = layout::linked(plan, seed).iter().filter(|l| **l).count();
    let over_links = at_root * linked / plan.regions();
    let listed = *plan.listed.get_ref();
    let polled = *plan.polled.get_ref();
    let proxies = if polled > 0 { plan.count(Role::Proxy) } else { 0 };
    let rig = BASE_DESCRIPTORS
        + 3 * plan.processes()
        + 2 * over_links
        + listed
        + polled
        + proxies
        + plan.real() * (2 + listed);
    let mut descriptor_needs = vec![
        (
            "the rig",
            rig,
            format!(
                "{over_links} connections of two ends over links, pipes of {} children, {} listed nodes with \
                 {} real proxies connected to them, {proxies} polls of endpoint lists",
                plan.processes(),
                listed + polled,
                plan.real()
            ),
        ),
        ("the control service", BASE_DESCRIPTORS + at_root, format!("{at_root} connections")),
        (
            "a host of hollow members",
            BASE_DESCRIPTORS + plan.hollow().div_ceil(hosts) + proxies.div_ceil(hosts),
            format!(
                "{} members, proxies with two connections each, on each of {hosts} hosts",
                plan.hollow().div_ceil(hosts)
            ),
        ),
    ];
    if plan.topology == Topology::Relays {
        let at_relay = sites.div_ceil(plan.regions()) + members.div_ceil(sites);
        // Members whose site relay is down connect to the relay of their region.
        let downstream = at_relay + members.div_ceil(plan.regions());
        descriptor_needs.push((
            "a relay",
            BASE_DESCRIPTORS + downstream,
            format!("up to {downstream} downstream connections"),
        ));
    }
    descriptor_needs
}

/// Lists the kinds of processes that need more descriptors than `limit`, each with its need and its shortfall.
pub fn shortfalls(plan: &Plan, seed: u64, limit: usize) -> Vec<String> {
    let shortfall = |(kind, descriptors, reason): &(&str, usize, String)| {
        (*descriptors > limit).then(|| {
            format!(
                "{kind} needs {descriptors} descriptors ({reason}) and may have {limit}: {} short",
                descriptors - limit
            )
        })
    };
    descriptor_needs(plan, seed).iter().filter_map(shortfall).collect()
}

/// Raises this process's soft limit, which its children inherit, to the hard limit.
///
/// # Errors
/// Fails if a process needs more descriptors than the hard limit.
pub fn raise_limit(plan: &Plan, seed: u64) -> Result<(), ScaleError> {
    let (_, hard_limit) = getrlimit(Resource::RLIMIT_NOFILE).map_err(ScaleError::Limit)?;
    setrlimit(Resource::RLIMIT_NOFILE, hard_limit, hard_limit).map_err(ScaleError::Limit)?;
    let shortfalls = shortfalls(plan, seed, usize::try_from(hard_limit).unwrap_or(usize::MAX));
    match shortfalls.is_empty() {
        true => Ok(()),
        false => Err(ScaleError::Descriptors(shortfalls)),
    }
}

#[cfg(test)]
mod tests;
