//! What a run needs of descriptors, counted before anything starts. No I/O but the look at the limit.

use super::layout;
use super::plan::{Plan, Role, Topology};
use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// What any process has beside its connections: files, pipes, timers, listeners.
const OWN: usize = 64;

/// What the hungriest process of each sort needs, and what for.
pub fn needs(plan: &Plan, seed: u64) -> Vec<(&'static str, usize, String)> {
    let members = plan.hollow() + plan.real();
    let (sites, hosts) = (plan.sites(), *plan.hosts.get_ref());
    let at_root = match plan.topology {
        Topology::Direct => members,
        Topology::Relays => plan.regions(),
    };
    let linked = layout::linked(plan, seed).iter().filter(|l| **l).count();
    let over_links = at_root * linked / plan.regions();
    let listed = *plan.listed.get_ref();
    let asked = *plan.asked.get_ref();
    let proxies = if asked > 0 { plan.count(Role::Proxy) } else { 0 };
    let rig =
        OWN + 3 * plan.processes() + 2 * over_links + listed + asked + proxies + plan.real() * (2 + listed);
    let mut needs = vec![
        (
            "the rig",
            rig,
            format!(
                "{over_links} connections of two ends over links, pipes of {} children, {} listed nodes with \
                 {} real proxies before them, {proxies} calls for lists",
                plan.processes(),
                listed + asked,
                plan.real()
            ),
        ),
        ("the control service", OWN + at_root, format!("{at_root} connections")),
        (
            "a host of hollow members",
            OWN + plan.hollow().div_ceil(hosts) + proxies.div_ceil(hosts),
            format!(
                "{} members of {hosts} hosts, proxies with two connections",
                plan.hollow().div_ceil(hosts)
            ),
        ),
    ];
    if plan.topology == Topology::Relays {
        let most = sites.div_ceil(plan.regions()) + members.div_ceil(sites);
        // Members whose site's relay is gone go to their region's.
        let below = most + members.div_ceil(plan.regions());
        needs.push(("a relay", OWN + below, format!("up to {below} connections below")));
    }
    needs
}

/// What is short, if each process may hold `most`: each with what it needs and how much is missing.
pub fn short(plan: &Plan, seed: u64, most: usize) -> Vec<String> {
    let lacks = |(who, need, why): &(&str, usize, String)| {
        (*need > most).then(|| {
            format!("{who} needs {need} descriptors ({why}) and may have {most}: {} short", need - most)
        })
    };
    needs(plan, seed).iter().filter_map(lacks).collect()
}

/// Raises this process's limit, which its children inherit, as far as it may, and says what is still short.
///
/// # Errors
/// What needs how many descriptors, and how many are missing.
pub fn secure(plan: &Plan, seed: u64) -> Result<(), String> {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).map_err(|e| e.to_string())?;
    setrlimit(Resource::RLIMIT_NOFILE, hard, hard).map_err(|e| e.to_string())?;
    let short = short(plan, seed, usize::try_from(hard).unwrap_or(usize::MAX));
    match short.is_empty() {
        true => Ok(()),
        false => {
            Err(format!("{}\nraise the limit (ulimit -n), or make the experiment smaller", short.join("\n")))
        }
    }
}

#[cfg(test)]
mod tests;
