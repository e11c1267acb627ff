//! The faults of a day as single events, each at its time, drawn by the day's seed alone.

use aniseyoke_lab_day::clock::{mix, nanos, Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{Day, Fault, FaultKind};

/// One event of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultEvent {
    /// A process dies.
    Crash(usize),
    /// It restarts, cold.
    Restart(usize),
    /// A machine stops answering.
    Silence(usize),
    /// A node begins to drain.
    Drain(usize),
    /// Its process ends and a new node starts in its place.
    Replace(usize),
    /// A member runs at this fraction of its speed.
    Slow(usize, f64),
    /// A node's open connections go dead.
    HalfOpen(usize),
    /// The day's fault `.0`, one of responses, begins or ends.
    Responses(usize, bool),
    /// Discovery goes down, or comes back.
    Discovery(bool),
    /// Discovery lists these as draining.
    Misreport(Vec<usize>),
    /// A proxy is restarted.
    RestartProxy(usize),
}

/// Fraction of the fleet that a deploy replaces at a time.
const DEPLOY_BATCH: f64 = 0.2;
/// A node's process ends this long after it began to drain.
const DRAIN_TIME: Nanos = 3500 * MILLISECOND;
/// The least time between two restarts of a roll of the proxies.
const MIN_RESTART_INTERVAL: Nanos = SECOND;

/// All fault events of a day, in order of time.
pub fn fault_events(day: &Day) -> Vec<(Nanos, FaultEvent)> {
    let mut fault_events = Vec::new();
    for (index, fault) in day.faults.iter().enumerate() {
        add_events(day, index, fault, &mut fault_events);
    }
    fault_events.sort_by_key(|(at, _)| *at);
    fault_events
}

/// Members that a fault hits, at least one.
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
            let batch = ((day.site.cache.count as f64 * DEPLOY_BATCH).ceil() as usize).max(1);
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
        FaultKind::Cut | FaultKind::Spoilt | FaultKind::Oversize | FaultKind::Pieces => {
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
