//! An adaptive concurrency limit for one node.
//!
//! While the node answers, the limit grows or shrinks by the gradient between the node's recent latency and its own
//! baseline, in the manner of TCP Vegas (Brakmo and Peterson 1995). Rejections and time-outs cut it once per round trip,
//! as congestion does in TCP (Jacobson 1988); half of the limit before the cut is regained by slow start (doubling).

use super::ConcurrencyBounds;
use aniseyoke_decision::api::{Nanos, Status};

/// Weight of one answer in the short-term moving average of latency.
const SHORT_TERM_GAIN: f64 = 0.1;
/// Weight of one answer in the long-term moving average of latency.
const LONG_TERM_GAIN: f64 = 0.01;
/// Weight of one answer in the baseline, while the node is lightly loaded.
const BASELINE_GAIN: f64 = 0.05;
/// The limit counts as utilized from this fraction on; a limit that is not utilized tells nothing about capacity.
const UTILIZED_FRACTION: f64 = 0.5;
/// Multiplicative decrease: the fraction of the limit that is left after a round trip with time-outs or rejections.
const DECREASE_FACTOR: f64 = 0.7;
/// The fraction of the distance to the gradient's target that the limit moves with one answer.
const SHRINK_GAIN: f64 = 0.1;
/// The gradient never aims below this fraction of the limit.
const LEAST_GRADIENT: f64 = 0.5;
/// Slow start ends at this fraction of the limit before a cut.
const SLOW_START_FRACTION: f64 = 0.5;
/// The loss rate (attempts timed out or rejected) above which losses count as congestion. Danger: on a poor network
/// some answers are lost; counted as congestion, two in a hundred hold the limit at its floor.
const CONGESTION_LOSS_RATE: f64 = 0.15;
/// Weight of one attempt in the moving average of the loss rate.
const LOSS_RATE_GAIN: f64 = 0.1;
/// Answers needed before the baseline is relied on.
const MIN_SAMPLES: f64 = 10.0;

/// The concurrency limit of one node, with the count of attempts in flight there.
pub struct ConcurrencyLimit {
    bounds: ConcurrencyBounds,
    limit: f64,
    /// Slow start: below this limit it doubles with each round trip.
    slow_start_threshold: f64,
    /// Short-term average of latency, as a multiple of what is typical for the request's class over all nodes.
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
    /// A limit at the start value of its bounds, with nothing learnt yet.
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

    /// Applies other bounds from now on; the limit learnt so far is clamped to them.
    pub fn reconfigure(&mut self, bounds: ConcurrencyBounds) {
        self.bounds = bounds;
        self.set(self.limit);
    }

    /// Attempts that may be in flight at once.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Attempts in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether one more attempt may start, for a caller that may use this fraction of the limit.
    pub fn has_capacity(&self, fraction: f64) -> bool {
        f64::from(self.in_flight) + 1.0 <= (self.limit * fraction).max(1.0)
    }

    /// Whether so little is in flight that latency shows the work alone, without queueing at the node.
    pub fn is_lightly_loaded(&self) -> bool {
        !self.is_utilized() || self.limit <= self.bounds.floor.max(0.5 * self.bounds.start)
    }

    fn is_utilized(&self) -> bool {
        f64::from(self.in_flight) >= UTILIZED_FRACTION * self.limit
    }

    /// Counts an attempt that starts.
    pub fn attempt_started(&mut self) {
        self.in_flight += 1;
    }

    /// Counts an attempt that ended, and adapts the limit. `latency_ratio` is the latency of a real answer as a multiple of
    /// what is typical for its class; `None` for errors, misses and missing answers. Danger: a node that fails at once
    /// would otherwise look like the fastest.
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

    /// Cuts the limit after congestion; all attempts that were in flight when it was last cut count once.
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
        // The first answers make the averages; later ones move them.
        let gain = |usual: f64| usual.max(1.0 / self.samples);
        self.short_term += gain(SHORT_TERM_GAIN) * (ratio - self.short_term);
        self.long_term += gain(LONG_TERM_GAIN) * (ratio - self.long_term);
        // Danger: a baseline that follows what is seen under load accepts any load as normal, and the limit grows for ever.
        if lightly_loaded {
            self.baseline += gain(BASELINE_GAIN) * (ratio - self.baseline);
        } else {
            self.baseline = self.baseline.min(self.long_term);
        }
    }

    fn follow_gradient(&mut self) {
        let gradient = self.bounds.tolerance * self.baseline / self.short_term.max(f64::MIN_POSITIVE);
        if gradient < 1.0 && self.samples > MIN_SAMPLES {
            let target = self.limit * gradient.max(LEAST_GRADIENT);
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

    /// Forgets what was learnt, since a new process runs at the node; attempts in flight stay counted.
    pub fn node_restarted(&mut self) {
        *self = ConcurrencyLimit { in_flight: self.in_flight, ..ConcurrencyLimit::new(self.bounds) };
    }
}
