//! Link ends, the faults that can be injected on links, and the set of active faults.
//!
//! This module has no I/O and no clock: the schedule injects and clears faults, and each relay reads the combined effect on
//! its link.

use super::error::LinkEndsError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnd {
    /// A proxy, by its index in the experiment.
    Proxy(usize),
    /// The discovery service.
    Discovery,
    /// The origin, called `ledger` in plans and reports.
    Ledger,
    /// A cache node, by its listening address.
    Node(SocketAddr),
}

/// A set of link ends, as a plan names it: `proxies`, `proxy:3`, `proxy:0-4`, `discovery`, `ledger`, `nodes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEnds {
    /// Every proxy.
    Proxies,
    /// Proxies from the first index to the last, inclusive.
    Range(usize, usize),
    /// The discovery service.
    Discovery,
    /// The origin, called `ledger` in plans and reports.
    Ledger,
    /// Every cache node.
    Nodes,
}

impl LinkEnds {
    /// Parses the name of a set.
    ///
    /// # Errors
    /// Returns an error if the name does not denote a set.
    pub fn parse(name: &str) -> Result<LinkEnds, LinkEndsError> {
        let number = |part: &str| {
            let not_a_number = |_| LinkEndsError::NotANumber { name: name.to_owned(), part: part.to_owned() };
            part.trim().parse::<usize>().map_err(not_a_number)
        };
        match name {
            "proxies" => Ok(LinkEnds::Proxies),
            "discovery" => Ok(LinkEnds::Discovery),
            "ledger" | "origin" => Ok(LinkEnds::Ledger),
            "nodes" => Ok(LinkEnds::Nodes),
            _ => match name.strip_prefix("proxy:") {
                Some(span) => match span.split_once('-') {
                    Some((from, to)) => {
                        let (from, to) = (number(from)?, number(to)?);
                        if from > to {
                            return Err(LinkEndsError::EmptyRange { name: name.to_owned(), from, to });
                        }
                        Ok(LinkEnds::Range(from, to))
                    }
                    None => number(span).map(|n| LinkEnds::Range(n, n)),
                },
                None => Err(LinkEndsError::Unknown(name.to_owned())),
            },
        }
    }

    /// Returns whether the set contains a link end.
    pub fn contains(&self, end: LinkEnd) -> bool {
        match (self, end) {
            (LinkEnds::Proxies, LinkEnd::Proxy(_)) => true,
            (LinkEnds::Range(from, to), LinkEnd::Proxy(n)) => (*from..=*to).contains(&n),
            (LinkEnds::Discovery, LinkEnd::Discovery) | (LinkEnds::Ledger, LinkEnd::Ledger) => true,
            (LinkEnds::Nodes, LinkEnd::Node(_)) => true,
            _ => false,
        }
    }

    /// Returns the highest proxy index of the set, if it names proxies by index.
    pub fn last_proxy(&self) -> Option<usize> {
        match self {
            LinkEnds::Range(_, to) => Some(*to),
            _ => None,
        }
    }
}

/// A kind of link fault.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Each chunk of bytes is delayed by `delay` plus a random time up to `jitter`; the order of bytes is preserved.
    Delay,
    /// A fraction of new connections is closed immediately after it is accepted.
    Drop,
    /// A fraction of new connections is truncated: closed after a limited number of bytes.
    Cut,
    /// Open and new connections are reset.
    Reset,
    /// New connections are accepted but not served, and open ones stall; pending bytes are delivered when the fault is
    /// cleared.
    BlackHole,
    /// Open connections stall permanently and are never closed; new ones work.
    HalfOpen,
    /// The bandwidth of each direction of a connection is limited.
    Bandwidth,
    /// No bytes pass between the two sets until the fault is cleared: open connections stall in both directions, and the
    /// TCP handshakes of new ones stay unanswered.
    Partition,
}

/// A fault that is active on the links between two sets of link ends.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveFault {
    /// The id of the fault in the schedule.
    pub id: usize,
    /// The kind of fault.
    pub fault: Fault,
    /// One side of the links.
    pub a: Vec<LinkEnds>,
    /// The other side of the links.
    pub b: Vec<LinkEnds>,
    /// The fraction of connections affected by `drop` and `cut`.
    pub fraction: f64,
    /// The delay added by `delay`.
    pub delay: Duration,
    /// The maximum random time that `delay` adds to the delay.
    pub jitter: Duration,
    /// The limit of `bandwidth`, in bytes per second.
    pub rate: u64,
    /// The value of [`FaultSet::changes`] when the fault was injected; `half-open` and `reset` affect connections opened before
    /// that change.
    pub injected_at: u64,
}

