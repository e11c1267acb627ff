//! Who stands at the ends of a link, the faults that can be put on links, and the board of those in force.
//!
//! No I/O and no clock: the schedule puts faults on and takes them off; relays read what holds for their link.

use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Party {
    /// A proxy, by its number in the experiment.
    Proxy(usize),
    /// The list service.
    Discovery,
    /// The ledger (origin).
    Ledger,
    /// A cache node, by the address at which the site opened it.
    Node(SocketAddr),
}

/// A set of parties, as an experiment names it: `proxies`, `proxy:3`, `proxy:0-4`, `discovery`, `ledger`, `nodes`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every proxy.
    Proxies,
    /// Proxies from the first number to the last, both in.
    Range(usize, usize),
    /// The list service.
    Discovery,
    /// The ledger.
    Ledger,
    /// Every cache node.
    Nodes,
}

impl Group {
    /// Reads one name of a set.
    ///
    /// # Errors
    /// Names the word that is not a set.
    pub fn parse(word: &str) -> Result<Group, String> {
        let number =
            |n: &str| n.trim().parse::<usize>().map_err(|_| format!("`{word}`: `{n}` is not a number"));
        match word {
            "proxies" => Ok(Group::Proxies),
            "discovery" => Ok(Group::Discovery),
            "ledger" | "origin" => Ok(Group::Ledger),
            "nodes" => Ok(Group::Nodes),
            _ => match word.strip_prefix("proxy:") {
                Some(span) => match span.split_once('-') {
                    Some((from, to)) => {
                        let (from, to) = (number(from)?, number(to)?);
                        if from > to {
                            return Err(format!("`{word}`: {from} comes after {to}"));
                        }
                        Ok(Group::Range(from, to))
                    }
                    None => number(span).map(|n| Group::Range(n, n)),
                },
                None => Err(format!(
                    "`{word}` is no set of processes: proxies, proxy:N, proxy:N-M, discovery, ledger or nodes"
                )),
            },
        }
    }

    /// Whether a party belongs to it.
    pub fn holds(&self, party: Party) -> bool {
        match (self, party) {
            (Group::Proxies, Party::Proxy(_)) => true,
            (Group::Range(from, to), Party::Proxy(n)) => (*from..=*to).contains(&n),
            (Group::Discovery, Party::Discovery) | (Group::Ledger, Party::Ledger) => true,
            (Group::Nodes, Party::Node(_)) => true,
            _ => false,
        }
    }

    /// The highest proxy that it names, if it names proxies by number.
    pub fn last_proxy(&self) -> Option<usize> {
        match self {
            Group::Range(_, to) => Some(*to),
            _ => None,
        }
    }
}

/// What may go wrong on a link.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Every chunk of bytes waits so long, and up to `jitter` more; order is kept.
    Delay,
    /// This part of new connections is closed as soon as it is taken.
    Drop,
    /// This part of connections is cut off in the middle of its bytes, and closed.
    Cut,
    /// Connections open now and new ones are reset.
    Reset,
    /// Connections are taken and never answered; open ones go silent; bytes come again when it ends.
    BlackHole,
    /// Connections open now go silent for good and are never closed; new ones are carried.
    HalfOpen,
    /// At most so many bytes a second in each direction of a connection.
    Bandwidth,
    /// The two sets hear nothing of each other until it ends: open connections go silent both ways, and the handshakes of
    /// new ones stay unanswered.
    Partition,
}

/// A fault on the links between two sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Active {
    /// Its number in the schedule.
    pub id: usize,
    /// What it does.
    pub fault: Fault,
    /// One side.
    pub a: Vec<Group>,
    /// The other side.
    pub b: Vec<Group>,
    /// The part of connections that `drop` and `cut` strike, from 0 to 1.
    pub part: f64,
    /// What `delay` adds, and its jitter.
    pub delay: Duration,
    /// Up to this much more for `delay`.
    pub jitter: Duration,
    /// What `bandwidth` lets through, in bytes a second.
    pub rate: u64,
    /// The board's count of changes when it struck: connections opened before that are struck by `half-open` and `reset`.
    pub struck: u64,
}

impl Active {
    fn joins(&self, from: Party, to: Party) -> bool {
        let side = |groups: &[Group], p: Party| groups.iter().any(|g| g.holds(p));
        (side(&self.a, from) && side(&self.b, to)) || (side(&self.b, from) && side(&self.a, to))
    }
}

/// What holds on one link now. Effects of several faults add up: delays add, caps take the lowest, silence wins.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Effect {
    /// Bytes wait so long.
    pub delay: Duration,
    /// And up to so much more.
    pub jitter: Duration,
    /// Bytes a second, if capped.
    pub rate: Option<u64>,
    /// The part of new connections closed at once.
    pub drop: f64,
    /// The part of connections cut in their bytes.
    pub cut: f64,
    /// Connections opened before this change of the board are reset.
    pub reset_before: u64,
    /// New connections are reset too.
    pub resets: bool,
    /// Connections opened before this change of the board are silent for good.
    pub stale_before: u64,
    /// Nothing passes while it holds.
    pub silent: bool,
    /// No new connection comes about while it holds: nobody answers its handshake.
    pub unreachable: bool,
}

impl Effect {
    /// Whether a connection opened at change `born` of the board is to be reset now.
    pub fn resets(&self, born: u64) -> bool {
        self.resets || born < self.reset_before
    }

