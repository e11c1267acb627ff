//! Configuration of what many proxies must coordinate when they start at the same time: polls of the
//! discovery service and new connections.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

/// How this proxy polls the discovery service: in its own slots of a cycle that all proxies share, so that no
/// proxy polls more than once in a cycle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// The length of the polling cycle, which is the minimum interval between two polls. By default a quarter
    /// of the time within which the platform requires a poll of the endpoint list, at most 3.6 s. Values
    /// between 1.8 s and 2.4 s count as 2.4 s, so that one poll in each cycle is enough.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "100ms", "x-most" = "3600ms", "x-why" = "a change of the list counts as told 6 s after the list service could be reached"))]
    pub every: Option<Duration>,
    /// Maximum backoff, which doubles with each failed or rejected poll. More than 3.6 s counts as 3.6 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "100ms", "x-most" = "5m"))]
    pub back_off_most: Duration,
    /// Maximum timeout of a poll, which is extended after late answers. More than 3.6 s counts as 3.6 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "1s", "x-most" = "1m"))]
    pub answer_most: Duration,
    /// The directory in which the last endpoint list is stored across restarts, relative to the working
    /// directory. No other proxy may use it. Without it, a restart begins with the platform's list.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub keep: Option<PathBuf>,
    /// Maximum age of a stored endpoint list; an older one is not used.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "1s", "x-most" = "1d"))]
    pub fresh_for: Duration,
    /// The name of the site, which identifies an endpoint list that was stored at another site. By default
    /// the address of the discovery service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub site: Option<String>,
}

impl Default for List {
    fn default() -> Self {
        List {
            every: None,
            back_off_most: Duration::from_millis(3600),
            answer_most: Duration::from_millis(3600),
            keep: None,
            fresh_for: Duration::from_secs(600),
            site: None,
        }
    }
}

/// Maximum rates of new connections from all proxies together to one machine. Each proxy opens its part in
/// its own time slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Opening {
    /// Maximum rate of new connections to one cache node.
    #[schemars(range(min = 0.1, max = 1e6), extend("x-since" = "0.5", "x-apply" = "restart", "x-unit" = "connections a second"))]
    pub per_node: f64,
    /// Maximum rate of new connections to the origin.
    #[schemars(range(min = 0.1, max = 1e6), extend("x-since" = "0.5", "x-apply" = "restart", "x-unit" = "connections a second"))]
    pub origin: f64,
}

impl Default for Opening {
    fn default() -> Self {
        Opening { per_node: 100.0, origin: 400.0 }
    }
}
