//! The model of a site: cache nodes, the origin, the endpoint list and the faults of the day. It does no I/O and reads no
//! clock: a driver passes the time in and carries out the returned effects, on sockets or in simulated time.
//!
//! The driver calls [`SiteModel::arrive`] and [`SiteModel::cancel`] as requests come and go, and [`SiteModel::tick`] whenever
//! [`SiteModel::next_due`] is reached; each appends [`Effect`]s.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod apply;
pub mod connection_load;
mod endpoint_list;
mod fault_schedule;
mod key_space;
mod machine;
mod processor_sharing;
mod serve;
mod value_cache;
mod work_window;

pub use endpoint_list::{Endpoint, EndpointList, EndpointState};
pub use fault_schedule::FaultEvent;
pub use key_space::{work, KeySpace};

use aniseyoke_decision::api::Load;
use aniseyoke_lab_day::clock::{mix, nanos, Nanos};
use aniseyoke_lab_day::Day;
use machine::{Admitted, Machine, MachineSpec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use value_cache::ValueCache;

/// The id of a proxy's attempt at a member, unique within the site.
pub type AttemptId = u64;

/// An attempt whose last byte has arrived at a member.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Its id, never used twice.
    pub attempt_id: AttemptId,
    /// Where it arrived.
    pub member: usize,
    /// The client's request that it is for.
    pub request: u64,
    /// Its class, as the day numbers them; none: a class that the day does not have.
    pub class: Option<usize>,
    /// The key that it names.
    pub key: u64,
    /// Whether it writes.
    pub write: bool,
    /// A digest of its idempotency key, if it has one.
    pub idempotency_key: Option<u64>,
}

/// How a response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Whole, at once.
    Unmodified,
    /// In pieces of this many bytes.
    Fragmented(usize),
    /// The connection is reset in the middle of it.
    Truncated,
    /// It is no valid HTTP.
    Malformed,
    /// It announces 3 GB and keeps coming.
    Oversize,
}

/// A member's reply to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value in this version, from the node's own cache, or fetched or written at the origin.
    Served {
        /// Whether the node had it cached.
        hit: bool,
        /// Which version of the value.
        version: u32,
    },
    /// The node lacks the key.
    Miss,
    /// It failed; it may have been executed.
    Error,
    /// Rejected; it was never executed.
    Rejected,
}

/// A process, as its peers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// It takes connections.
    Up,
    /// Connections are reset and rejected.
    Down,
    /// Nothing is answered and no connection rejected.
    Silent,
}

/// What the driver is to do, or to know.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Reply to an attempt.
    Reply {
        /// The attempt.
        attempt_id: AttemptId,
        /// The reply.
        reply: Reply,
        /// How it is written.
        delivery: Delivery,
    },
    /// A write has begun to execute.
    Executed(AttemptId),
    /// A queued attempt was dropped when its proxy cancelled it.
    Cancelled(AttemptId),
    /// A new member, to be given an address. Its number is the next one.
    Joined(usize),
    /// A member's process has changed.
    ProcessState(usize, ProcessState),
    /// A member's open connections go dead; new ones work.
    HalfOpen(usize),
    /// A cold node went down, overloaded.
    NodeOverloaded(usize),
    /// The origin went down, overloaded; with the fraction of its load that misses at cold nodes caused.
    OriginOverloaded(f64),
    /// The endpoint list has changed in this entry.
    Listed(Endpoint),
    /// Discovery is up, or down.
    Discovery(bool),
    /// A proxy is to be restarted.
    RestartProxy(usize),
}

struct Member {
    id: String,
    kind: String,
    machine: Machine,
    cache: ValueCache,
    process: ProcessState,
    started: Option<Nanos>,
}

struct InProgress {
    attempt: Attempt,
    hit: bool,
    version: u32,
}

/// What happens by itself, when it is due.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InternalEvent {
    Machine { member: usize, forecast: u64 },
    Publish(Endpoint),
    OriginRestart,
    Fault(usize),
}

/// Misses, and idempotency keys, that are remembered; beyond that the oldest are forgotten.
const MAX_REMEMBERED: usize = 1 << 17;
/// A miss is remembered for this long; the origin's reply is stored where it missed.
const MISS_RETENTION: Nanos = 10 * aniseyoke_lab_day::clock::SECOND;
/// A value is stored at this many of the nodes that missed, the first ones.
const STORED_AT: usize = 2;

#[derive(Default)]
struct Misses {
    members: Vec<usize>,
    cold: bool,
}

