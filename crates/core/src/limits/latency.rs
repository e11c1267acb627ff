//! Typical latency of each request class, against which nodes are compared.

use aniseyoke_decision::api::Nanos;

/// Weight of a new answer in the average once many have come.
const GAIN: f64 = 0.02;

/// Average latency of a class's answers over all lightly loaded nodes.
#[derive(Clone, Copy, Default)]
pub struct TypicalLatency {
    mean_nanos: f64,
    samples: f64,
}

impl TypicalLatency {
    /// The average so far; 0 before the first answer.
    pub fn mean(&self) -> Nanos {
        self.mean_nanos as Nanos
    }

    /// A latency as a multiple of the typical one. It moves the average where its node was lightly loaded, or where it is the
    /// first.
    pub fn ratio(&mut self, latency: Nanos, lightly_loaded: bool) -> f64 {
        let latency = latency.max(1) as f64;
        if lightly_loaded || self.samples < 1.0 {
            self.samples += 1.0;
            self.mean_nanos += (latency - self.mean_nanos) * (1.0 / self.samples).max(GAIN);
        }
        latency / self.mean_nanos
    }
}
