//! What is known of a class's times: how long answers take, and how long clients give their tries. It decides nothing.

use crate::api::{Class, Nanos};
use std::cmp::Ordering;

/// Steps of a deadline in which times are told apart.
const STEPS: f64 = 40.0;
/// The gains with which the parts are followed: of tries by the time left, and of answers by the time taken.
const LEFT_GAIN: f64 = 0.02;
const WITHIN_GAIN: f64 = 0.05;
/// A time left that this part of the tries has is one that clients give, not the rest of a longer wait.
const SHARED: f64 = 0.1;
/// The least gain of mean and spread.
const GAIN: f64 = 0.03;

/// What is known of a class's times.
#[derive(Clone)]
pub struct Times {
    /// The mean of what answers take, and how far they lie from it, in nanoseconds.
    pub mean: f64,
    pub spread: f64,
    /// Answers counted.
    pub count: f64,
    /// By steps of the deadline: the part of the tries that come with such a time left.
    left: Vec<f64>,
    /// By steps of the deadline: the part that is answered before that step, of the tries that could wait so long.
    within: Vec<f64>,
}

impl Default for Times {
    fn default() -> Self {
        let steps = STEPS as usize + 1;
        Times { mean: 0.0, spread: 0.0, count: 0.0, left: vec![0.0; steps], within: vec![1.0; steps] }
    }
}

impl Times {
    fn step(class: &Class, time: Nanos) -> usize {
        (time as f64 / class.deadline.max(1) as f64 * STEPS).min(STEPS) as usize
    }

    /// What answers take that come so many deviations after the mean.
    pub fn after(&self, deviations: f64) -> f64 {
        self.mean + deviations * self.spread
    }

    /// An answer took so long.
    pub fn answered(&mut self, elapsed: Nanos) {
        self.count += 1.0;
        let gain = (1.0 / self.count).max(GAIN);
        let off = elapsed as f64 - self.mean;
        self.mean += gain * off;
        self.spread += gain * (off.abs() - self.spread);
    }

    /// A try has come with so long left.
    pub fn came(&mut self, class: &Class, left: Nanos) {
        self.left.iter_mut().for_each(|part| *part *= 1.0 - LEFT_GAIN);
        self.left[Self::step(class, left)] += LEFT_GAIN;
    }

    /// Whether a time left is another than the longest that many tries share, and how it compares to that.
    pub fn against_shared(&self, class: &Class, left: Nanos) -> Ordering {
        let longest = self.left.iter().rposition(|part| *part >= SHARED);
        longest.map_or(Ordering::Equal, |longest| Self::step(class, left).cmp(&longest))
    }

    /// A try that could wait so long was answered after a time, or not at all. What it could not wait for it says
    /// nothing of.
    pub fn waited(&mut self, class: &Class, most: Nanos, answered: Option<Nanos>) {
        let after = answered.map_or(usize::MAX, |after| Self::step(class, after));
        for (step, part) in self.within.iter_mut().enumerate().take(Self::step(class, most) + 1) {
            *part += WITHIN_GAIN * (f64::from(u8::from(after < step)) - *part);
        }
    }

    /// The part of the tries that is answered within a time.
    pub fn within(&self, class: &Class, time: Nanos) -> f64 {
        self.within[Self::step(class, time)]
    }
}
