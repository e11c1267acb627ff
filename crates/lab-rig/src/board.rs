//! The ends of links, the faults that can be injected on links, and the board of the active ones.
//!
//! No I/O and no clock: the schedule injects and clears faults; relays read the effect on their link.

use super::error::LinkEndsError;
use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LinkEnd {
    /// A proxy, by its number in the experiment.
    Proxy(usize),
    /// Discovery.
    Discovery,
    /// The origin; experiments and reports call it ledger.
    Ledger,
    /// A cache node, by the address at which the site opened it.
    Node(SocketAddr),
}

/// A set of ends, as an experiment names it: `proxies`, `proxy:3`, `proxy:0-4`, `discovery`, `ledger`, `nodes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEnds {
    /// Every proxy.
    Proxies,
    /// Proxies from the first number to the last, inclusive.
    Range(usize, usize),
    /// Discovery.
    Discovery,
    /// The origin; experiments and reports call it ledger.
    Ledger,
    /// Every cache node.
    Nodes,
}

impl LinkEnds {
    /// Reads one name of a set.
    ///
    /// # Errors
    /// Names the word that is not a set.
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

    /// Whether an end belongs to the set.
    pub fn contains(&self, end: LinkEnd) -> bool {
        match (self, end) {
            (LinkEnds::Proxies, LinkEnd::Proxy(_)) => true,
            (LinkEnds::Range(from, to), LinkEnd::Proxy(n)) => (*from..=*to).contains(&n),
            (LinkEnds::Discovery, LinkEnd::Discovery) | (LinkEnds::Ledger, LinkEnd::Ledger) => true,
            (LinkEnds::Nodes, LinkEnd::Node(_)) => true,
            _ => false,
        }
    }

    /// The highest proxy that it names, if it names proxies by number.
    pub fn last_proxy(&self) -> Option<usize> {
        match self {
            LinkEnds::Range(_, to) => Some(*to),
            _ => None,
        }
    }
}

/// The kinds of faults on links.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Every chunk of bytes is delayed, by up to `jitter` more; order is kept.
    Delay,
    /// A fraction of new connections is closed as soon as they are accepted.
    Drop,
    /// A fraction of connections is closed in the middle of their bytes.
    Cut,
    /// Open connections and new ones are reset.
    Reset,
    /// Connections are accepted and not answered; open ones go silent; bytes come through when it ends.
    BlackHole,
    /// Open connections go silent for good and are never closed; new ones work.
    HalfOpen,
    /// Bandwidth is limited in each direction of a connection.
    Bandwidth,
    /// Nothing passes between the two sets until it is cleared: open connections are silent both ways, and the handshakes
    /// of new ones stay unanswered.
    Partition,
}

/// A fault on the links between two sets.
#[derive(Clone, Debug, PartialEq)]
pub struct ActiveFault {
    /// Its id in the schedule.
    pub id: usize,
    /// Its kind.
    pub fault: Fault,
    /// One side.
    pub a: Vec<LinkEnds>,
    /// The other side.
    pub b: Vec<LinkEnds>,
    /// The fraction of connections that `drop` and `cut` hit.
    pub fraction: f64,
    /// What `delay` adds.
    pub delay: Duration,
    /// Up to this much more for `delay`.
    pub jitter: Duration,
    /// What `bandwidth` lets through, in bytes a second.
    pub rate: u64,
    /// The board's count of changes when it was injected; `half-open` and `reset` hit connections opened before that.
    pub injected_at_change: u64,
}

impl ActiveFault {
    fn applies_to(&self, from: LinkEnd, to: LinkEnd) -> bool {
        let side = |sets: &[LinkEnds], end: LinkEnd| sets.iter().any(|set| set.contains(end));
        (side(&self.a, from) && side(&self.b, to)) || (side(&self.b, from) && side(&self.a, to))
    }
}

/// The effect of the active faults on one link. Effects of several faults combine: delays add, the lowest bandwidth limit
/// holds, silence wins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkEffect {
    /// Bytes are delayed by this.
    pub delay: Duration,
    /// And by up to this much more.
    pub jitter: Duration,
    /// The limit in bytes a second, if any.
    pub rate: Option<u64>,
    /// The fraction of new connections closed at once.
    pub drop: f64,
    /// The fraction of connections truncated.
    pub cut: f64,
    /// Connections opened before this change of the board are reset.
    pub reset_before: u64,
    /// Whether new connections are reset too.
    pub resets: bool,
    /// Connections opened before this change of the board are silent for good.
    pub half_open_before: u64,
    /// Whether nothing passes.
    pub silent: bool,
    /// Whether the handshakes of new connections stay unanswered.
    pub unreachable: bool,
}

impl LinkEffect {
    /// Whether a connection opened at change `opened_at` of the board is to be reset now.
    pub fn resets(&self, opened_at_change: u64) -> bool {
        self.resets || opened_at_change < self.reset_before
    }

    /// Whether a connection opened at change `opened_at` is half-open: silent for good.
    pub fn half_open(&self, opened_at_change: u64) -> bool {
        opened_at_change < self.half_open_before
    }
}

/// The active faults, and the number of changes so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSet {
    /// The number of changes.
    pub changes: u64,
    /// The active faults.
    pub active: Vec<ActiveFault>,
}

impl FaultSet {
    /// The effect on the link between two ends.
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
                    effect.reset_before = effect.reset_before.max(fault.injected_at_change);
                }
                Fault::HalfOpen => {
                    effect.half_open_before = effect.half_open_before.max(fault.injected_at_change)
                }
                Fault::BlackHole => effect.silent = true,
                Fault::Partition => (effect.silent, effect.unreachable) = (true, true),
                Fault::Bandwidth => effect.rate = Some(effect.rate.map_or(fault.rate, |r| r.min(fault.rate))),
            }
        }
        effect
    }
}

/// The active faults, which the schedule changes and relays follow.
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
    /// Injects a fault; it also hits connections that are open now.
    pub fn inject(&self, mut fault: ActiveFault) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            fault.injected_at_change = faults.changes;
            faults.active.push(fault);
        });
    }

    /// Clears fault `id`; connections that it made half-open or reset stay so.
    pub fn clear(&self, id: usize) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            faults.active.retain(|a| a.id != id);
        });
    }

    /// Follows the active faults.
    pub fn watch(&self) -> watch::Receiver<Arc<FaultSet>> {
        self.faults.subscribe()
    }

    /// The faults that are active now.
    pub fn now(&self) -> Arc<FaultSet> {
        self.faults.borrow().clone()
    }
}

#[cfg(test)]
mod tests;
