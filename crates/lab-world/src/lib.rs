//! The model of a site: cache nodes, the ledger, discovery's list and what goes wrong with them. No I/O and no clock:
//! whoever drives it tells the time and carries out what it says, on sockets or in simulated time.
//!
//! The driver calls [`World::arrive`] and [`World::quit`] as requests come and go, and [`World::tick`] whenever
//! [`World::next_due`] is reached; each appends [`Effect`]s.

mod budget;
pub mod connection_load;
mod machine;
mod memory;
mod roster;
mod serve;
mod share;
mod strike;
mod troubles;
mod value;

pub use roster::{Line, Roster, Standing};
pub use troubles::Stroke;
pub use value::{work, Catalogue};

use aniseyoke_decision::api::Load;
use aniseyoke_lab_day::clock::{mix, nanos, Nanos};
use aniseyoke_lab_day::Day;
use machine::{Admitted, Machine, Spec};
use memory::Memory;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// One attempt's number at the site.
pub type Ticket = u64;

/// An attempt whose last byte has arrived at a member.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Its number, never used twice.
    pub ticket: Ticket,
    /// Where it arrived.
    pub member: usize,
    /// The client's request that it is for.
    pub request: u64,
    /// Its class, as the day numbers them; none: a class that the day does not have.
    pub class: Option<usize>,
    /// The key that it names.
    pub key: u64,
    /// It writes.
    pub write: bool,
    /// The mark by which repeats are known.
    pub repeat: Option<u64>,
}

/// How an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// At once.
    Plain,
    /// In pieces of so many bytes.
    Pieces(usize),
    /// The connection is reset in its midst.
    Cut,
    /// It can't be read.
    Spoilt,
    /// It announces 3 GB and keeps coming.
    Oversize,
}

/// What a member answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value in this version; from the node's own memory, or fetched or written at the ledger.
    Served {
        /// The node had it.
        hit: bool,
        /// Which version of the value.
        version: u32,
    },
    /// The node lacks the key.
    Miss,
    /// It failed; it may have run.
    Error,
    /// Turned away; never ran.
    Full,
}

/// A process, as its peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    /// It takes connections.
    Up,
    /// Connections are reset and refused.
    Down,
    /// Nothing is answered and nothing refused.
    Silent,
}

/// What the driver is to do or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer an attempt.
    Reply {
        /// Which.
        ticket: Ticket,
        /// With what.
        reply: Reply,
        /// How.
        manner: Manner,
    },
    /// A write has begun to run.
    Ran(Ticket),
    /// A waiting attempt was dropped when its proxy gave it up.
    Dropped(Ticket),
    /// A new member, to be given an address. Its number is the next one.
    Joined(usize),
    /// A member's process has changed.
    Process(usize, Process),
    /// A member's open connections go dead; new ones work.
    HalfOpen(usize),
    /// A cold node fell under what it was sent.
    Fell(usize),
    /// The ledger stopped; with the part of its load that misses at cold nodes caused.
    Stopped(f64),
    /// Discovery's list has a new version.
    Listed(Line),
    /// Discovery is up, or down.
    Discovery(bool),
    /// A proxy is to be restarted.
    RestartProxy(usize),
}

struct Member {
    id: String,
    kind: String,
    machine: Machine,
    memory: Memory,
    process: Process,
    started: Option<Nanos>,
}

struct InWork {
    ask: Ask,
    hit: bool,
    version: u32,
}

/// What happens by itself, in the order of its time.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Inner {
    Machine { member: usize, forecast: u64 },
    Publish(Line),
    LedgerBack,
    Stroke(usize),
}

/// What is remembered of misses and repeats: so many, the oldest forgotten first.
const REMEMBERED_MOST: usize = 1 << 17;
/// A miss waits so long for the ledger's answer that is stored where it missed.
const MISS_KEPT: Nanos = 10 * aniseyoke_lab_day::clock::SECOND;
/// A value is stored at the first so many nodes that missed.
const STORED_AT: usize = 2;

#[derive(Default)]
struct Missed {
    members: Vec<usize>,
    cold: bool,
}

/// The model.
pub struct World {
    day: Day,
    members: Vec<Member>,
    ledger: usize,
    roster: Roster,
    strokes: Vec<(Nanos, Stroke)>,
    answers: Vec<usize>,
    in_work: HashMap<Ticket, InWork>,
    missed: HashMap<u64, Missed>,
    missed_order: VecDeque<(Nanos, u64)>,
    versions: HashMap<u64, u32>,
    repeats: HashMap<u64, Nanos>,
    repeats_order: VecDeque<(Nanos, u64)>,
    due: BinaryHeap<Reverse<(Nanos, u64, Inner)>>,
    counted: u64,
}

