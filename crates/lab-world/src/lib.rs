//! The model of a site: cache nodes, the origin, the endpoint list and the faults of the day. It performs no I/O and
//! reads no clock: a driver passes the time in and carries out the returned effects, on sockets or in simulated time.
//!
//! The driver calls [`SiteModel::arrive`] and [`SiteModel::cancel`] as attempts arrive and are cancelled, and
//! [`SiteModel::tick`] whenever [`SiteModel::next_due`] is reached; each appends [`Effect`]s.
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

/// Id of a proxy's attempt at a member, unique within the site.
pub type AttemptId = u64;

/// A completely received attempt at a member.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The attempt's id, never reused.
    pub attempt_id: AttemptId,
    /// The member that received it.
    pub member: usize,
    /// The client's request to which the attempt belongs.
    pub request: u64,
    /// Index of the request's class in the day; `None` for a class that the day does not define.
    pub class: Option<usize>,
    /// The requested key.
    pub key: u64,
    /// Whether the request is a write.
    pub write: bool,
    /// A digest of the idempotency key, if the request has one.
    pub idempotency_key: Option<u64>,
}

/// How a response is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Complete, in one write.
    Unmodified,
    /// In fragments of this many bytes.
    Fragmented(usize),
    /// The connection is reset in the middle of the response.
    Truncated,
    /// The response is not valid HTTP.
    Malformed,
    /// The response announces 3 GB, sends part of it and stalls.
    Oversize,
    /// The response stalls in the middle of its head.
    Stuck,
}

/// A member's reply to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value, from the node's own cache, or fetched or written at the origin.
    Served {
        /// Whether the value was in the node's cache.
        hit: bool,
        /// Version of the value.
        version: u32,
    },
    /// The key is not in the node's cache.
    Miss,
    /// The request failed; it may have been executed.
    Error,
    /// The request was rejected and never executed.
    Rejected,
}

/// The state of a process as its peers observe it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Connections are accepted.
    Up,
    /// Open connections are reset and new ones refused.
    Down,
    /// Nothing is answered, and connections are neither accepted nor refused.
    Silent,
}

/// An action for the driver to carry out, or an event to record.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A reply to send to an attempt.
    Reply {
        /// The attempt.
        attempt_id: AttemptId,
        /// The reply.
        reply: Reply,
        /// How the reply is written.
        delivery: Delivery,
    },
    /// Execution of a write has started.
    Executed(AttemptId),
    /// A queued attempt was dropped because its proxy cancelled it.
    Cancelled(AttemptId),
    /// A new member has joined and needs an address. Its index is the number of members before it.
    Joined(usize),
    /// A member's process has changed its state.
    ProcessState(usize, ProcessState),
    /// A member's open connections become half-open; new ones work.
    HalfOpen(usize),
    /// A cold node went down under overload.
    NodeOverloaded(usize),
    /// The origin went down under overload; `.0` is the fraction of its load that misses at cold nodes caused.
    OriginOverloaded(f64),
    /// This entry of the endpoint list has changed.
    Listed(Endpoint),
    /// Discovery has come up (`true`) or gone down.
    Discovery(bool),
    /// The proxy with this index must be restarted.
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

/// An event that the model schedules for itself.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum InternalEvent {
    Machine { member: usize, forecast: u64 },
    Publish(Endpoint),
    OriginRestart,
    Fault(usize),
}

/// Maximum number of retained misses, and of retained idempotency keys; beyond it the oldest are dropped.
const MAX_HISTORY_ENTRIES: usize = 1 << 17;
/// Retention of a miss; within it the value fetched from the origin is cached at the nodes that missed.
const MISS_RETENTION: Nanos = 10 * aniseyoke_lab_day::clock::SECOND;
/// Maximum number of nodes that cache a fetched value: the first ones that missed.
const MAX_STORING_NODES: usize = 2;

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
    scheduled_count: u64,
}

impl SiteModel {
    /// Creates the site in its state at the start of the day: every node is up and warm, with the most popular values
    /// cached. No fault is injected before [`SiteModel::begin`].
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
            scheduled_count: 0,
        };
        for n in 0..cache.count {
            let kind = model.kind_of(n);
            let mut member = model.node(n, kind);
            // The most popular value is stored last, so that it is the most recently used.
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

    /// Clears every node's cache, for a driver that fills the caches with its own load.
    pub fn clear_caches(&mut self) {
        self.members.iter_mut().for_each(|m| m.cache.clear());
    }

    /// Multiplies the origin's normal speed from now on; a driver uses it while it fills the caches.
    pub fn speed_up_origin(&mut self, now: Nanos, times: f64) {
        let origin = self.origin;
        self.members[origin].machine.set_speed_factor(now, times);
        self.forecast(now, origin);
    }

    /// A member's load report.
    pub fn load(&mut self, now: Nanos, member: usize) -> Option<Load> {
        let (busy, rate) = self.members[member].machine.load_report(now)?;
        Load::new(busy, rate)
    }

    /// Starts the day: faults are injected at their times, counted from `now`.
    pub fn begin(&mut self, now: Nanos) {
        for n in 0..self.fault_events.len() {
            self.schedule(now + self.fault_events[n].0, InternalEvent::Fault(n));
        }
    }

    fn cache_capacity(&self) -> u64 {
        (self.day.site.cache.memory_fraction * self.day.load.keys as f64).ceil() as u64
    }

    /// The kind of node `n`: kinds are assigned to node indices in proportion to their shares.
    fn kind_of(&self, n: usize) -> usize {
        let cache = &self.day.site.cache;
        let mut remaining = (n as f64 + 0.5) / cache.count as f64;
        for (k, kind) in cache.kinds.iter().enumerate() {
            remaining -= kind.share;
            if remaining < 0.0 {
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

    /// The number of members so far, including the origin and members that are gone.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// Whether a member is the origin.
    pub fn is_origin(&self, member: usize) -> bool {
        member == self.origin
    }

    /// A member's id and kind as listed by discovery.
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

    /// The last start of a member that is still warming up, and the work, in nanoseconds on a core of speed 1, that it
    /// may be sent within the overload window; `None` for a warm member.
    pub fn slow_start_budget(&self, member: usize, now: Nanos) -> Option<(Nanos, f64)> {
        self.members[member].machine.slow_start_budget(now)
    }

    /// The endpoint list that discovery serves.
    pub fn endpoint_list(&self) -> &EndpointList {
        &self.endpoint_list
    }

    /// The time of the model's next event.
    pub fn next_due(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((at, ..))| *at)
    }

    fn schedule(&mut self, at: Nanos, event: InternalEvent) {
        self.scheduled_count += 1;
        self.due.push(Reverse((at, self.scheduled_count, event)));
    }

    /// Reschedules a machine's next event; events scheduled earlier are ignored.
    fn forecast(&mut self, now: Nanos, member: usize) {
        let machine = &mut self.members[member].machine;
        machine.forecast += 1;
        let (forecast, due) = (machine.forecast, machine.next_due(now));
        if let Some(due) = due {
            self.schedule(due.max(now), InternalEvent::Machine { member, forecast });
        }
    }

    /// Handles an attempt whose last byte has arrived.
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
        let from_cold_node = at_origin && self.misses.get(&request).is_some_and(|m| m.cold);
        let admitted = self.members[member].machine.admit(now, attempt_id, work, from_cold_node);
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

    /// Handles the cancellation of an attempt by its proxy.
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
                        self.members[member].machine.pop_completed(now, |t| begun.push(t))
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
