//! The typical latency of each request class, used as the reference for the latency of nodes.

use aniseyoke_decision::api::Nanos;

/// Minimum weight of a new answer in the average.
const MIN_GAIN: f64 = 0.02;

/// Average latency of a class's answers over all lightly loaded nodes.
#[derive(Clone, Copy, Default)]
pub struct TypicalLatency {
    mean_nanos: f64,
    samples: f64,
}

impl TypicalLatency {
    /// Returns the average in nanoseconds; 0 before the first answer.
    pub fn mean(&self) -> Nanos {
        self.mean_nanos as Nanos
    }

    /// Returns a latency as a multiple of the typical one. The latency is added to the average if its node
    /// was lightly loaded, or if it is the first.
    pub fn ratio(&mut self, latency: Nanos, lightly_loaded: bool) -> f64 {
        let latency = latency.max(1) as f64;
        if lightly_loaded || self.samples < 1.0 {
            self.samples += 1.0;
            self.mean_nanos += (latency - self.mean_nanos) * (1.0 / self.samples).max(MIN_GAIN);
        }
        latency / self.mean_nanos
    }
}
