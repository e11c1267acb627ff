//! The faults that a day injects into its site.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A fault with its start, duration and target.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind of fault.
    pub kind: FaultKind,
    /// When it starts.
    #[serde(with = "humantime_serde")]
    pub at: Duration,
    /// How long it lasts.
    #[serde(with = "humantime_serde", rename = "for")]
    pub length: Duration,
    /// The affected fraction of the fleet, drawn by the seed; for faults of responses, the affected fraction of every
    /// node's responses.
    #[serde(default, rename = "part")]
    pub fraction: Option<f64>,
    /// Alternatively, the indices of the affected nodes.
    #[serde(default)]
    pub nodes: Option<Vec<usize>>,
    /// The remaining fraction of the speed, or the number of bytes per write.
    #[serde(default)]
    pub size: Option<f64>,
}

/// The kinds of faults.
#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq, Hash)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Processes crash and restart cold at the end of the fault.
    Crash,
    /// Machines stop responding and restart cold at the end of the fault.
    Silence,
    /// Nodes drain in batches and are replaced by new, cold nodes with new ids.
    Deploy,
    /// Proxies are restarted one after the other.
    ProxyRoll,
    /// Nodes run at the fraction `size` of their speed.
    Slow,
    /// Open connections stop transferring data without being closed; new ones work.
    HalfOpen,
    /// Responses are truncated.
    Cut,
    /// Responses are malformed.
    Spoilt,
    /// Responses announce a length of 3 GB and data continues to arrive.
    Oversize,
    /// Responses are written `size` bytes at a time.
    Pieces,
    /// Responses stop in the middle of their heads, and their connections stay open.
    StuckHead,
    /// Discovery rejects requests and resets connections.
    DiscoveryDown,
    /// Discovery lists some of the live nodes as draining.
    DiscoveryLies,
    /// The origin runs at the fraction `size` of its speed.
    BrownOut,
}
