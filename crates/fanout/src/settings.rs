//! Times and limits of a relay.

use crate::Nanos;

const SECOND: Nanos = 1_000_000_000;

/// Times and limits of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long entries are collected, from the first of them, before they are sent as one batch.
    pub batch: Nanos,
    /// The shortest time between two reports to the upstream.
    pub report_interval: Nanos,
    /// The time between two heartbeats of the root.
    pub heartbeat_interval: Nanos,
    /// A child that lags for longer than this is reported by name, and no longer waited for.
    pub grace: Nanos,
    /// A child that was sent entries, and acknowledges none of them for so long, is disconnected.
    pub ack_timeout: Nanos,
    /// How long a member may claim to be fresh after a confirmation. After its start a relay reports itself as lagging
    /// for this time and the grace, since it can't know yet which children it had before.
    pub lease: Nanos,
    /// How long a child that has disconnected is reported as lagging. At least `lease`: until then it may claim to be
    /// fresh.
    pub departed_retention: Nanos,
    /// Flushes of children are spread over this time.
    pub flush_spread: Nanos,
    /// How many entries may be sent to a child without being acknowledged.
    pub window: usize,
    /// How many entries one frame carries at most.
    pub max_frame_entries: usize,
    /// How many children may be connected, and how many that have disconnected are remembered.
    pub max_children: usize,
    /// How many names a report lists; the others are only counted.
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
