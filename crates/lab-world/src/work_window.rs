//! The work sent to a machine within a sliding window: the rule by which cold nodes and the origin go down.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// The work sent within a sliding time window, and the part of it that misses at cold nodes caused.
#[derive(Debug)]
pub struct WorkWindow {
    span: Nanos,
    entries: VecDeque<(Nanos, Nanos, bool)>,
    total: u64,
    cold: u64,
}

/// Maximum number of entries in a window; beyond it the oldest are dropped, so that a flood of requests cannot exhaust
/// memory.
const MAX_ENTRIES: usize = 1 << 16;

impl WorkWindow {
    /// Creates a window of this length.
    pub fn new(span: Nanos) -> Self {
        WorkWindow { span, entries: VecDeque::new(), total: 0, cold: 0 }
    }

    /// Records work, in nanoseconds on a core of speed 1, and drops entries older than the window.
    pub fn record(&mut self, now: Nanos, work: Nanos, cold: bool) {
        if self.entries.len() >= MAX_ENTRIES {
            self.drop_first();
        }
        self.entries.push_back((now, work, cold));
        self.total += work;
        self.cold += if cold { work } else { 0 };
        while self.entries.front().is_some_and(|(at, ..)| at + self.span < now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, work, cold)) = self.entries.pop_front() {
            self.total -= work;
            self.cold -= if cold { work } else { 0 };
        }
    }

    /// Whether the work sent within the window exceeds `multiple` times the work that a machine of this capacity
    /// (cores times speed) processes in that time.
    pub fn exceeds(&self, multiple: f64, capacity: f64) -> bool {
        self.total as f64 > multiple * capacity * self.span as f64
    }

    /// The fraction of the work in the window that misses at cold nodes caused.
    pub fn cold_fraction(&self) -> f64 {
        self.cold as f64 / self.total.max(1) as f64
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        (self.total, self.cold) = (0, 0);
        self.entries.clear();
    }
}

/// The fraction of its full capacity that a machine has at this age; rises linearly from `initial` to 1 during
/// `warm_up`.
pub fn capacity_fraction(age: Nanos, warm_up: Nanos, initial: f64) -> f64 {
    if age >= warm_up {
        return 1.0;
    }
    initial + (1.0 - initial) * age as f64 / warm_up as f64
}

#[cfg(test)]
mod tests;