impl World {
    /// The site as it stands when the day begins: every node up and warm, holding what was asked for lately. Nothing goes wrong
    /// before [`World::begin`].
    pub fn new(day: &Day, catalogue: &Catalogue) -> Self {
        let cache = &day.site.cache;
        let mut world = World {
            ledger: cache.count,
            roster: Roster::new(cache.count + 1),
            strokes: troubles::strokes(day),
            day: day.clone(),
            members: Vec::new(),
            answers: Vec::new(),
            in_work: HashMap::new(),
            missed: HashMap::new(),
            missed_order: VecDeque::new(),
            versions: HashMap::new(),
            repeats: HashMap::new(),
            repeats_order: VecDeque::new(),
            due: BinaryHeap::new(),
            counted: 0,
        };
        for n in 0..cache.count {
            let kind = world.kind_of(n);
            let mut member = world.node(n, kind);
            // The most popular last, so that it is the most recently used.
            let room = world.room();
            (0..room.min(day.load.keys))
                .rev()
                .for_each(|rank| member.memory.store(0, catalogue.key(rank), 0));
            world.members.push(member);
        }
        let ledger = world.ledger();
        world.members.push(ledger);
        world
    }

    /// Empties every node's memory, for a driver that warms them by load of its own.
    pub fn empty(&mut self) {
        self.members.iter_mut().for_each(|m| m.memory.clear());
    }

    /// Has the ledger work so many times as quick from now on, while caches are warmed.
    pub fn quicken_ledger(&mut self, now: Nanos, times: f64) {
        let ledger = self.ledger;
        self.members[ledger].machine.slow(now, times);
        self.forecast(now, ledger);
    }

    /// What a node says of its load.
    pub fn load(&mut self, now: Nanos, member: usize) -> Option<Load> {
        let (busy, rate) = self.members[member].machine.report(now)?;
        Load::new(busy, rate)
    }

    /// The day begins: troubles strike at their times from here on.
    pub fn begin(&mut self, now: Nanos) {
        for n in 0..self.strokes.len() {
            self.at(now + self.strokes[n].0, Inner::Stroke(n));
        }
    }

    fn room(&self) -> u64 {
        (self.day.site.cache.memory * self.day.load.keys as f64).ceil() as u64
    }

    /// Kinds are dealt by their shares over the numbers of the nodes.
    fn kind_of(&self, n: usize) -> usize {
        let cache = &self.day.site.cache;
        let mut left = (n as f64 + 0.5) / cache.count as f64;
        for (k, kind) in cache.kinds.iter().enumerate() {
            left -= kind.share;
            if left < 0.0 {
                return k;
            }
        }
        cache.kinds.len() - 1
    }

    fn node(&self, n: usize, kind: usize) -> Member {
        let cache = &self.day.site.cache;
        let kind = &cache.kinds[kind];
        let spec = Spec {
            cores: kind.cores,
            speed: kind.speed,
            slots: (cache.slots_per_core as f64 * kind.cores).ceil() as usize,
            room: (cache.room_per_core as f64 * kind.cores).ceil() as usize,
            drops_queued: cache.drops_queued,
            cold: nanos(cache.cold),
            cold_from: cache.cold_from,
            fall_multiple: cache.fall_multiple,
            fall: nanos(cache.fall),
            falls_warm: false,
        };
        Member {
            id: format!("s-{:08x}", mix(self.day.seed, 0x1d, n as u64) as u32),
            kind: kind.name.clone(),
            machine: Machine::new(spec),
            memory: Memory::new(self.room() as usize, nanos(cache.ttl)),
            process: Process::Up,
            started: None,
        }
    }

    fn ledger(&self) -> Member {
        let ledger = &self.day.site.ledger;
        let spec = Spec {
            cores: ledger.cores,
            speed: 1.0,
            slots: ledger.slots,
            room: ledger.room,
            drops_queued: self.day.site.cache.drops_queued,
            cold: 0,
            cold_from: 1.0,
            fall_multiple: ledger.stop_multiple,
            fall: nanos(ledger.stop_after),
            falls_warm: true,
        };
        Member {
            id: "ledger".to_owned(),
            kind: "ledger".to_owned(),
            machine: Machine::new(spec),
            memory: Memory::new(1, 0),
            process: Process::Up,
            started: None,
        }
    }

