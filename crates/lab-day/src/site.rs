//! The machines of a day: proxies, cache nodes, the origin, discovery.

use serde::Deserialize;
use std::time::Duration;

/// The machines of a site.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The proxies.
    #[serde(default)]
    pub proxy: ProxyLimits,
    /// The cache nodes.
    pub cache: CacheNodes,
    /// The origin.
    #[serde(rename = "ledger")]
    pub origin: Origin,
    /// Discovery.
    #[serde(default, rename = "roster")]
    pub discovery: DiscoveryDelays,
}

/// The proxies, and the resource limits in the configuration of each.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyLimits {
    /// Number of proxies.
    pub count: usize,
    /// Memory of a proxy, in MB.
    pub memory_mb: usize,
    /// Descriptors of a proxy.
    pub sockets: usize,
    /// How long the load balancer still sends connections to a dead proxy.
    #[serde(rename = "notice", with = "humantime_serde")]
    pub detection_delay: Duration,
}

impl Default for ProxyLimits {
    fn default() -> Self {
        ProxyLimits { count: 2, memory_mb: 128, sockets: 1024, detection_delay: Duration::from_secs(2) }
    }
}

/// A kind of machine among the cache nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Its name in discovery.
    pub name: String,
    /// Fraction of the fleet that is of this kind.
    pub share: f64,
    /// Cores of a machine.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Speed of a core; work is given for a core of speed 1.
    pub speed: f64,
}

fn default_cores() -> f64 {
    1.0
}

/// The fleet of cache nodes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CacheNodes {
    /// Number of cache nodes.
    pub count: usize,
    /// The kinds of machines.
    pub kinds: Vec<MachineKind>,
    /// Requests processed at once, for each core.
    #[serde(default = "default_slots")]
    pub slots_per_core: usize,
    /// Requests queued, for each core; beyond that they are rejected.
    #[serde(default = "default_queue", rename = "room_per_core")]
    pub queue_per_core: usize,
    /// Fraction of all keys that fit in a node's cache.
    #[serde(rename = "memory")]
    pub memory_fraction: f64,
    /// A cached value expires after this time.
    #[serde(default = "default_ttl", with = "humantime_serde")]
    pub ttl: Duration,
    /// Work of a miss as a fraction of the work of a hit.
    #[serde(default = "default_miss_work")]
    pub miss_work: f64,
    /// Fraction of its capacity that a node starts with.
    #[serde(default = "default_initial_capacity", rename = "cold_from")]
    pub initial_capacity: f64,
    /// A node reaches its full capacity after this time.
    #[serde(default = "default_warm_up", rename = "cold", with = "humantime_serde")]
    pub warm_up: Duration,
    /// A cold node fails if it receives more than this multiple of its current capacity...
    #[serde(default = "default_overload_multiple", rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ...within this time.
    #[serde(default = "default_overload_window", rename = "fall", with = "humantime_serde")]
    pub overload_window: Duration,
    /// Fraction of the responses that are errors.
    #[serde(default, rename = "errors")]
    pub error_rate: f64,
    /// Whether queued work is dropped when the proxy cancels its attempt; work in progress never is.
    #[serde(default, rename = "drops_queued")]
    pub cancels_queued: bool,
}

fn default_slots() -> usize {
    8
}
fn default_queue() -> usize {
    16
}
fn default_ttl() -> Duration {
    Duration::from_secs(30)
}
fn default_miss_work() -> f64 {
    0.1
}
fn default_initial_capacity() -> f64 {
    0.4
}
fn default_warm_up() -> Duration {
    Duration::from_secs(6)
}
fn default_overload_multiple() -> f64 {
    3.0
}
fn default_overload_window() -> Duration {
    Duration::from_secs(2)
}

/// The origin that all cache nodes share.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Origin {
    /// Its cores, each of speed 1.
    pub cores: f64,
    /// Requests processed at once.
    #[serde(default = "default_origin_slots")]
    pub slots: usize,
    /// Requests queued; beyond that they are rejected.
    #[serde(default = "default_origin_queue", rename = "room")]
    pub queue: usize,
    /// Work of a fetch as a multiple of the work of a hit.
    #[serde(default = "default_fetch_work")]
    pub fetch_work: f64,
    /// It fails if it receives more than this multiple of its capacity...
    #[serde(default = "default_overload_multiple", rename = "stop_multiple")]
    pub overload_multiple: f64,
    /// ...within this time.
    #[serde(default = "default_origin_overload_window", rename = "stop_after", with = "humantime_serde")]
    pub overload_window: Duration,
    /// It stays down for this time.
    #[serde(default = "default_outage", rename = "stopped", with = "humantime_serde")]
    pub outage: Duration,
    /// Requests that repeat an idempotency key are dropped for this time.
    #[serde(default = "default_dedup_window", rename = "repeats", with = "humantime_serde")]
    pub dedup_window: Duration,
}

fn default_origin_slots() -> usize {
    64
}
fn default_origin_queue() -> usize {
    256
}
fn default_fetch_work() -> f64 {
    1.5
}
fn default_origin_overload_window() -> Duration {
    Duration::from_secs(3)
}
fn default_outage() -> Duration {
    Duration::from_secs(4)
}
fn default_dedup_window() -> Duration {
    Duration::from_secs(6)
}

/// The delays with which discovery lists changes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DiscoveryDelays {
    /// The shortest time from a change to its listing.
    #[serde(rename = "lag_least", with = "humantime_serde")]
    pub min_lag: Duration,
    /// The longest time from a change to its listing.
    #[serde(rename = "lag_most", with = "humantime_serde")]
    pub max_lag: Duration,
    /// The longest time until a machine that stops responding is removed from the list.
    #[serde(with = "humantime_serde")]
    pub silent_lag: Duration,
    /// A proxy that does not poll for this long counts as notified.
    #[serde(rename = "must_ask_in", with = "humantime_serde")]
    pub poll_within: Duration,
}

impl Default for DiscoveryDelays {
    fn default() -> Self {
        DiscoveryDelays {
            min_lag: Duration::from_millis(300),
            max_lag: Duration::from_millis(2000),
            silent_lag: Duration::from_secs(6),
            poll_within: Duration::from_secs(10),
        }
    }
}
