//! Every key of the operator's file. A doc comment here is what `config explain` prints.

mod faults;
mod start;

pub use start::{List, Opening};

use aniseyoke_core::limits::LimitsConfig;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All that an operator may set. A part that is left out is off.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// What is written to the log, and how.
    pub log: Log,
    /// What may be out at nodes, and who waits for room there; off where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub limits: Option<LimitsConfig>,
    /// Services that publish versions of this configuration; off where it is not named. Set in the file or the
    /// environment alone.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub control: Option<Control>,
    /// How the list service is asked, and whether its list is kept over restarts; off where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub list: Option<List>,
    /// Connections that all proxies together open to one machine; not limited where it is not named.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub opening: Option<Opening>,
    /// Tenants by the name that the platform gives them.
    pub tenants: BTreeMap<String, Tenant>,
    /// Named parts of the fleet, which routes point to.
    pub pools: BTreeMap<String, Pool>,
    /// Which requests go to which pool; the first that fits counts, and what fits none may go to any node.
    pub routes: Vec<Route>,
    /// What is said of nodes on top of the list; the first that fits a node counts.
    pub overlays: Vec<Overlay>,
    /// What may be turned off.
    pub features: Features,
}

/// What is written to the log, and how.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form of a line: bare text, or a JSON object.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub format: Format,
    /// The least weight of a line that is written.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub level: Level,
    /// The same for a part of the program, by its name, such as `discovery` or `handover`.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "reload"))]
    pub targets: BTreeMap<String, Level>,
    /// So many lines of one kind are written at once; of more, `per_second`, and a count of what was left out.
    #[schemars(range(min = 1, max = 100_000), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "lines"))]
    pub burst: u32,
    /// Lines of one kind that are written each second once the burst is used up.
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
    /// What operators call this proxy by in rollouts.
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub labels: BTreeMap<String, String>,
    /// A folder that keeps the last good version over restarts; without it a restart waits for a service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.3", "x-apply" = "restart"))]
    pub dir: Option<PathBuf>,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// `aniseyoke: ` and the text.
    Plain,
    /// A JSON object with time, level, target and fields.
    Json,
}

/// The weight of a log line.
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
    /// Requests a second over all proxies that count as its share, in place of what the platform says.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 0.0, max = 1e9), extend("x-since" = "0.3", "x-apply" = "restart", "x-unit" = "requests a second"))]
    pub share: Option<f64>,
}

/// A part of the fleet: the nodes that fit every list that is given. At least one list is.
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

/// Where some requests go. Each condition that is given must fit; at least one is given.
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

/// What is said of some nodes on top of the list. Each of node, zone and kind that is given must fit; at least one is
/// given.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Overlay {
    /// The id of one node, as the list has it.
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
    /// Their size, as a multiple of the one in the list.
    #[schemars(range(min = 0.01, max = 100.0), extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub weight: f64,
    /// They finish what they have and get nothing new.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub drain: bool,
}

impl Default for Overlay {
    fn default() -> Self {
        Overlay { node: None, zone: None, kind: None, weight: 1.0, drain: false }
    }
}

/// What may be turned off; what the platform itself does not allow stays off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Features {
    /// Requests may be tried again at another node.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub retries: bool,
    /// A second attempt may be out beside a slow one.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub second_copies: bool,
    /// Attempts for a request that is over are called off.
    #[schemars(extend("x-since" = "0.4", "x-apply" = "restart"))]
    pub cancelling: bool,
}

impl Default for Features {
    fn default() -> Self {
        Features { retries: true, second_copies: true, cancelling: true }
    }
}
