//! How a proxy behaves when many start at the same time: polls of the discovery service, and new connections.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use std::time::Duration;

/// How this proxy polls the discovery service: in its own slots of a cycle that all proxies share, so that together they
/// never poll more than once each in a cycle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// The cycle: no two polls are closer together; without it, a quarter of the time in which the platform wants the list
    /// to be polled, at most 3.6 s. A cycle between 1.8 s and 2.4 s counts as 2.4 s, so that one poll for each is enough.
    #[serde(with = "humantime_serde", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "100ms", "x-most" = "3600ms", "x-why" = "a change of the list counts as told 6 s after the list service could be reached"))]
    pub every: Option<Duration>,
    /// After failed and rejected polls the backoff doubles up to this. More than 3.6 s counts as 3.6 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "100ms", "x-most" = "5m"))]
    pub back_off_most: Duration,
    /// A service whose answers come late is given more time for the next, up to this. More than 3.6 s counts as 3.6 s.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "1s", "x-most" = "1m"))]
    pub answer_most: Duration,
    /// A folder of this proxy alone that stores the last list over restarts, relative to the folder where it starts; without
    /// it a restart begins with the platform's list.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(extend("x-since" = "0.5", "x-apply" = "restart"))]
    pub keep: Option<PathBuf>,
    /// A stored list older than this is not used.
    #[serde(with = "humantime_serde")]
    #[schemars(with = "String", extend("x-kind" = "duration", "x-since" = "0.5", "x-apply" = "restart", "x-least" = "1s", "x-most" = "1d"))]
    pub fresh_for: Duration,
    /// The site's name, so that a list stored at another site is recognised; without it, the address of the discovery service.
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

/// Rates of new connections from all proxies together to one machine. Each proxy opens its part, in its own slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Opening {
    /// To one cache node.
    #[schemars(range(min = 0.1, max = 1e6), extend("x-since" = "0.5", "x-apply" = "restart", "x-unit" = "connections a second"))]
    pub per_node: f64,
    /// To the origin.
    #[schemars(range(min = 0.1, max = 1e6), extend("x-since" = "0.5", "x-apply" = "restart", "x-unit" = "connections a second"))]
    pub origin: f64,
}

impl Default for Opening {
    fn default() -> Self {
        Opening { per_node: 100.0, origin: 400.0 }
    }
}