impl ActiveFault {
    fn applies_to(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let side = |sets: &[LinkEnds], end: LinkEnd| sets.iter().any(|set| set.contains(end));
        (side(&self.a, from) && side(&self.b, to)) || (side(&self.b, from) && side(&self.a, to))
    }
}

/// The combined effect of the active faults on one link: delays add up, the lowest bandwidth limit applies, and a fault that
/// silences the link overrides the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkEffect {
    /// The delay of each chunk of bytes.
    pub delay: Duration,
    /// The maximum random time added to the delay.
    pub jitter: Duration,
    /// The bandwidth limit in bytes per second, if any.
    pub rate: Option<u64>,
    /// The fraction of new connections that are closed immediately.
    pub drop: f64,
    /// The fraction of connections that are truncated.
    pub cut: f64,
    /// Connections opened before this change of the active faults are reset.
    pub reset_before: u64,
    /// Whether new connections are reset too.
    pub resets: bool,
    /// Connections opened before this change of the active faults stall permanently.
    pub half_open_before: u64,
    /// Whether no bytes pass.
    pub silent: bool,
    /// Whether the TCP handshakes of new connections stay unanswered.
    pub unreachable: bool,
}

impl LinkEffect {
    /// Returns whether a connection opened at change `opened_at_change` has to be reset.
    pub fn resets(&self, opened_at_change: u64) -> bool {
        self.resets || opened_at_change < self.reset_before
    }

    /// Returns whether a connection opened at change `opened_at_change` is half-open, that is, stalled permanently.
    pub fn half_open(&self, opened_at_change: u64) -> bool {
        opened_at_change < self.half_open_before
    }
}

/// The active faults, and the number of changes to them so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSet {
    /// The number of faults injected and cleared so far.
    pub changes: u64,
    /// The active faults.
    pub active: Vec<ActiveFault>,
}

impl FaultSet {
    /// Returns the combined effect on the link between two ends.
    pub fn effect(&self, from: LinkEnd, to: LinkEnd) -> LinkEffect {
        let mut effect = LinkEffect::default();
        for fault in self.active.iter().filter(|a| a.applies_to(from, to)) {
            match fault.fault {
                Fault::Delay => {
                    effect.delay += fault.delay;
                    effect.jitter += fault.jitter;
                }
                Fault::Drop => effect.drop = 1.0 - (1.0 - effect.drop) * (1.0 - fault.fraction),
                Fault::Cut => effect.cut = 1.0 - (1.0 - effect.cut) * (1.0 - fault.fraction),
                Fault::Reset => {
                    effect.resets = true;
                    effect.reset_before = effect.reset_before.max(fault.injected_at);
                }
                Fault::HalfOpen => effect.half_open_before = effect.half_open_before.max(fault.injected_at),
                Fault::BlackHole => effect.silent = true,
                Fault::Partition => (effect.silent, effect.unreachable) = (true, true),
                Fault::Bandwidth => effect.rate = Some(effect.rate.map_or(fault.rate, |r| r.min(fault.rate))),
            }
        }
        effect
    }
}

/// The shared set of active faults: the schedule changes it, and relays watch it.
#[derive(Clone)]
pub struct FaultBoard {
    faults: watch::Sender<Arc<FaultSet>>,
}

impl Default for FaultBoard {
    fn default() -> Self {
        FaultBoard { faults: watch::Sender::new(Arc::default()) }
    }
}

impl FaultBoard {
    /// Injects a fault, which also affects connections that are already open.
    pub fn inject(&self, mut fault: ActiveFault) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            fault.injected_at = faults.changes;
            faults.active.push(fault);
        });
    }

    /// Clears fault `id`; connections that it made half-open stay so, and connections that it reset stay closed.
    pub fn clear(&self, id: usize) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            faults.active.retain(|a| a.id != id);
        });
    }

    /// Returns a receiver that is notified of each change of the active faults.
    pub fn watch(&self) -> watch::Receiver<Arc<FaultSet>> {
        self.faults.subscribe()
    }

    /// Returns a snapshot of the active faults.
    pub fn now(&self) -> Arc<FaultSet> {
        self.faults.borrow().clone()
    }
}

#[cfg(test)]
mod tests;
