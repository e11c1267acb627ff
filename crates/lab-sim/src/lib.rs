//! Simulated time: the real decision module, one instance for each proxy, over the model of the site, without sockets. Whole
//! fleets of hundreds of proxies fit in one process, and a day follows from its file, seed and sizes alone.
//!
//! Left out, compared with a trial on sockets: the proxies' own cost in time, bytes and their fragments, the load balancer's
//! detection of dead proxies (none dies here), discovery's own load, limits that an operator file sets, and what connections
//! cost a node. A new connection costs a round trip.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod attempts;
mod client;
mod counts;
mod list_service;
mod proxy;
mod queue;
mod ramp;
mod run;
#[cfg(test)]
mod tests;

pub use counts::{Counts, Second, CAUSES};
pub use list_service::ListService;
pub use ramp::{SlowStartStats, SlowStartWindow};

use aniseyoke_lab_day::clock::{mix, nanos, unit_fraction, Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::Arrivals;
use aniseyoke_lab_world::connection_load::{ConnectionLimits, ConnectionLoad};
use aniseyoke_lab_world::{AttemptId, Effect, KeySpace, SiteModel};
use client::ClientRequest;
use proxy::SimProxy;
use queue::Queue;
use ramp::Ramp;
use rustc_hash::FxHashMap;
use std::iter::Peekable;
use std::time::Duration;

/// How a day is simulated.
#[derive(Clone, Debug)]
pub struct Options {
    /// The day's load runs this long before what is reported, with an origin that is fast enough for all of it, so that caches fill.
    pub warm_up: Duration,
    /// How unevenly clients are spread over the proxies: the sigma of a log-normal weight; 0: evenly.
    pub unevenness: f64,
    /// The fraction of all attempts that goes to the first proxy beside its share of the rest; below 1.
    pub first_proxy_fraction: f64,
    /// Clients beside the day's own, if any.
    pub crowd: Option<Crowd>,
    /// The list service; without it proxies get each change at once, and calls are not counted.
    pub list: Option<ListService>,
    /// Connections a second that all proxies together may open to a node and to the origin; no limit if none.
    pub connection_rates: Option<(f64, f64)>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            warm_up: Duration::from_secs(30),
            unevenness: 0.6,
            first_proxy_fraction: 0.0,
            crowd: None,
            list: None,
            connection_rates: None,
        }
    }
}

/// Requests beside the day's own, all of one tenant and class.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// From when, counted from the start of what is reported.
    pub at: Duration,
    /// For how long.
    pub length: Duration,
    /// Requests a second, over all proxies.
    pub rate: f64,
    /// The fraction of the proxies that they are sent to.
    pub proxies: f64,
    /// The tenant, as the day numbers them.
    pub tenant: usize,
    /// They retry at most this often after a failed attempt, at once and ignoring `Retry-After`.
    pub retries: u32,
}

/// The origin's speed is multiplied by this while caches fill.
const WARM_UP_ORIGIN_SPEED: f64 = 20.0;
/// The delay between any two machines, at least and at most.
const NETWORK_DELAY: (Nanos, Nanos) = (MILLISECOND / 5, MILLISECOND / 2);
/// An unanswered connection attempt is given up after this time.
const CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;
/// A proxy gets at most this many times the mean of what clients send, and at least this fraction.
const MAX_UNEVENNESS: f64 = 6.0;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// The day's next request is due.
    NextRequest,
    /// The crowd's next request is due.
    CrowdRequest,
    /// The model has something due.
    WorldDue,
    /// The reported part begins.
    DayBegins,
    /// A client sends its next attempt: its slot.
    ClientAttempt(u32),
    /// A client disconnects before its response: its slot, and which attempt.
    ClientAbort(u32, u32),
    /// A proxy's request has run out of time.
    Deadline(u32, u64),
    /// A proxy's timer.
    Timer(u32, u64),
    /// A proxy's attempt arrives at its member.
    AttemptArrival(AttemptId),
    /// The outcome of an attempt has reached its proxy.
    AttemptReply(AttemptId, AttemptReply),
    /// A proxy waits no longer for an attempt.
    AttemptTimeout(AttemptId),
    /// A proxy is sent the endpoint list.
    ListAnswer(u32),
    /// A proxy's call reaches the list service.
    ListCall(u32),
    /// A proxy's watch has been held for its time: the watch's number.
    WatchExpiry(u32, u32),
    /// A proxy's call has failed, or was refused.
    ListFailure(u32, bool),
    /// A proxy asks for a permit to open a connection for an attempt.
    OpenConnection(AttemptId),
}

/// How an attempt ended, as its proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptReply {
    Served { hit: bool },
    Miss,
    Error,
    Rejected,
    ConnectFailed,
    Reset,
}

/// An attempt in flight.
struct InFlightAttempt {
    proxy: u32,
    request: u64,
    /// Which of its request's attempts it is.
    index: u32,
    member: usize,
    /// Over a connection that was opened for it.
    new_connection: bool,
    reached: bool,
    /// Its connection is half-open: nothing comes back over it.
    dead: bool,
    origin: bool,
    /// When its wait for a permit to open a connection ends; none if it needs no permit.
    permit_by: Option<Nanos>,
}

