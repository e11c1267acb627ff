//! The latency of purges: the time from the assignment of their numbers until they are known to be applied at
//! all members.

use crate::frame::PurgeLatency;
use std::collections::VecDeque;

/// Maximum number of pending purges that are tracked, and maximum number of recent durations that are
/// retained.
const MAX_TRACKED: usize = 16 << 10;
const NANOS_PER_MICRO: u64 = 1000;
const MICROS_PER_MS: f64 = 1000.0;

/// A purge that is not known to be applied at all members yet.
struct PendingPurge {
    number: u64,
    numbered_at: u64,
}

/// The durations of recent purges, by which operators see the latency.
#[derive(Default)]
pub(crate) struct LatencyTracker {
    pending: VecDeque<PendingPurge>,
    /// In microseconds.
    durations: VecDeque<u64>,
    /// Number of purges without a duration: some members lagged, or too many purges were pending.
    incomplete: u64,
}

impl LatencyTracker {
    /// Starts tracking the purges from `after + 1` to `through`, which were numbered at `now`.
    pub fn numbered(&mut self, now: u64, after: u64, through: u64) {
        for number in after + 1..=through {
            if self.pending.len() >= MAX_TRACKED {
                self.pending.pop_front();
                self.incomplete += 1;
            }
            self.pending.push_back(PendingPurge { number, numbered_at: now });
        }
    }

    /// Records that the purges up to `through` are applied at all members. If some members lag and were
    /// excepted, the purges are counted as incomplete.
    pub fn applied(&mut self, now: u64, through: u64, has_lagging: bool) {
        while let Some(purge) = self.pending.pop_front_if(|purge| purge.number <= through) {
            if has_lagging {
                self.incomplete += 1;
                continue;
            }
            if self.durations.len() >= MAX_TRACKED {
                self.durations.pop_front();
            }
            self.durations.push_back(now.saturating_sub(purge.numbered_at) / NANOS_PER_MICRO);
        }
    }

    /// Stops tracking all pending purges, since their numbers have no meaning in a new epoch.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns the distribution of the retained durations.
    pub fn latency(&self) -> PurgeLatency {
        let mut sorted: Vec<u64> = self.durations.iter().copied().collect();
        sorted.sort_unstable();
        let quantile = |q: f64| {
            let index = (sorted.len() as f64 * q).ceil().max(1.0) as usize - 1;
            sorted.get(index).map_or(0.0, |micros| *micros as f64 / MICROS_PER_MS)
        };
        PurgeLatency {
            count: sorted.len() as u64,
            p50: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
            incomplete: self.incomplete,
        }
    }
}
