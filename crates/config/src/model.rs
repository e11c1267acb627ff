//! Every key of the operator's file. The doc comment of a field is what `config explain` prints, and the names of the types
//! are in the JSON Schema.

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

/// All that an operator may configure. A part that is not named is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// What is written to the log, and how.
    pub log: Log,
    /// Limits of requests in flight at nodes, and queues of requests that wait for capacity; off where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub limits: Option<LimitsConfig>,
    /// Services that publish versions of this configuration; off where it is not named. Set in the file or the
    /// environment alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub control: Option<Control>,
    /// How the discovery service is polled, and whether its endpoint list is stored over restarts; off where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub list: Option<List>,
    /// Rates of new connections from all proxies together to one machine; not limited where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub opening: Option<Opening>,
    /// Tenants by the name that the platform gives them.
    pub tenants: BTreeMap<String, Tenant>,
    /// Named groups of nodes, which routes refer to.
    pub pools: BTreeMap<String, Pool>,
    /// Which requests go to which pool; the first match applies, and a request that matches none may go to any node.
    pub routes: Vec<Route>,
    /// Changes to nodes on top of the endpoint list; the first match applies.
    pub overlays: Vec<Overlay>,
    /// Features that may be turned off.
    pub features: Features,
}

/// What is written to the log, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The format of a line: plain text, or a JSON object.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub format: Format,
    /// The least severe level of a line that is written.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub level: Level,
    /// The same for a part of the program, by its name, such as `discovery` or `handover`.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub targets: BTreeMap<String, Level>,
    /// So many lines of one call site are written at once; after that, `per_second`, and a count of those that were suppressed.
    #[schemars(range(min = 1, max = 100_000), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "lines"))]
    pub burst: u32,
    /// Lines of one call site that are written each second once the burst is used up.
    #[schemars(range(min = 1, max = 10_000), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "lines a second"))]
    pub per_second: u32,
}

impl Default for Log {
    fn default() -> Self {
        let (format, level, targets) = (Format::Plain, Level::Info, BTreeMap::new());
        Log { format, level, targets, burst: 100, per_second: 1 }
    }
}

/// The control services that a proxy follows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Addresses of services, tried in turn.
    #[schemars(with = "Vec<String>", extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub services: Vec<SocketAddr>,
    /// The name of this proxy to them, the same after a restart; without it the address where it takes clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub instance: Option<String>,
    /// Labels by which rollouts select this proxy.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub labels: BTreeMap<String, String>,
    /// A folder that stores the last good version over restarts; without it a restart waits for a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub dir: Option<PathBuf>,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// `aniseyoke: ` and the text.
    Plain,
    /// A JSON object with time, level, target and fields.
    Json,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// What failed.
    Error,
    /// What may fail next.
    Warn,
    /// What changed.
    Info,
    /// What happened.
    Debug,
    /// Everything.
    Trace,
}

/// A tenant.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Tenant {
    /// Its quota, in requests a second over all proxies, in place of the platform's.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 1e9), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "requests a second"))]
    pub share: Option<f64>,
}

/// A group of nodes: those that match every list that is given. At least one list is given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Pool {
    /// Names of zones.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub zones: Vec<String>,
    /// Names of machine kinds.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub kinds: Vec<String>,
}

/// Where some requests go. Each condition that is given has to match; at least one is given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Route {
    /// The name of a class.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub class: Option<String>,
    /// The name of a tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub tenant: Option<String>,
    /// What the key begins with, as clients write it; at most 256 bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub prefix: Option<String>,
    /// The pool that these requests go to.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub pool: String,
}

/// A change to some nodes on top of the endpoint list. Each of node, zone and kind that is given has to match; at least one
/// is given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Overlay {
    /// The id of one node, as in the endpoint list.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub node: Option<String>,
    /// The name of a zone.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub zone: Option<String>,
    /// The name of a machine kind.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub kind: Option<String>,
    /// Their weight, as a multiple of the one in the endpoint list.
    #[schemars(range(min = 0.01, max = 100.0), extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub weight: f64,
    /// They finish the requests that they have and get no new ones.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub drain: bool,
}

impl Default for Overlay {
    fn default() -> Self {
        Overlay { node: None, zone: None, kind: None, weight: 1.0, drain: false }
    }
}

/// Features that may be turned off; what the platform itself does not allow stays off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Failed requests may be retried at another node.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub retries: bool,
    /// A hedged request may be sent beside a slow attempt.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub second_copies: bool,
    /// Attempts for a request that has ended are cancelled.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub cancelling: bool,
}

impl Default for Features {
    fn default() -> Self {
        Features { retries: true, second_copies: true, cancelling: true }
    }
}