/// A day in simulated time.
pub struct Sim {
    day: Day,
    options: Options,
    key_space: KeySpace,
    world: SiteModel,
    arrivals: Peekable<Arrivals>,
    queue: Queue,
    now: Nanos,
    /// When what is reported begins.
    reported_from: Nanos,
    proxies: Vec<SimProxy>,
    /// Cumulated weights of the proxies, by which attempts are spread.
    weights: Vec<f64>,
    /// The requests that have not ended, by slot.
    clients: Vec<ClientRequest>,
    free_clients: Vec<u32>,
    crowd: u64,
    in_flight: FxHashMap<AttemptId, InFlightAttempt>,
    attempt_count: AttemptId,
    draws: u64,
    executions: FxHashMap<u64, u32>,
    /// Members by the id that the module knows them by.
    members_by_server: FxHashMap<u64, usize>,
    /// The due time of the model's event that was last queued.
    world_due: Option<Nanos>,
    effects: Vec<Effect>,
    connection_load: ConnectionLoad,
    ramp: Ramp,
    /// What was counted.
    pub counts: Counts,
}

impl Sim {
    /// A day before it begins, its proxies and nodes as the day's file has them.
    pub fn new(day: &Day, options: Options) -> Self {
        let warm_up = nanos(options.warm_up);
        let key_space = KeySpace::new(day);
        let mut world = SiteModel::new(day, &key_space);
        world.clear_caches();
        let proxies = (0..day.site.proxy.count).map(|index| SimProxy::new(day, index, &options));
        let proxies: Vec<SimProxy> = proxies.collect();
        let mut sum = 0.0;
        let weights = (0..proxies.len()).map(|p| {
            let drawn: f64 =
                (0..12).map(|n| unit_fraction(mix(day.seed, 0x0e7e + n, p as u64))).sum::<f64>() - 6.0;
            sum += (options.unevenness * drawn).exp().clamp(1.0 / MAX_UNEVENNESS, MAX_UNEVENNESS);
            sum
        });
        let mut weights: Vec<f64> = weights.collect();
        let first_proxy_fraction = options.first_proxy_fraction.clamp(0.0, 0.99);
        weights
            .iter_mut()
            .for_each(|upto| *upto += first_proxy_fraction / (1.0 - first_proxy_fraction) * sum);
        let mut sim = Sim {
            arrivals: Arrivals::with_warm_up(day, options.warm_up).peekable(),
            counts: Counts::new(day),
            day: day.clone(),
            key_space,
            world,
            queue: Queue::default(),
            now: 0,
            reported_from: warm_up,
            proxies,
            weights,
            clients: Vec::new(),
            free_clients: Vec::new(),
            crowd: 0,
            in_flight: FxHashMap::default(),
            attempt_count: 0,
            draws: 0,
            executions: FxHashMap::default(),
            members_by_server: FxHashMap::default(),
            world_due: None,
            effects: Vec::new(),
            connection_load: ConnectionLoad::new(ConnectionLimits::default()),
            ramp: Ramp::new(day),
            options,
        };
        sim.start();
        sim
    }

    /// The parts of a day that are not simulated, by the names in its file.
    pub fn unsimulated_parts(day: &Day) -> Vec<&'static str> {
        use aniseyoke_lab_day::FaultKind::{DiscoveryDown, Pieces, ProxyRoll};
        let fault = |kind| day.faults.iter().any(|t| t.kind == kind);
        let misbehaving = &day.load.misbehaving;
        let all = [
            (fault(ProxyRoll), "proxy-roll"),
            (fault(DiscoveryDown), "discovery-down"),
            (fault(Pieces), "pieces"),
            (misbehaving.idle_connections > 0, "load.rude.idle"),
            (misbehaving.slow_readers > 0.0, "load.rude.slow_readers"),
            (misbehaving.slow_writers > 0.0, "load.rude.slow_writers"),
            (misbehaving.abort_sending > 0.0, "load.rude.leave_asking"),
        ];
        all.into_iter().filter(|(there, _)| *there).map(|(_, name)| name).collect()
    }

    /// A number in [0, 1) that follows from the seed and the count of earlier ones.
    fn draw(&mut self) -> f64 {
        self.draws += 1;
        unit_fraction(mix(self.day.seed, 0xd4a5, self.draws))
    }

    fn network_delay(&mut self) -> Nanos {
        NETWORK_DELAY.0 + ((NETWORK_DELAY.1 - NETWORK_DELAY.0) as f64 * self.draw()) as Nanos
    }

    fn schedule_after(&mut self, delay: Nanos, event: SimEvent) {
        self.queue.push(self.now.saturating_add(delay), event);
    }

    /// The second of the reported part in which something happens; none before it.
    fn second(&self, at: Nanos) -> Option<usize> {
        Some((at.checked_sub(self.reported_from)? / SECOND) as usize)
    }
}
