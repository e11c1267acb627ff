//! The interface between a proxy and the decision module: settings, events in, actions out.
//!
//! All times are in nanoseconds. The caller owns the clock, sockets and timers; [`crate::Balancer`] owns none
//! of them.

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
/// Stable identity of a server: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// The maximum number of pools. It is fixed so that key buckets keep their numbers when a pool is added.
pub const MAX_POOLS: usize = 63;
/// Identity of a request at this proxy; below 2^52 and never reused.
pub type RequestId = u64;

/// Derives the identity of a server from its name (FNV-1a, then mixed), so that it is the same at all
/// proxies.
pub fn server_id(name: &str) -> ServerId {
    let h = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// Whether requests of a class may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// They may run any number of times.
    #[default]
    Idempotent,
    /// They carry an idempotency key: the servers of the class's group drop repeats within the deduplication
    /// window.
    WithKey,
    /// They must never run twice.
    NonIdempotent,
}

/// Which servers share the idempotency keys that they have seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All servers.
    #[default]
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Latency objective: an answer has its full priority weight up to this time after the arrival.
    pub latency_objective: Nanos,
    /// Time after which the client gives up, including all its retries.
    pub deadline: Nanos,
    /// Whether its requests may run more than once.
    pub idempotency: Idempotency,
    /// With idempotency keys: which servers drop repeats.
    pub group: Group,
    /// With idempotency keys: how long repeats are dropped.
    pub dedup_window: Nanos,
    /// The fraction of the priority weight that a late answer has.
    pub late_weight: f64,
    /// Priority weight of a request, or of a unit of its work (see [`Settings::weight_by_work`]).
    pub priority_weight: f64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// The servers that requests of the class may be sent to.
    pub allowed_servers: Pool,
}

impl Class {
    /// Whether a request may be sent again after an attempt that may have run.
    pub fn may_repeat(&self) -> bool {
        self.idempotency != Idempotency::NonIdempotent && !self.stream
    }
}

/// A pool of servers: those that match both its zones and its machine kinds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// The zones in the pool; `None`: all.
    pub zones: Option<Vec<u32>>,
    /// The machine kinds in the pool; `None`: all.
    pub kinds: Option<Vec<u32>>,
}

impl Pool {
    /// Whether the pool has servers of this zone and kind.
    pub fn contains(&self, zone: u32, kind: u32) -> bool {
        let matches = |set: &Option<Vec<u32>>, member| set.as_ref().is_none_or(|set| set.contains(&member));
        matches(&self.zones, zone) && matches(&self.kinds, kind)
    }
}

/// A tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests per second within the quota, over all proxies.
    pub quota_rps: f64,
}

/// Settings of the decision module.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Request classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Pools that requests may be routed to; at most [`MAX_POOLS`].
    pub pools: Vec<Pool>,
    /// This proxy's zone.
    pub zone: u32,
    /// The number of proxies.
    pub proxies: u32,
    /// This proxy's number among them, from 0.
    pub proxy_index: u32,
    /// Whether the proxy has to subscribe to the endpoint list; otherwise the list is pushed.
    pub subscribes: bool,
    /// Cache-aside: servers answer a miss as such, and the proxy fetches from the origin, which is listed as
    /// a machine kind of its own.
    pub cache_aside: bool,
    /// The machine kind of the origin in cache-aside deployments.
    pub origin_kind: Option<u32>,
    /// Priority weight of a request over its tenant's quota, as a fraction of its class's.
    pub over_quota_weight: f64,
    /// Whether priority weights apply to a unit of work; otherwise they apply to a request.
    pub weight_by_work: bool,
    /// The maximum number of attempts of a request (0: one).
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// The longest wait that a rejection may advise (0: rejections advise none).
    pub max_retry_after: Nanos,
    /// Time after which idle connections close (0: at once).
    pub idle_timeout: Nanos,
    /// Cost of a new connection for a first attempt.
    pub handshake_cost: f64,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    /// Slow start: the fraction of its capacity that a server starts with.
    pub slow_start_from: f64,
    /// Slow start: the time until a server has its full capacity.
    pub slow_start_time: Nanos,
    /// Slow start: a server fails when it gets more than this multiple of its capacity within
    /// [`Settings::overload_window`].
    pub overload_multiple: f64,
    /// Slow start: the time over which that load is measured.
    pub overload_window: Nanos,
    /// Time within which idle connections to a draining server must be closed (0: no limit).
    pub drain_close_within: Nanos,
    /// Time within which the endpoint list must be polled while there is no subscription.
    pub poll_within: Nanos,
    /// Whether clients mark their retries.
    pub clients_mark_retries: bool,
    /// Columns of a load report.
    pub report_columns: ReportColumns,
}

/// Columns of a load report that is a row of numbers; `None`: the report lacks that value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportColumns {
    /// The fraction of the server's cores that is busy.
    pub busy: Option<usize>,
    /// Requests served per second.
    pub rate: Option<usize>,
}

impl ReportColumns {
    /// Returns the load that a row reports, if it has both values and they are plausible.
    pub fn load(&self, row: &[Option<f64>]) -> Option<Load> {
        let value = |column: Option<usize>| row.get(column?).copied().flatten();
        Load::new(value(self.busy)?, value(self.rate)?)
    }
}

