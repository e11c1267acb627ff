//! All keys of the operator's file. `config explain` prints the doc comments of the fields, and the JSON
//! Schema contains the names of the types.

mod contradictions;
mod start;

pub use contradictions::Contradiction;
pub use start::{List, Opening};

use aniseyoke_core::limits::LimitsConfig;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The operator's configuration. Optional tables that are absent disable their feature.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// What is written to the log, and how.
    pub log: Log,
    /// Limits of requests in flight at nodes, and queues of requests that wait for capacity; disabled if
    /// absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub limits: Option<LimitsConfig>,
    /// Services that publish versions of this configuration; disabled if absent. Can only be set in the file
    /// or the environment.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub control: Option<Control>,
    /// How the discovery service is polled, and whether its endpoint list is stored across restarts; disabled
    /// if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub list: Option<List>,
    /// Maximum rates of new connections from all proxies together to one machine; unlimited if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub opening: Option<Opening>,
    /// Tenants, by their names on the platform.
    pub tenants: BTreeMap<String, Tenant>,
    /// Named groups of nodes to which routes refer.
    pub pools: BTreeMap<String, Pool>,
    /// Rules that select the pool of a request. The first match applies; a request that matches none may go
    /// to any node.
    pub routes: Vec<Route>,
    /// Changes to nodes of the endpoint list; the first match applies.
    pub overlays: Vec<Overlay>,
    /// Features that can be disabled.
    pub features: Features,
}

/// What is written to the log, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The format of log lines: plain text or JSON objects.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub format: Format,
    /// The least severe level that is logged.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub level: Level,
    /// The least severe level that is logged for single parts of the program, such as `discovery` or
    /// `handover`.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub targets: BTreeMap<String, Level>,
    /// Number of lines that one call site may log at once. Further lines are limited to `per_second`, and the
    /// number of suppressed lines is logged.
    #[schemars(range(min = 1, max = 100_000), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "lines"))]
    pub burst: u32,
    /// Number of lines that one call site may log per second once `burst` is used up.
    #[schemars(range(min = 1, max = 10_000), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "lines a second"))]
    pub per_second: u32,
}

impl Default for Log {
    fn default() -> Self {
        let (format, level, targets) = (Format::Plain, Level::Info, BTreeMap::new());
        Log { format, level, targets, burst: 100, per_second: 1 }
    }
}

/// The control services whose versions the proxy follows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Addresses of the control services, tried in turn.
    #[schemars(with = "Vec<String>", extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub services: Vec<SocketAddr>,
    /// The name of this proxy at the control services, the same after a restart; by default its listen
    /// address for clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub instance: Option<String>,
    /// Labels with which rollouts select this proxy.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub labels: BTreeMap<String, String>,
    /// The directory in which the last good version is stored across restarts; without it, a restart waits
    /// for a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub dir: Option<PathBuf>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Plain text with the prefix `aniseyoke: `.
    Plain,
    /// JSON objects with time, level, target and fields.
    Json,
}

/// The minimum severity of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Log nothing.
    Off,
    /// Log failures only.
    Error,
    /// Also log conditions that may lead to a failure.
    Warn,
    /// Also log changes of state.
    Info,
    /// Also log single events.
    Debug,
    /// Log everything.
    Trace,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// The tenant's quota over all proxies, in requests a second; replaces the platform's quota.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 1e9), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "requests a second"))]
    pub share: Option<f64>,
}

/// A group of nodes that match each given list. At least one list is required.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Names of zones. If empty, nodes of all zones match.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub zones: Vec<String>,
    /// Names of machine kinds. If empty, nodes of all kinds match.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub kinds: Vec<String>,
}

/// Selects requests for a pool. All given conditions must match; at least one is required.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// The class of the requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub class: Option<String>,
    /// The tenant of the requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub tenant: Option<String>,
    /// A prefix of the key as clients send it, at most 256 bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub prefix: Option<String>,
    /// The name of the pool for these requests.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub pool: String,
}

/// A change to some nodes of the endpoint list. Each given one of node, zone and kind must match; at least
/// one is required.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Overlay {
    /// The id of a single node in the endpoint list.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub node: Option<String>,
    /// The zone of the nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub zone: Option<String>,
    /// The machine kind of the nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub kind: Option<String>,
    /// Factor on the weight that the nodes have in the endpoint list.
    #[schemars(range(min = 0.01, max = 100.0), extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub weight: f64,
    /// Whether the nodes are drained: they finish their requests in flight and get no new ones.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub drain: bool,
}

impl Default for Overlay {
    fn default() -> Self {
        Overlay { node: None, zone: None, kind: None, weight: 1.0, drain: false }
    }
}

/// Features that can be disabled. A feature that the platform does not allow stays disabled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Whether failed requests may be retried at another node.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub retries: bool,
    /// Whether a hedged request may be sent while an attempt is slow.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub second_copies: bool,
    /// Whether the outstanding attempts of a request that has ended are cancelled.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub cancelling: bool,
}

impl Default for Features {
    fn default() -> Self {
        Features { retries: true, second_copies: true, cancelling: true }
    }
}
