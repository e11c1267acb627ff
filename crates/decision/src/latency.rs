//! What is known of a class's latency: how long answers take, and how much time clients give an attempt. It
//! decides nothing.

use crate::api::{Class, Nanos};
use crate::arithmetic::indicator;
use std::cmp::Ordering;

/// Steps of a deadline in which times are distinguished.
const STEPS: f64 = 40.0;
/// The gain with which the distribution of the time left is followed.
const TIME_LEFT_GAIN: f64 = 0.02;
/// The gain with which the distribution of the answer time is followed.
const ANSWER_TIME_GAIN: f64 = 0.05;
/// A time left that this part of the requests has is a time-out of clients, not the rest of a longer wait.
const COMMON_PART: f64 = 0.1;
/// The least gain of mean and deviation.
const MEAN_GAIN: f64 = 0.03;

/// What is known of the latency of a class.
#[derive(Clone)]
pub struct LatencyProfile {
    /// The mean time of an answer, in nanoseconds.
    pub mean: f64,
    /// The mean deviation from it, in nanoseconds.
    pub deviation: f64,
    /// Answers counted.
    pub count: f64,
    /// By steps of the deadline: the part of the requests that come with such a time left.
    time_left: Vec<f64>,
    /// By steps of the deadline: the part answered before that step, of the requests that could wait so long.
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

    /// The time of an answer that comes so many deviations after the mean.
    pub fn mean_plus(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.deviation
    }

    /// Learns that an answer took so long.
    pub fn record_answer(&mut self, elapsed: Nanos) {
        self.count += 1.0;
        let gain = (1.0 / self.count).max(MEAN_GAIN);
        let offset = elapsed as f64 - self.mean;
        self.mean += gain * offset;
        self.deviation += gain * (offset.abs() - self.deviation);
    }

    /// Learns that a request came with so much time left.
    pub fn record_time_left(&mut self, class: &Class, left: Nanos) {
        self.time_left.iter_mut().for_each(|part| *part *= 1.0 - TIME_LEFT_GAIN);
        self.time_left[Self::step(class, left)] += TIME_LEFT_GAIN;
    }

    /// How a time left compares to the longest one that is common among requests.
    pub fn compare_to_common(&self, class: &Class, left: Nanos) -> Ordering {
        let longest = self.time_left.iter().rposition(|part| *part >= COMMON_PART);
        longest.map_or(Ordering::Equal, |longest| Self::step(class, left).cmp(&longest))
    }

    /// Learns that a request that could wait for `most` was answered after a time, or not at all. Nothing
    /// is learned of times longer than that.
    pub fn record_wait(&mut self, class: &Class, most: Nanos, answered: Option<Nanos>) {
        let answered_at = answered.map_or(usize::MAX, |after| Self::step(class, after));
        let steps = Self::step(class, most) + 1;
        for (step, part) in self.answered_within.iter_mut().enumerate().take(steps) {
            *part += ANSWER_TIME_GAIN * (indicator(answered_at < step) - *part);
        }
    }

    /// The part of the requests that is answered within a time.
    pub fn part_answered_within(&self, class: &Class, time: Nanos) -> f64 {
        self.answered_within[Self::step(class, time)]
    }
}
