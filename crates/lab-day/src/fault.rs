//! The faults that a day injects into its site.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault, with its start, its length and its target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: FaultKind,
    /// When it starts.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// The fraction of the fleet that it hits, drawn by the seed; for faults of responses the fraction of every node's
    /// responses.
    #[serde(default, rename = "part")]
    pub fraction: Option<f64>,
    /// Or the members that it hits, by number.
    #[serde(default)]
    pub nodes: Option<Vec<usize>>,
    /// The remaining fraction of the speed, or the bytes written at a time.
    #[serde(default)]
    pub size: Option<f64>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Processes die and restart cold at the end.
    Crash,
    /// Machines stop answering, and restart cold at the end.
    Silence,
    /// Nodes drain in batches, and are replaced by new ones, cold, under new ids.
    Deploy,
    /// Proxies are restarted one after the other.
    ProxyRoll,
    /// Nodes run at `size` of their speed.
    Slow,
    /// Open connections go dead without being closed; new ones work.
    HalfOpen,
    /// Responses are truncated.
    Cut,
    /// Responses are malformed.
    Spoilt,
    /// Responses announce 3 GB and keep coming.
    Oversize,
    /// Responses are written `size` bytes at a time.
    Pieces,
    /// Discovery rejects and resets.
    DiscoveryDown,
    /// Discovery lists some of the live nodes as draining.
    DiscoveryLies,
    /// The origin runs at `size` of its speed.
    BrownOut,
}