/// The model of a site.
pub struct SiteModel {
    day: Day,
    members: Vec<Member>,
    origin: usize,
    endpoint_list: EndpointList,
    fault_events: Vec<(Nanos, FaultEvent)>,
    response_faults: Vec<usize>,
    in_progress: HashMap<AttemptId, InProgress>,
    misses: HashMap<u64, Misses>,
    misses_order: VecDeque<(Nanos, u64)>,
    versions: HashMap<u64, u32>,
    executed_keys: HashMap<u64, Nanos>,
    executed_keys_order: VecDeque<(Nanos, u64)>,
    due: BinaryHeap<Reverse<(Nanos, u64, InternalEvent)>>,
    scheduled: u64,
}

impl SiteModel {
    /// The site as it is when the day begins: every node up and warm, with the most popular values cached. No fault is
    /// injected before [`SiteModel::begin`].
    pub fn new(day: &Day, key_space: &KeySpace) -> Self {
        let cache = &day.site.cache;
        let mut model = SiteModel {
            origin: cache.count,
            endpoint_list: EndpointList::new(cache.count + 1),
            fault_events: fault_schedule::fault_events(day),
            day: day.clone(),
            members: Vec::new(),
            response_faults: Vec::new(),
            in_progress: HashMap::new(),
            misses: HashMap::new(),
            misses_order: VecDeque::new(),
            versions: HashMap::new(),
            executed_keys: HashMap::new(),
            executed_keys_order: VecDeque::new(),
            due: BinaryHeap::new(),
            scheduled: 0,
        };
        for n in 0..cache.count {
            let kind = model.kind_of(n);
            let mut member = model.node(n, kind);
            // The most popular last, so that it is the most recently used.
            let cache_capacity = model.cache_capacity();
            (0..cache_capacity.min(day.load.keys))
                .rev()
                .for_each(|rank| member.cache.store(0, key_space.key(rank), 0));
            model.members.push(member);
        }
        let origin = model.origin();
        model.members.push(origin);
        model
    }

    /// Empties every node's cache, for a driver that fills them by load of its own.
    pub fn clear_caches(&mut self) {
        self.members.iter_mut().for_each(|m| m.cache.clear());
    }

    /// Multiplies the origin's speed from now on, while caches are filled.
    pub fn speed_up_origin(&mut self, now: Nanos, times: f64) {
        let origin = self.origin;
        self.members[origin].machine.set_speed_factor(now, times);
        self.forecast(now, origin);
    }

    /// A node's load report.
    pub fn load(&mut self, now: Nanos, member: usize) -> Option<Load> {
        let (busy, rate) = self.members[member].machine.load_report(now)?;
        Load::new(busy, rate)
    }

    /// Begins the day: faults are injected at their times from here on.
    pub fn begin(&mut self, now: Nanos) {
        for n in 0..self.fault_events.len() {
            self.schedule(now + self.fault_events[n].0, InternalEvent::Fault(n));
        }
    }

    fn cache_capacity(&self) -> u64 {
        (self.day.site.cache.memory_fraction * self.day.load.keys as f64).ceil() as u64
    }

