//! Latency statistics of a class: how long answers take, and how much time clients allow for an attempt.

use crate::api::{Class, Nanos};
use crate::arithmetic::indicator;
use std::cmp::Ordering;

/// Number of steps into which the distributions divide the class's deadline.
const STEPS: f64 = 40.0;
/// Gain of the moving distribution of the time left.
const TIME_LEFT_GAIN: f64 = 0.02;
/// Gain of the moving distribution of the answer time.
const ANSWER_TIME_GAIN: f64 = 0.05;
/// A time left that at least this fraction of the requests has is a common client timeout, not the remainder
/// of a longer one.
const COMMON_FRACTION: f64 = 0.1;
/// Minimum gain of the moving mean and deviation.
const MEAN_GAIN: f64 = 0.03;

/// Latency statistics of a class.
#[derive(Clone)]
pub struct LatencyProfile {
    /// Mean answer time, in nanoseconds.
    pub mean: f64,
    /// Mean absolute deviation of the answer time, in nanoseconds.
    pub deviation: f64,
    /// Number of answers.
    pub count: f64,
    /// For each step of the deadline: the fraction of requests that arrive with that time left.
    time_left: Vec<f64>,
    /// For each step of the deadline: the fraction answered before it, of the requests that could wait that
    /// long.
    answered_within: Vec<f64>,
}

impl Default for LatencyProfile {
    fn default() -> Self {
        let steps = STEPS as usize + 1;
        LatencyProfile {
            mean: 0.0,
            deviation: 0.0,
            count: 0.0,
            time_left: vec![0.0; steps],
            answered_within: vec![1.0; steps],
        }
    }
}

impl LatencyProfile {
    fn step(class: &Class, time: Nanos) -> usize {
        (time as f64 / class.deadline.max(1) as f64 * STEPS).min(STEPS) as usize
    }

    /// Returns the mean answer time plus a number of deviations, in nanoseconds.
    pub fn mean_plus(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    /// Records the time that an answer took.
    pub fn record_answer(&mut self, elapsed: Nanos) {
        self.count += 1.0;
        let gain = (1.0 / self.count).max(MEAN_GAIN);
        let offset = elapsed as f64 - self.mean;
        self.mean += gain * offset;
        self.deviation += gain * (offset.abs() - self.deviation);
    }

    /// Records the time left of a request at its arrival.
    pub fn record_time_left(&mut self, class: &Class, left: Nanos) {
        self.time_left.iter_mut().for_each(|fraction| *fraction *= 1.0 - TIME_LEFT_GAIN);
        self.time_left[Self::step(class, left)] += TIME_LEFT_GAIN;
    }

    /// Compares a time left to the longest one that is common among requests.
    pub fn compare_to_common(&self, class: &Class, left: Nanos) -> Ordering {
        let longest = self.time_left.iter().rposition(|fraction| *fraction >= COMMON_FRACTION);
        longest.map_or(Ordering::Equal, |longest| Self::step(class, left).cmp(&longest))
    }

    /// Records that a request that could wait for `max_wait` was answered after a time, or not at all. It has
    /// no effect on the statistics of waits longer than `max_wait`.
    pub fn record_wait(&mut self, class: &Class, max_wait: Nanos, answered: Option<Nanos>) {
        let answered_step = answered.map_or(usize::MAX, |after| Self::step(class, after));
        let steps = Self::step(class, max_wait) + 1;
        for (step, fraction) in self.answered_within.iter_mut().enumerate().take(steps) {
            *fraction += ANSWER_TIME_GAIN * (indicator(answered_step < step) - *fraction);
        }
    }

    /// Returns the fraction of requests that is answered within a time.
    pub fn fraction_answered_within(&self, class: &Class, time: Nanos) -> f64 {
        self.answered_within[Self::step(class, time)]
    }
}
