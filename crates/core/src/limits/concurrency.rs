//! An adaptive concurrency limit for one node.
//!
//! While the node answers, the limit grows or shrinks by the gradient between the node's recent latency and
//! its own baseline, similar to TCP Vegas (Brakmo and Peterson 1995). Rejections and timeouts cut it once per
//! round trip, as congestion does in TCP (Jacobson 1988); slow start (doubling) restores it to half of its
//! value before the cut.

use super::ConcurrencyBounds;
use aniseyoke_decision::api::{Nanos, Status};

/// Weight of one answer in the short-term moving average of latency.
const SHORT_TERM_GAIN: f64 = 0.1;
/// Weight of one answer in the long-term moving average of latency.
const LONG_TERM_GAIN: f64 = 0.01;
/// Weight of one answer in the baseline, while the node is lightly loaded.
const BASELINE_GAIN: f64 = 0.05;
/// The fraction of the limit in flight from which it counts as utilized. Latency below that does not show
/// whether the node has capacity for a higher limit.
const UTILIZED_FRACTION: f64 = 0.5;
/// Multiplicative decrease: the fraction of the limit that remains after a round trip with timeouts or
/// rejections.
const DECREASE_FACTOR: f64 = 0.7;
/// The fraction of the distance to the gradient's target that the limit moves with one answer.
const SHRINK_GAIN: f64 = 0.1;
/// Minimum fraction of the limit that the gradient targets.
const MIN_GRADIENT: f64 = 0.5;
/// The fraction of the limit before a cut at which slow start ends.
const SLOW_START_FRACTION: f64 = 0.5;
/// The loss rate (attempts timed out or rejected) above which losses count as congestion. Some answers are
/// lost on a poor network; if those counted as congestion, a loss of 2 % would hold the limit at its floor.
const CONGESTION_LOSS_RATE: f64 = 0.15;
/// Weight of one attempt in the moving average of the loss rate.
const LOSS_RATE_GAIN: f64 = 0.1;
/// Number of answers after which the baseline is used.
const MIN_SAMPLES: f64 = 10.0;

/// The concurrency limit of one node, and the number of its attempts in flight.
pub struct ConcurrencyLimit {
    bounds: ConcurrencyBounds,
    limit: f64,
    /// Slow start: below this limit it doubles with each round trip.
    slow_start_threshold: f64,
    /// Short-term average of latency, as a multiple of the typical latency of the request's class over all
    /// nodes.
    short_term: f64,
    /// Long-term average of latency, in the same unit.
    long_term: f64,
    /// Latency while the node is lightly loaded, in the same unit.
    baseline: f64,
    samples: f64,
    /// Moving average of the fraction of attempts that timed out or were rejected.
    loss_rate: f64,
    in_flight: u32,
    last_decrease_at: Nanos,
}

impl ConcurrencyLimit {
    /// Creates a limit at the start value of its bounds, without measurements.
    pub fn new(bounds: ConcurrencyBounds) -> Self {
        ConcurrencyLimit {
            bounds,
            limit: bounds.start,
            slow_start_threshold: bounds.ceiling,
            short_term: 1.0,
            long_term: 1.0,
            baseline: 1.0,
            samples: 0.0,
            loss_rate: 0.0,
            in_flight: 0,
            last_decrease_at: 0,
        }
    }

    /// Applies new bounds; the current limit is clamped to them.
    pub fn reconfigure(&mut self, bounds: ConcurrencyBounds) {
        self.bounds = bounds;
        self.set(self.limit);
    }

    /// Returns the maximum number of attempts in flight.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the number of attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more attempt may start if only this fraction of the limit may be used.
    pub fn has_capacity(&self, fraction: f64) -> bool {
        f64::from(self.in_flight) + 1.0 <= (self.limit * fraction).max(1.0)
    }

    /// Whether so few attempts are in flight that latency shows only the service time, without queueing at
    /// the node.
    pub fn is_lightly_loaded(&self) -> bool {
        !self.is_utilized() || self.limit <= self.bounds.floor.max(0.5 * self.bounds.start)
    }

    fn is_utilized(&self) -> bool {
        f64::from(self.in_flight) >= UTILIZED_FRACTION * self.limit
    }

    /// Records the start of an attempt.
    pub fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of an attempt, and adapts the limit. `latency_ratio` is the latency of a real answer
    /// as a multiple of the typical latency of its class; `None` for errors, misses and missing answers,
    /// because a node that fails immediately would otherwise appear to be the fastest.
    pub fn attempt_ended(&mut self, now: Nanos, status: Status, elapsed: Nanos, latency_ratio: Option<f64>) {
        let (was_utilized, was_lightly_loaded) = (self.is_utilized(), self.is_lightly_loaded());
        self.in_flight = self.in_flight.saturating_sub(1);
        let lost = matches!(status, Status::Timeout | Status::Rejected);
        if lost || latency_ratio.is_some() {
            self.loss_rate += LOSS_RATE_GAIN * (f64::from(u8::from(lost)) - self.loss_rate);
        }
        if let Some(ratio) = latency_ratio {
            self.record_latency(ratio, was_lightly_loaded);
            if was_utilized {
                self.follow_gradient();
            }
        } else if lost && self.loss_rate > CONGESTION_LOSS_RATE {
            self.decrease(now, now.saturating_sub(elapsed));
        }
    }

    /// Cuts the limit after congestion, but only once for all attempts that were in flight at the time of the
    /// cut.
    fn decrease(&mut self, now: Nanos, attempt_started_at: Nanos) {
        if attempt_started_at < self.last_decrease_at {
            return;
        }
        self.slow_start_threshold = (self.limit * SLOW_START_FRACTION).max(self.bounds.floor);
        self.set(self.limit * DECREASE_FACTOR);
        self.last_decrease_at = now;
    }

    fn record_latency(&mut self, ratio: f64, lightly_loaded: bool) {
        self.samples += 1.0;
        // The first answers are averaged evenly; after that, the average moves exponentially.
        let gain = |usual: f64| usual.max(1.0 / self.samples);
        self.short_term += gain(SHORT_TERM_GAIN) * (ratio - self.short_term);
        self.long_term += gain(LONG_TERM_GAIN) * (ratio - self.long_term);
        // A baseline that rose with the latency under load would accept any load as normal, and the limit
        // would grow without bound.
        if lightly_loaded {
            self.baseline += gain(BASELINE_GAIN) * (ratio - self.baseline);
        } else {
            self.baseline = self.baseline.min(self.long_term);
        }
    }

    fn follow_gradient(&mut self) {
        let gradient = self.bounds.tolerance * self.baseline / self.short_term.max(f64::MIN_POSITIVE);
        if gradient < 1.0 && self.samples > MIN_SAMPLES {
            let target = self.limit * gradient.max(MIN_GRADIENT);
            self.set(self.limit + SHRINK_GAIN * (target - self.limit) / self.limit.sqrt());
        } else if self.limit < self.slow_start_threshold {
            self.set(self.limit + 1.0);
        } else {
            self.set(self.limit + 1.0 / self.limit.sqrt());
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(self.bounds.floor, self.bounds.ceiling);
    }

    /// Discards all measurements after a restart of the node's process; attempts in flight stay counted.
    pub fn node_restarted(&mut self) {
        *self = ConcurrencyLimit { in_flight: self.in_flight, ..ConcurrencyLimit::new(self.bounds) };
    }
}
