//! How long purges take from their numbering until they are known to be applied everywhere.

use crate::frame::PurgeLatency;
use std::collections::VecDeque;

/// How many purges are tracked at once, and how many of the latest durations are kept.
const MAX_TRACKED: usize = 16 << 10;
const NANOS_PER_MICRO: u64 = 1000;
const MICROS_PER_MS: f64 = 1000.0;

/// A purge that is not known to be applied everywhere yet.
struct PendingPurge {
    number: u64,
    numbered_at: u64,
}

/// Durations of recent purges.
#[derive(Default)]
pub(crate) struct LatencyTracker {
    pending: VecDeque<PendingPurge>,
    /// In microseconds.
    durations: VecDeque<u64>,
    incomplete: u64,
}

impl LatencyTracker {
    /// The purges from `after + 1` up to `through` were numbered.
    pub fn numbered(&mut self, now: u64, after: u64, through: u64) {
        for number in after + 1..=through {
            if self.pending.len() >= MAX_TRACKED {
                self.pending.pop_front();
                self.incomplete += 1;
            }
            self.pending.push_back(PendingPurge { number, numbered_at: now });
        }
    }

    /// The purges up to `through` are applied everywhere, except at members that lag, if there are any.
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

    /// Forgets purges that are not applied yet, as when a new epoch starts.
    pub fn forget_pending(&mut self) {
        self.pending.clear();
    }

    /// The distribution of the kept durations.
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
