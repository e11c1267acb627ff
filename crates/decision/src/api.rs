//! Types between a proxy and the decision module: settings handed over at start, events in, actions out.
//!
//! All times are nanoseconds. The caller owns clock, sockets and timers; [`crate::Balancer`] owns none of
//! them.

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// Stable identity of a server: the same value at every proxy (see [`server_id`]).
pub type ServerId = u64;
/// The most pools there can be, so that a bucket keeps its number when one is added.
pub const MAX_POOLS: usize = 63;
/// Identity of a request at this proxy; below 2^52, never used twice.
pub type RequestId = u64;

/// Derives the identity of a server from its name (FNV-1a, then mixed), so that all proxies agree on it.
pub fn server_id(name: &str) -> ServerId {
    let h = name
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    let h = (h ^ (h >> 32)).wrapping_mul(0xd6e8_feb8_6659_fd93);
    h ^ (h >> 32)
}

/// Whether a request of a class may run again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats do no harm.
    #[default]
    Idempotent,
    /// It carries an idempotency key: servers of the class's group drop repeats within its window.
    WithKey,
    /// It must never run twice.
    NonIdempotent,
}

/// Which servers remember a request with an idempotency key.
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
    /// Latency objective: an answer has its full weight up to here.
    pub latency_objective: Nanos,
    /// The client gives up here, counted over all its retries.
    pub deadline: Nanos,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// With idempotency keys: which servers drop repeats.
    pub group: Group,
    /// With idempotency keys: for how long repeats are dropped.
    pub dedup_window: Nanos,
    /// Part of its priority weight that a late answer has.
    pub late_weight: f64,
    /// Priority weight of a request (or of a unit of its work).
    pub priority_weight: f64,
    /// The answer is streamed.
    pub stream: bool,
    /// The only servers that the class may be sent to.
    pub allowed_servers: Pool,
}

/// A pool of servers: those that fit both its zones and its kinds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Its only zones; `None`: all.
    pub zones: Option<Vec<u32>>,
    /// Its only machine kinds; `None`: all.
    pub kinds: Option<Vec<u32>>,
}

impl Pool {
    /// Whether a server of this zone and kind is part of it.
    pub fn contains(&self, zone: u32, kind: u32) -> bool {
        let fits = |set: &Option<Vec<u32>>, at| set.as_ref().is_none_or(|set| set.contains(&at));
        fits(&self.zones, zone) && fits(&self.kinds, kind)
    }
}

/// A tenant's quota.
#[derive(Clone, Debug, Default)]
pub struct Tenant {
    /// Requests a second within its quota, over all proxies.
    pub quota_rps: f64,
}

/// What the proxy is configured with.
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
    /// How many proxies there are.
    pub proxies: u32,
    /// This proxy's number among them, from 0.
    pub proxy_index: u32,
    /// The endpoint list must be subscribed to (else it is pushed).
    pub subscribes: bool,
    /// Cache-aside: a miss is answered as such, and the proxy asks the origin, a kind of its own.
    pub cache_aside: bool,
    /// The machine kind of the origin where `cache_aside`.
    pub origin_kind: Option<u32>,
    /// Weight of a request over its tenant's quota, as a part of its class's.
    pub over_quota_weight: f64,
    /// Priority weights are for a unit of work (else for a request).
    pub weight_by_work: bool,
    /// Most attempts for a request (0: one).
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Two attempts of a request may be in flight at once.
    pub hedging: bool,
    /// Rejections may advise a wait, at most this long (0: no advice).
    pub max_retry_after: Nanos,
    /// Idle connections close by themselves after this long (0: at once).
    pub idle_timeout: Nanos,
    /// Cost of a new connection, for each first attempt.
    pub handshake_cost: f64,
    /// Cost of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    /// Slow start: the part of its capacity that a server starts with.
    pub slow_start_from: f64,
    /// Slow start: a server has its full capacity after this long.
    pub slow_start_time: Nanos,
    /// A server in slow start fails when sent more than this multiple of its capacity.
    pub overload_multiple: f64,
    /// For this long.
    pub overload_window: Nanos,
    /// Idle connections to a draining server must be closed within this time (0: no such rule).
    pub drain_close_within: Nanos,
    /// Without a subscription the endpoint list must be asked for within this time.
    pub poll_within: Nanos,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Where a row of a load report holds what.
    pub report_columns: ReportColumns,
}

/// Where a load report that is a bare row holds what; `None`: it does not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportColumns {
    /// The part of its cores that is busy.
    pub busy: Option<usize>,
    /// Requests served a second.
    pub rate: Option<usize>,
}