    /// The kind of node `n`: kinds are spread by their shares over the numbers of the nodes.
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
        let spec = MachineSpec {
            cores: kind.cores,
            speed: kind.speed,
            slots: (cache.slots_per_core as f64 * kind.cores).ceil() as usize,
            queue_capacity: (cache.queue_per_core as f64 * kind.cores).ceil() as usize,
            cancels_queued: cache.cancels_queued,
            warm_up: nanos(cache.warm_up),
            initial_capacity: cache.initial_capacity,
            overload_multiple: cache.overload_multiple,
            overload_window: nanos(cache.overload_window),
            overloads_when_warm: false,
        };
        Member {
            id: format!("s-{:08x}", mix(self.day.seed, 0x1d, n as u64) as u32),
            kind: kind.name.clone(),
            machine: Machine::new(spec),
            cache: ValueCache::new(self.cache_capacity() as usize, nanos(cache.ttl)),
            process: ProcessState::Up,
            started: None,
        }
    }

    fn origin(&self) -> Member {
        let origin = &self.day.site.origin;
        let spec = MachineSpec {
            cores: origin.cores,
            speed: 1.0,
            slots: origin.slots,
            queue_capacity: origin.queue,
            cancels_queued: self.day.site.cache.cancels_queued,
            warm_up: 0,
            initial_capacity: 1.0,
            overload_multiple: origin.overload_multiple,
            overload_window: nanos(origin.overload_window),
            overloads_when_warm: true,
        };
        Member {
            id: "ledger".to_owned(),
            kind: "ledger".to_owned(),
            machine: Machine::new(spec),
            cache: ValueCache::new(1, 0),
            process: ProcessState::Up,
            started: None,
        }
    }

    /// The number of members so far, the origin and those that are gone included.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether a member is the origin.
    pub fn is_origin(&self, member: usize) -> bool {
        member == self.origin
    }

    /// A member's id and kind, as discovery lists them.
    pub fn name(&self, member: usize) -> (&str, &str) {
        (&self.members[member].id, &self.members[member].kind)
    }

    /// The state of a member's process.
    pub fn process(&self, member: usize) -> ProcessState {
        self.members[member].process
    }

    /// Whether a member is still warming up.
    pub fn is_cold(&self, member: usize, now: Nanos) -> bool {
        self.members[member].machine.is_cold(now)
    }

    /// The last start of a member that is still warming up, and the work, in nanoseconds on a core of speed 1, that it may be
    /// sent now within the overload window; none for a warm one.
    pub fn slow_start_budget(&self, member: usize, now: Nanos) -> Option<(Nanos, f64)> {
        self.members[member].machine.slow_start_budget(now)
    }

    /// The endpoint list as discovery has it.
    pub fn endpoint_list(&self) -> &EndpointList {
        &self.endpoint_list
    }

    /// When the next event of the model is due.
    pub fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, ..))| *at)
    }

    fn schedule(&mut self, at: Nanos, event: InternalEvent) {
        self.scheduled += 1;
        self.due.push(Reverse((at, self.scheduled, event)));
    }

    /// Schedules a machine's next event anew; what was scheduled before is void.
    fn forecast(&mut self, now: Nanos, member: usize) {
        let machine = &mut self.members[member].machine;
        machine.forecast += 1;
        let (forecast, due) = (machine.forecast, machine.next_due(now));
        if let Some(due) = due {
            self.schedule(due.max(now), InternalEvent::Machine { member, forecast });
        }
    }

    /// An attempt's last byte has arrived.
    pub fn arrive(&mut self, now: Nanos, attempt: Attempt, out: &mut Vec<Effect>) {
        let Attempt { attempt_id, member, request, class, key, write, .. } = attempt;
        if self.members[member].process != ProcessState::Up {
            return;
        }
        let Some(class) = class else { return self.reply(now, attempt, Reply::Error, out) };
        let version = self.versions.get(&key).copied().unwrap_or(0);
        let full_work = work(&self.day, request, class);
        let at_origin = member == self.origin;
        let hit = !at_origin && !write && self.members[member].cache.contains(now, key, version);
        let work = match (at_origin, write, hit) {
            (true, false, _) => (full_work as f64 * self.day.site.origin.fetch_work) as Nanos,
            (true, true, _) | (false, _, true) => full_work,
            (false, _, false) => (full_work as f64 * self.day.site.cache.miss_work) as Nanos,
        };
        let from_cold = at_origin && self.misses.get(&request).is_some_and(|m| m.cold);
        let admitted = self.members[member].machine.admit(now, attempt_id, work, from_cold);
        if matches!(admitted, Admitted::Started | Admitted::Queued) {
            self.in_progress.insert(attempt_id, InProgress { attempt, hit, version });
        }
        match admitted {
            Admitted::Started => self.started(now, attempt_id, out),
            Admitted::Queued => return,
            Admitted::Rejected => return self.reply(now, attempt, Reply::Rejected, out),
            Admitted::Overloaded => return self.overload(now, member, out),
        }
        self.forecast(now, member);
    }

    /// A proxy cancels an attempt.
    pub fn cancel(&mut self, attempt_id: AttemptId, out: &mut Vec<Effect>) {
        let Some(member) = self.in_progress.get(&attempt_id).map(|w| w.attempt.member) else { return };
        if self.members[member].machine.cancel(attempt_id) {
            self.in_progress.remove(&attempt_id);
            out.push(Effect::Cancelled(attempt_id));
        }
    }

    /// Handles every event that is due.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<Effect>) {
        while self.next_due().is_some_and(|due| due <= now) {
            let Some(Reverse((_, _, event))) = self.due.pop() else { return };
            match event {
                InternalEvent::Machine { member, forecast }
                    if self.members[member].machine.forecast == forecast =>
                {
                    self.members[member].machine.update_speed(now);
                    let mut begun = Vec::new();
                    while let Some(attempt_id) =
                        self.members[member].machine.take_done(now, |t| begun.push(t))
                    {
                        self.finished(now, attempt_id, out);
                    }
                    begun.into_iter().for_each(|attempt_id| self.started(now, attempt_id, out));
                    self.forecast(now, member);
                }
                InternalEvent::Machine { .. } => {}
                InternalEvent::Publish(endpoint) => {
                    let version = self.endpoint_list.version();
                    self.endpoint_list.publish(endpoint);
                    if self.endpoint_list.version() != version {
                        out.push(Effect::Listed(endpoint));
                    }
                }
                InternalEvent::OriginRestart => self.set_process(self.origin, ProcessState::Up, out),
                InternalEvent::Fault(n) => {
                    let event = self.fault_events[n].1.clone();
                    self.apply(now, event, out);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
