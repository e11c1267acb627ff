//! A discrete-event simulation of a fleet of proxies. Each proxy runs the real decision module against the
//! model of the site, without sockets and in simulated time. A fleet of hundreds of proxies fits in one
//! process, and the result depends only on the day file, the seed and the sizes of the fleet.
//!
//! Compared with a trial on sockets, the simulation omits: the proxies' own processing time, the transfer of
//! bytes and fragments, the load balancer's detection of failed proxies (no proxy fails here), the load on
//! discovery, the limits set by an operator file, and the cost of connections to a node. A new connection
//! costs one round trip.
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
use ramp::SlowStartCounter;
use rustc_hash::FxHashMap;
use std::iter::Peekable;
use std::time::Duration;

/// Options of a simulation, beyond the day file.
#[derive(Clone, Debug)]
pub struct Options {
    /// The day's load runs for this long before the reported part begins, with an origin fast enough for all
    /// of it, so that the caches fill.
    pub warm_up: Duration,
    /// How unevenly clients are spread over the proxies: the sigma of a log-normal weight. 0 spreads them
    /// evenly.
    pub unevenness: f64,
    /// The fraction of all attempts that goes to the first proxy in addition to its share of the rest. It must
    /// be below 1.
    pub first_proxy_fraction: f64,
    /// Additional clients besides those of the day, if any.
    pub crowd: Option<Crowd>,
    /// The list service. Without it, proxies receive each change at once and calls are not counted.
    pub list: Option<ListService>,
    /// Connections per second that all proxies together may open to a node and to the origin; unlimited if
    /// `None`.
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

/// Additional requests, all of one tenant and one class.
#[derive(Clone, Debug)]
pub struct Crowd {
    /// When the requests begin, measured from the start of the reported part.
    pub at: Duration,
    /// How long the requests continue.
    pub length: Duration,
    /// Requests per second, over all proxies.
    pub rate: f64,
    /// The fraction of the proxies that receive these requests.
    pub proxies: f64,
    /// The index of the tenant in the day file.
    pub tenant: usize,
    /// The maximum number of retries per request. The clients retry immediately and ignore `Retry-After`.
    pub retries: u32,
}

/// Factor on the speed of the origin during the warm-up, while caches fill.
const WARM_UP_ORIGIN_SPEED: f64 = 20.0;
/// Minimum and maximum network delay between any two machines.
const NETWORK_DELAY: (Nanos, Nanos) = (MILLISECOND / 5, MILLISECOND / 2);
/// Timeout of a connection attempt that is not answered.
const CONNECT_TIMEOUT: Nanos = 250 * MILLISECOND;
/// Bounds the weight of a proxy: at most this factor, and at least its inverse.
const MAX_UNEVENNESS: f64 = 6.0;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    /// The day's next request is due.
    NextRequest,
    /// The crowd's next request is due.
    CrowdRequest,
    /// An event of the site model is due.
    WorldDue,
    /// The reported part of the day begins.
    DayBegins,
    /// A client sends its next attempt: the client's slot.
    ClientAttempt(u32),
    /// A client disconnects before its response: the client's slot and the attempt number.
    ClientAbort(u32, u32),
    /// The deadline of a request at a proxy: the proxy and the request id.
    Deadline(u32, u64),
    /// A timer of a proxy expires: the proxy and the timer's token.
    Timer(u32, u64),
    /// An attempt arrives at its member.
    AttemptArrival(AttemptId),
    /// The outcome of an attempt reaches its proxy.
    AttemptReply(AttemptId, AttemptReply),
    /// An attempt times out at its proxy.
    AttemptTimeout(AttemptId),
    /// A proxy receives the endpoint list.
    ListAnswer(u32),
    /// A proxy's call reaches the list service.
    ListCall(u32),
    /// A watch of a proxy expires: the proxy and the number of the watch.
    WatchExpiry(u32, u32),
    /// A proxy's call to the list service has failed, or was rejected if the flag is set.
    ListFailure(u32, bool),
    /// A proxy requests a permit to open a connection for an attempt.
    OpenConnection(AttemptId),
}

/// The outcome of an attempt as its proxy observes it.
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
    /// The index of the attempt among those of its request.
    index: u32,
    member: usize,
    /// Whether the connection was opened for this attempt.
    new_connection: bool,
    reached: bool,
    /// Whether its connection is half-open, so that no reply is received on it.
    dead: bool,
    origin: bool,
    /// The deadline for obtaining a permit to open a connection; `None` if no permit is needed.
    permit_by: Option<Nanos>,
}

/// A simulation of one day.
pub struct Sim {
    day: Day,
    options: Options,
    key_space: KeySpace,
    world: SiteModel,
    arrivals: Peekable<Arrivals>,
    queue: Queue,
    now: Nanos,
    /// The time at which the reported part begins.
    reported_from: Nanos,
    proxies: Vec<SimProxy>,
    /// Cumulative weights of the proxies, by which client attempts are distributed.
    weights: Vec<f64>,
    /// Client requests by slot; a slot is reused once its request has ended.
    clients: Vec<ClientRequest>,
    free_clients: Vec<u32>,
    crowd: u64,
    in_flight: FxHashMap<AttemptId, InFlightAttempt>,
    attempt_count: AttemptId,
    draws: u64,
    executions: FxHashMap<u64, u32>,
    /// Members by their server id in the decision module.
    members_by_server: FxHashMap<u64, usize>,
    /// The due time of the model event that was queued last.
    world_due: Option<Nanos>,
    effects: Vec<Effect>,
    connection_load: ConnectionLoad,
    ramp: SlowStartCounter,
    /// The counts so far.
    pub counts: Counts,
}

impl Sim {
    /// Creates a simulation at the start of a day, with the proxies and nodes of the day file.
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
            .for_each(|cumulative| *cumulative += first_proxy_fraction / (1.0 - first_proxy_fraction) * sum);
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
            ramp: SlowStartCounter::new(day),
            options,
        };
        sim.start();
        sim
    }

    /// The parts of a day that are not simulated, by their names in the day file.
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
        all.into_iter().filter(|(configured, _)| *configured).map(|(_, name)| name).collect()
    }

    /// A pseudo-random number in [0, 1) that depends on the seed and on the number of earlier draws.
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

    /// The second of the reported part that a time falls into; `None` during the warm-up.
    fn second(&self, at: Nanos) -> Option<usize> {
        Some((at.checked_sub(self.reported_from)? / SECOND) as usize)
    }
}
