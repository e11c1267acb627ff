//! How much may be sent to a machine: the rule under which a cold node falls and the ledger stops.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// The work that was sent within the last stretch of time, and how much of it misses at cold nodes caused.
#[derive(Debug)]
pub struct Window {
    span: Nanos,
    sent: VecDeque<(Nanos, Nanos, bool)>,
    sum: u64,
    cold: u64,
}

/// Entries that a window keeps; beyond that the oldest are merged. Danger: a flood must not fill memory.
const ENTRIES_MOST: usize = 1 << 16;

impl Window {
    /// A window of this length.
    pub fn new(span: Nanos) -> Self {
        Window { span, sent: VecDeque::new(), sum: 0, cold: 0 }
    }

    /// Books work, in nanoseconds on a core of speed 1, and drops what is older than the window.
    pub fn book(&mut self, now: Nanos, work: Nanos, cold: bool) {
        if self.sent.len() >= ENTRIES_MOST {
            self.drop_first();
        }
        self.sent.push_back((now, work, cold));
        self.sum += work;
        self.cold += if cold { work } else { 0 };
        while self.sent.front().is_some_and(|(at, ..)| at + self.span < now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((_, work, cold)) = self.sent.pop_front() {
            self.sum -= work;
            self.cold -= if cold { work } else { 0 };
        }
    }

    /// Whether more was sent within the window than `multiple` times what a machine of this capacity (cores times
    /// speed) does in it.
    pub fn over(&self, multiple: f64, capacity: f64) -> bool {
        self.sum as f64 > multiple * capacity * self.span as f64
    }

    /// The part of the work that misses at cold nodes caused.
    pub fn cold_part(&self) -> f64 {
        self.cold as f64 / self.sum.max(1) as f64
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        (self.sum, self.cold) = (0, 0);
        self.sent.clear();
    }
}

/// The part of its capacity that a machine has at an age: rising evenly from the cold part to all of it.
pub fn warmth(age: Nanos, cold: Nanos, from: f64) -> f64 {
    if age >= cold {
        return 1.0;
    }
    from + (1.0 - from) * age as f64 / cold as f64
}

#[cfg(test)]
mod tests;
