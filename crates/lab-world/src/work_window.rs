//! How much work may be sent to a machine: the rule under which cold nodes and the origin go down.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// The work that was sent within a sliding window of time, and how much of it misses at cold nodes caused.
#[derive(Debug)]
pub struct WorkWindow {
    span: Nanos,
    entries: VecDeque<(Nanos, Nanos, bool)>,
    total: u64,
    cold: u64,
}

/// Entries that a window keeps; beyond that the oldest are merged. Danger: a flood must not fill memory.
const MAX_ENTRIES: usize = 1 << 16;

impl WorkWindow {
    /// A window of this length.
    pub fn new(span: Nanos) -> Self {
        WorkWindow { span, entries: VecDeque::new(), total: 0, cold: 0 }
    }

    /// Records work, in nanoseconds on a core of speed 1, and drops what is older than the window.
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

    /// Whether more work was sent within the window than `multiple` times what a machine of this capacity (cores times
    /// speed) processes in it.
    pub fn exceeds(&self, multiple: f64, capacity: f64) -> bool {
        self.total as f64 > multiple * capacity * self.span as f64
    }

    /// The fraction of the work that misses at cold nodes caused.
    pub fn cold_fraction(&self) -> f64 {
        self.cold as f64 / self.total.max(1) as f64
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        (self.total, self.cold) = (0, 0);
        self.entries.clear();
    }
}

/// The fraction of its capacity that a machine has at an age, rising linearly from `initial` to 1.
pub fn capacity_fraction(age: Nanos, warm_up: Nanos, initial: f64) -> f64 {
    if age >= warm_up {
        return 1.0;
    }
    initial + (1.0 - initial) * age as f64 / warm_up as f64
}

#[cfg(test)]
mod tests;
