//! Expands the faults of a day into timed events; the result depends only on the day and its seed.

use aniseyoke_lab_day::clock::{mix, nanos, Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{Day, Fault, FaultKind};

/// One event of a fault; members and proxies are given by index.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// A process crashes.
    Crash(usize),
    /// A process restarts, cold.
    Restart(usize),
    /// A machine stops responding.
    Silence(usize),
    /// A node starts to drain.
    Drain(usize),
    /// A node's process ends and a new node starts in its place.
    Replace(usize),
    /// A member runs at this fraction of its normal speed.
    Slow(usize, f64),
    /// A node's open connections become half-open: requests on them get no response.
    HalfOpen(usize),
    /// The response fault with index `.0` in the day starts (`true`) or ends.
    Responses(usize, bool),
    /// Discovery comes up (`true`) or goes down.
    Discovery(bool),
    /// Discovery lists exactly these members as draining.
    Misreport(Vec<usize>),
    /// A proxy is restarted.
    RestartProxy(usize),
}

/// Fraction of the fleet that a deploy replaces in one batch.
const DEPLOY_BATCH_FRACTION: f64 = 0.2;
/// Time between the start of a node's drain and the end of its process.
const DRAIN_TIME: Nanos = 3500 * MILLISECOND;
/// Minimum time between two restarts of a rolling restart of the proxies.
const MIN_RESTART_INTERVAL: Nanos = SECOND;

/// All fault events of a day in time order.
pub fn fault_events(day: &Day) -> Vec<(Nanos, FaultEvent)> {
    let mut fault_events = Vec::new();
    for (index, fault) in day.faults.iter().enumerate() {
        add_events(day, index, fault, &mut fault_events);
    }
    fault_events.sort_by_key(|(at, _)| *at);
    fault_events
}

/// The members that a fault affects; at least one, unless the day lists its nodes explicitly.
pub fn targets(day: &Day, index: usize, fault: &Fault) -> Vec<usize> {
    if let Some(nodes) = &fault.nodes {
        return nodes.clone();
    }
    let count = day.site.cache.count;
    let targets = (fault.fraction.unwrap_or(0.0) * count as f64).round().max(1.0) as usize;
    let mut members: Vec<usize> = (0..count).collect();
    members.sort_by_key(|m| mix(day.seed, 0x7a29 + index as u64, *m as u64));
    members.truncate(targets);
    members
}

fn add_events(day: &Day, index: usize, fault: &Fault, fault_events: &mut Vec<(Nanos, FaultEvent)>) {
    let (at, length) = (nanos(fault.at), nanos(fault.length));
    let end = at + length;
    let targets = targets(day, index, fault);
    let size = fault.size.unwrap_or(1.0);
    let origin = day.site.cache.count;
    let mut add = |at, event| fault_events.push((at, event));
    match fault.kind {
        FaultKind::Crash => targets.iter().for_each(|m| {
            add(at, FaultEvent::Crash(*m));
            add(end, FaultEvent::Restart(*m));
        }),
        FaultKind::Silence => targets.iter().for_each(|m| {
            add(at, FaultEvent::Silence(*m));
            add(end, FaultEvent::Restart(*m));
        }),
        FaultKind::Deploy => {
            let batch = ((day.site.cache.count as f64 * DEPLOY_BATCH_FRACTION).ceil() as usize).max(1);
            let steps = targets.len().div_ceil(batch) as u64;
            for (step, members) in targets.chunks(batch).enumerate() {
                let from = at + step as u64 * length / steps;
                members.iter().for_each(|m| {
                    add(from, FaultEvent::Drain(*m));
                    add(from + DRAIN_TIME, FaultEvent::Replace(*m));
                });
            }
        }
        FaultKind::ProxyRoll => {
            let count = day.site.proxy.count as u64;
            let interval = (length / count).max(MIN_RESTART_INTERVAL);
            (0..count).for_each(|p| add(at + p * interval, FaultEvent::RestartProxy(p as usize)));
        }
        FaultKind::Slow => targets.iter().for_each(|m| {
            add(at, FaultEvent::Slow(*m, size));
            add(end, FaultEvent::Slow(*m, 1.0));
        }),
        FaultKind::BrownOut => {
            add(at, FaultEvent::Slow(origin, size));
            add(end, FaultEvent::Slow(origin, 1.0));
        }
        FaultKind::HalfOpen => targets.iter().for_each(|m| add(at, FaultEvent::HalfOpen(*m))),
        FaultKind::Cut
        | FaultKind::Spoilt
        | FaultKind::Oversize
        | FaultKind::Pieces
        | FaultKind::StuckHead => {
            add(at, FaultEvent::Responses(index, true));
            add(end, FaultEvent::Responses(index, false));
        }
        FaultKind::DiscoveryDown => {
            add(at, FaultEvent::Discovery(false));
            add(end, FaultEvent::Discovery(true));
        }
        FaultKind::DiscoveryLies => {
            add(at, FaultEvent::Misreport(targets));
            add(end, FaultEvent::Misreport(Vec::new()));
        }
    }
}