impl ReportColumns {
    /// What a row says.
    pub fn load(&self, row: &[Option<f64>]) -> Option<Load> {
        let at = |column: Option<usize>| row.get(column?).copied().flatten();
        Load::new(at(self.busy)?, at(self.rate)?)
    }
}

/// A server's report of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    busy: f64,
    rate: f64,
}

impl Load {
    /// The part of its cores that is busy, and requests served a second; none if that can't be.
    pub fn new(busy: f64, rate: f64) -> Option<Self> {
        let sound = |v: f64, most: f64| v.is_finite() && (0.0..=most).contains(&v);
        (sound(busy, 64.0) && sound(rate, 1e9)).then_some(Load { busy, rate })
    }

    /// The part of its cores that is busy; noise may carry it past 1.
    pub fn busy(&self) -> f64 {
        self.busy
    }

    /// Requests served a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

impl Settings {
    /// Whether a request of this class, routed to this pool if to any, may be sent to a server of this zone
    /// and kind. A class or pool that is not known allows all.
    pub fn allows(&self, class: usize, pool: Option<usize>, zone: u32, kind: u32) -> bool {
        self.classes.get(class).is_none_or(|c| c.allowed_servers.contains(zone, kind))
            && pool.and_then(|p| self.pools.get(p)).is_none_or(|p| p.contains(zone, kind))
    }
}

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entry {
    /// Which server.
    pub server: ServerId,
    /// Its zone.
    pub zone: u32,
    /// Its machine kind.
    pub kind: u32,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: State,
    /// Size relative to others.
    pub weight: f64,
    /// Time of its last start; 0: long ago.
    pub started: Nanos,
}

/// What a list event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as it was known last; may be old.
    Cached,
    /// A call failed or the subscription broke; the old list stays.
    Failed,
    /// Only the changed entries, by the operators' word; discovery has said nothing.
    Overlay,
}

/// How an attempt or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Rejected by the server unprocessed; never ran.
    Rejected,
    /// No answer in time; it may run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Not sent; never ran.
    NotSent,
    /// No value for the key (cache-aside); never ran.
    Miss,
}

impl Status {
    /// True if this outcome proves that the attempt never ran.
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
    /// Index into [`Settings::pools`], where it is routed to one.
    pub pool: Option<u32>,
    /// The key, hashed or raw.
    pub key: Option<u64>,
    /// Time left before the client gives up this attempt of its own.
    pub remaining: Nanos,
    /// It writes.
    pub write: bool,
    /// Its client marked it as a retry.
    pub retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request.
    pub id: RequestId,
    /// Attempt number, from 0.
    pub attempt: u32,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub status: Status,
    /// Time from the send.
    pub elapsed: Nanos,
    /// The request is over.
    pub last: bool,
    /// Hit or miss, where the server says so.
    pub hit: Option<bool>,
}

/// What happens at the proxy.
#[derive(Clone, Debug)]
pub enum Event {
    /// A whole endpoint list, changes of it, or a call for it that failed.
    EndpointList {
        /// What the entries are.
        kind: ListKind,
        /// The entries.
        entries: Vec<Entry>,
    },
    /// A request arrived.
    Arrival(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// A timer ran out.
    Timer(u64),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// The client is getting its answer.
    AnswerBegun(RequestId),
    /// The last byte has come of a request that arrived before it: its time runs from now.
    BodyReceived(RequestId),
    /// Operators took a server out, whatever the list says of it until they give it back.
    Excluded(ServerId),
    /// Operators gave it back.
    Included(ServerId),
    /// A server has reported its load.
    LoadReport {
        /// Which server.
        server: ServerId,
        /// Its load, some time ago.
        load: Load,
    },
    /// A server's concurrency limit has changed. There is none until the first such event.
    ConcurrencyLimit {
        /// Which server.
        server: ServerId,
        /// Attempts of this proxy that may be in flight there at once.
        limit: f64,
    },
}

/// What the proxy is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `timeout` 0 means until the client stops waiting.
    Send {
        /// Request.
        id: RequestId,
        /// Server.
        server: ServerId,
        /// Time-out.
        timeout: Nanos,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Request.
        id: RequestId,
        /// Attempt.
        attempt: u32,
    },
    /// Final answer: rejected, a retry is harmless.
    Reject {
        /// Request.
        id: RequestId,
        /// Advised wait; 0: none.
        retry_after: Nanos,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Request.
        id: RequestId,
    },
    /// Wake me.
    Timer {
        /// Token to hand back.
        token: u64,
        /// From now.
        delay: Nanos,
    },
    /// Close the idle connections to a server.
    CloseIdle(ServerId),
    /// Subscribe to the endpoint list.
    Subscribe,
}
