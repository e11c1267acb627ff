//! The settings of a relay.

use crate::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Times and limits of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long entries are collected, counted from the first one, before they are sent as one batch.
    pub batch: Nanos,
    /// The minimum time between two reports to the upstream.
    pub report_interval: Nanos,
    /// The time between two heartbeats of the root.
    pub heartbeat_interval: Nanos,
    /// How long a child may lag. After this it is reported by name, and the reported position no longer waits
    /// for it.
    pub grace: Nanos,
    /// A child that was sent entries and acknowledges none of them for this long is disconnected.
    pub ack_timeout: Nanos,
    /// How long a member may claim to be fresh after a confirmation. After its start a relay reports itself
    /// as lagging for this time plus `grace`, since it doesn't know which children it had before.
    pub lease: Nanos,
    /// How long a disconnected child is reported as lagging. At least `lease`, since it may claim to be fresh
    /// until then.
    pub departed_retention: Nanos,
    /// The time over which flushes of children are spread.
    pub flush_spread: Nanos,
    /// The maximum number of unacknowledged entries sent to a child.
    pub window: usize,
    /// The maximum number of entries in one frame.
    pub max_frame_entries: usize,
    /// The maximum number of connected children, and of remembered disconnected ones.
    pub max_children: usize,
    /// The maximum number of names listed in a report. Further ones are only counted.
    pub max_names: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            batch: SECOND / 10,
            report_interval: SECOND / 50,
            heartbeat_interval: SECOND,
            grace: 2 * SECOND,
            ack_timeout: 10 * SECOND,
            lease: 5 * SECOND,
            departed_retention: 60 * SECOND,
            flush_spread: 10 * SECOND,
            window: 16 << 10,
            max_frame_entries: 4 << 10,
            max_children: 20_000,
            max_names: 16,
        }
    }
}