/// A server's reported load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    busy: f64,
    rate: f64,
}

impl Load {
    /// Takes the fraction of busy cores and the requests served per second; returns `None` if either is
    /// implausible.
    pub fn new(busy: f64, rate: f64) -> Option<Self> {
        let plausible = |v: f64, max: f64| v.is_finite() && (0.0..=max).contains(&v);
        (plausible(busy, 64.0) && plausible(rate, 1e9)).then_some(Load { busy, rate })
    }

    /// The fraction of the server's cores that is busy; noise may raise it above 1.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Requests served per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

impl Settings {
    /// Whether a request of this class and, if it is routed to one, this pool may be sent to a server of this
    /// zone and kind. An unknown class or pool allows all servers.
    pub fn allows(&self, class: usize, pool: Option<usize>, zone: u32, kind: u32) -> bool {
        self.classes.get(class).is_none_or(|c| c.allowed_servers.contains(zone, kind))
            && pool.and_then(|p| self.pools.get(p)).is_none_or(|p| p.contains(zone, kind))
    }
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes the requests in flight; no new ones may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// The server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// Size relative to other servers.
    pub weight: f64,
    /// Time of its last start; 0: unknown, long ago.
    pub started: Nanos,
}

/// The content of an endpoint list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as last known; it may be out of date.
    Cached,
    /// A call to the discovery service failed or the subscription broke; the previous list stays in use.
    Failed,
    /// Only the changed entries, set by an operator and not by the discovery service.
    Overlay,
    /// The complete list as another process of this proxy was told it by the discovery service.
    Shared,
}

impl ListKind {
    /// Whether it is what the discovery service answers to a call of this process.
    pub fn answers_call(self) -> bool {
        matches!(self, ListKind::Delta | ListKind::Full)
    }
}

/// How an attempt or health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The server answered.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// The server rejected it unprocessed; it never ran.
    Rejected,
    /// No answer in time; it may run.
    Timeout,
    /// No connection could be made; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
    /// The server has no value for the key (cache-aside); it never ran.
    Miss,
}

impl Status {
    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss)
    }
}

/// A request as it arrives.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its identity.
    pub id: RequestId,
    /// Index into [`Settings::classes`].
    pub class: u32,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<u32>,
    /// Index into [`Settings::pools`], if the request is routed to one.
    pub pool: Option<u32>,
    /// The key, hashed or raw.
    pub key: Option<u64>,
    /// Time left before the client gives up this attempt.
    pub remaining: Nanos,
    /// Whether the request is a write.
    pub write: bool,
    /// Whether the client marked it as a retry.
    pub retry: bool,
    /// Whether a part of its body is still to come; [`Event::BodyReceived`] tells of its end.
    pub body_pending: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request.
    pub id: RequestId,
    /// Attempt number, from 0.
    pub attempt: u32,
    /// The server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time since it was sent.
    pub elapsed: Nanos,
    /// Whether the request has ended with this attempt.
    pub last: bool,
    /// Whether it was a cache hit, if the server reports that.
    pub hit: Option<bool>,
}

/// An event at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A complete endpoint list, changes to it, or a failed call for it.
    EndpointList {
        /// Which entries the event carries.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// The timer with this token expired.
    Timer(u64),
    /// The client disconnected; it needs no answer.
    ClientLeft(RequestId),
    /// The proxy has begun to send the client its answer.
    AnswerBegun(RequestId),
    /// The first byte of a server's answer to an attempt has arrived. The rest may still take long.
    ResponseStarted {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// The body of a request is complete; the request's time limits count from now.
    BodyReceived(RequestId),
    /// An operator excluded a server. It stays excluded, whatever the endpoint list says, until
    /// [`Event::Included`].
    Excluded(ServerId),
    /// An operator ended the exclusion of a server.
    Included(ServerId),
    /// A server reported its load.
    LoadReport {
        /// The server.
        server: ServerId,
        /// Its load at the time of the report.
        load: Load,
    },
    /// A server's concurrency limit changed. A server has none until the first such event.
    ConcurrencyLimit {
        /// The server.
        server: ServerId,
        /// The number of attempts of this proxy that may be in flight there at once.
        limit: f64,
    },
}

/// An action for the proxy to take; actions are taken in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; with a `timeout` of 0, wait for it as long as the client waits.
    Send {
        /// Request.
        id: RequestId,
        /// Server.
        server: ServerId,
        /// Timeout of the attempt.
        timeout: Nanos,
    },
    /// Let an attempt whose answer has begun to arrive go on until the client gives up.
    AwaitResponse {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
        /// Time without a further byte after which the attempt times out all the same; 0: no limit.
        max_pause: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// Final answer: the request is rejected, and the client may safely retry it.
    Reject {
        /// Request.
        id: RequestId,
        /// The wait before a retry that the answer advises; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: the request failed, and it may have run.
    Fail {
        /// Request.
        id: RequestId,
    },
    /// Start a timer.
    Timer {
        /// The token to return in [`Event::Timer`].
        token: u64,
        /// Time from now until the timer expires.
        delay: Nanos,
    },
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Subscribe to the endpoint list.
    Subscribe,
}