    /// Members so far, the ledger and those that are gone among them.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether a member is the ledger.
    pub fn is_ledger(&self, member: usize) -> bool {
        member == self.ledger
    }

    /// A member's id and kind, as discovery tells them.
    pub fn name(&self, member: usize) -> (&str, &str) {
        (&self.members[member].id, &self.members[member].kind)
    }

    /// What a member's process does.
    pub fn process(&self, member: usize) -> Process {
        self.members[member].process
    }

    /// Whether a member is still warming.
    pub fn is_cold(&self, member: usize, now: Nanos) -> bool {
        self.members[member].machine.is_cold(now)
    }

    /// The last start of a member that is still warming, and the work, in nanoseconds on a core of speed 1, that it may be
    /// sent now within the span of the rule under which it falls; none for a warm one.
    pub fn ramp(&self, member: usize, now: Nanos) -> Option<(Nanos, f64)> {
        self.members[member].machine.ramp(now)
    }

    /// What discovery says.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// When something next happens by itself.
    pub fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, ..))| *at)
    }

    fn at(&mut self, at: Nanos, inner: Inner) {
        self.counted += 1;
        self.due.push(Reverse((at, self.counted, inner)));
    }

    /// Forecasts a machine's next event anew; what was forecast before is void.
    fn forecast(&mut self, now: Nanos, member: usize) {
        let machine = &mut self.members[member].machine;
        machine.forecast += 1;
        let (forecast, due) = (machine.forecast, machine.next_due(now));
        if let Some(due) = due {
            self.at(due.max(now), Inner::Machine { member, forecast });
        }
    }

    /// An attempt's last byte has arrived.
    pub fn arrive(&mut self, now: Nanos, ask: Ask, out: &mut Vec<Effect>) {
        let Ask { ticket, member, request, class, key, write, .. } = ask;
        if self.members[member].process != Process::Up {
            return;
        }
        let Some(class) = class else { return self.reply(now, ask, Reply::Error, out) };
        let version = self.versions.get(&key).copied().unwrap_or(0);
        let full = work(&self.day, request, class);
        let at_ledger = member == self.ledger;
        let hit = !at_ledger && !write && self.members[member].memory.has(now, key, version);
        let work = match (at_ledger, write, hit) {
            (true, false, _) => (full as f64 * self.day.site.ledger.fetch_work) as Nanos,
            (true, true, _) | (false, _, true) => full,
            (false, _, false) => (full as f64 * self.day.site.cache.miss_work) as Nanos,
        };
        let from_cold = at_ledger && self.missed.get(&request).is_some_and(|m| m.cold);
        let admitted = self.members[member].machine.admit(now, ticket, work, from_cold);
        if matches!(admitted, Admitted::Begun | Admitted::Waits) {
            self.in_work.insert(ticket, InWork { ask, hit, version });
        }
        match admitted {
            Admitted::Begun => self.begun(now, ticket, out),
            Admitted::Waits => return,
            Admitted::Full => return self.reply(now, ask, Reply::Full, out),
            Admitted::Fell => return self.fall(now, member, out),
        }
        self.forecast(now, member);
    }

    /// A proxy no longer waits for an attempt.
    pub fn quit(&mut self, ticket: Ticket, out: &mut Vec<Effect>) {
        let Some(member) = self.in_work.get(&ticket).map(|w| w.ask.member) else { return };
        if self.members[member].machine.give_up(ticket) {
            self.in_work.remove(&ticket);
            out.push(Effect::Dropped(ticket));
        }
    }

    /// Lets everything happen that is due.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while self.next_due().is_some_and(|due| due <= now) {
            let Some(Reverse((_, _, inner))) = self.due.pop() else { return };
            match inner {
                Inner::Machine { member, forecast } if self.members[member].machine.forecast == forecast => {
                    self.members[member].machine.retune(now);
                    let mut begun = Vec::new();
                    while let Some(ticket) = self.members[member].machine.take_done(now, |t| begun.push(t)) {
                        self.done(now, ticket, out);
                    }
                    begun.into_iter().for_each(|ticket| self.begun(now, ticket, out));
                    self.forecast(now, member);
                }
                Inner::Machine { .. } => {}
                Inner::Publish(line) => {
                    let version = self.roster.version();
                    self.roster.publish(line);
                    if self.roster.version() != version {
                        out.push(Effect::Listed(line));
                    }
                }
                Inner::LedgerBack => self.set_process(self.ledger, Process::Up, out),
                Inner::Stroke(n) => {
                    let stroke = self.strokes[n].1.clone();
                    self.strike(now, stroke, out);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