    /// Whether a connection opened at change `born` is half-open: silent for good.
    pub fn stale(&self, born: u64) -> bool {
        born < self.stale_before
    }
}

/// The faults in force, and the number of changes so far.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Faults {
    /// Each change counts one.
    pub changes: u64,
    /// What is in force.
    pub active: Vec<Active>,
}

impl Faults {
    /// What holds on the link from `from` to `to`.
    pub fn effect(&self, from: Party, to: Party) -> Effect {
        let mut effect = Effect::default();
        for active in self.active.iter().filter(|a| a.joins(from, to)) {
            match active.fault {
                Fault::Delay => {
                    effect.delay += active.delay;
                    effect.jitter += active.jitter;
                }
                Fault::Drop => effect.drop = 1.0 - (1.0 - effect.drop) * (1.0 - active.part),
                Fault::Cut => effect.cut = 1.0 - (1.0 - effect.cut) * (1.0 - active.part),
                Fault::Reset => {
                    effect.resets = true;
                    effect.reset_before = effect.reset_before.max(active.struck);
                }
                Fault::HalfOpen => effect.stale_before = effect.stale_before.max(active.struck),
                Fault::BlackHole => effect.silent = true,
                Fault::Partition => (effect.silent, effect.unreachable) = (true, true),
                Fault::Bandwidth => {
                    effect.rate = Some(effect.rate.map_or(active.rate, |r| r.min(active.rate)))
                }
            }
        }
        effect
    }
}

/// The board that the schedule writes and relays read.
#[derive(Clone)]
pub struct Board {
    faults: watch::Sender<Arc<Faults>>,
}

impl Default for Board {
    fn default() -> Self {
        Board { faults: watch::Sender::new(Arc::default()) }
    }
}

impl Board {
    /// Puts a fault on; it strikes connections that are open now.
    pub fn strike(&self, mut active: Active) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            active.struck = faults.changes;
            faults.active.push(active);
        });
    }

    /// Takes fault `id` off; connections that it made half-open or reset stay so.
    pub fn lift(&self, id: usize) {
        self.faults.send_modify(|faults| {
            let faults = Arc::make_mut(faults);
            faults.changes += 1;
            faults.active.retain(|a| a.id != id);
        });
    }

    /// What is in force now, and a way to hear of changes.
    pub fn watch(&self) -> watch::Receiver<Arc<Faults>> {
        self.faults.subscribe()
    }

    /// The faults in force now.
    pub fn now(&self) -> Arc<Faults> {
        self.faults.borrow().clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn active(fault: Fault, a: &str, b: &str) -> Active {
        let groups = |s: &str| s.split(',').map(|w| Group::parse(w).unwrap()).collect();
        Active {
            id: 0,
            fault,
            a: groups(a),
            b: groups(b),
            part: 0.5,
            delay: Duration::from_millis(30),
            jitter: Duration::from_millis(5),
            rate: 1000,
            struck: 0,
        }
    }

    #[test]
    fn sets_are_read_and_wrong_words_named() {
        assert_eq!(Group::parse("proxy:2-4"), Ok(Group::Range(2, 4)));
        assert_eq!(Group::parse("proxy:7"), Ok(Group::Range(7, 7)));
        assert!(Group::parse("proxy:4-2").unwrap_err().contains("4 comes after 2"));
        assert!(Group::parse("proxy:x").unwrap_err().contains("`x` is not a number"));
        assert!(Group::parse("cluster").unwrap_err().contains("`cluster` is no set"));
        assert!(Group::Range(2, 4).holds(Party::Proxy(3)) && !Group::Range(2, 4).holds(Party::Proxy(5)));
    }

    #[test]
    fn a_partition_parts_only_the_links_between_its_sides_in_both_directions() {
        let board = Board::default();
        board.strike(active(Fault::Partition, "proxy:0-1", "discovery"));
        let faults = board.now();
        assert!(faults.effect(Party::Proxy(1), Party::Discovery).silent);
        assert!(faults.effect(Party::Discovery, Party::Proxy(0)).silent);
        assert!(!faults.effect(Party::Proxy(2), Party::Discovery).silent);
        assert!(!faults.effect(Party::Proxy(0), Party::Ledger).silent);
        board.lift(0);
        assert_eq!(board.now().effect(Party::Proxy(1), Party::Discovery), Effect::default());
    }

    #[test]
    fn effects_add_up_and_half_open_strikes_only_what_was_open() {
        let board = Board::default();
        board.strike(active(Fault::Delay, "proxies", "nodes"));
        board.strike(active(Fault::Delay, "proxy:0", "nodes"));
        board.strike(active(Fault::Bandwidth, "proxies", "nodes"));
        let node = Party::Node(SocketAddr::from(([127, 0, 0, 1], 9)));
        let effect = board.now().effect(Party::Proxy(0), node);
        assert_eq!((effect.delay, effect.rate), (Duration::from_millis(60), Some(1000)));
        let born_before = board.now().changes;
        board.strike(active(Fault::HalfOpen, "proxies", "nodes"));
        let effect = board.now().effect(Party::Proxy(0), node);
        assert!(effect.stale(born_before) && !effect.stale(board.now().changes));
        board.strike(active(Fault::Drop, "proxies", "nodes"));
        board.strike(active(Fault::Drop, "proxies", "nodes"));
        assert!((board.now().effect(Party::Proxy(3), node).drop - 0.75).abs() < 1e-9);
    }
}
