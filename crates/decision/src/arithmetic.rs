//! Hashes, random numbers, decaying counters and token buckets: the arithmetic under the decisions.

use crate::api::Nanos;

/// A millisecond.
pub const MS: Nanos = 1_000_000;
/// A second.
pub const SECOND: Nanos = 1_000_000_000;

/// Mixes the bits of a number, alike at every proxy (the finalizer of SplitMix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a number above 0 and at most 1.
pub fn unit_interval(x: u64) -> f64 {
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The time between two points, in seconds; 0 if the second is the earlier.
pub fn seconds_between(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / SECOND as f64
}

/// 1 for true, 0 for false.
pub fn indicator(holds: bool) -> f64 {
    f64::from(u8::from(holds))
}

/// A count that decays exponentially.
#[derive(Clone, Copy, Default)]
pub struct DecayingCounter {
    /// The count as of the last addition.
    pub sum: f64,
    updated_at: Nanos,
}

impl DecayingCounter {
    /// Counts one; earlier counts decay with the time constant `memory_s`, in seconds.
    pub fn add(&mut self, now: Nanos, memory_s: f64) {
        let decay = (-seconds_between(self.updated_at, now) / memory_s).exp();
        *self = DecayingCounter { sum: self.sum * decay + 1.0, updated_at: now };
    }
}

/// A token bucket.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens that it holds; below zero once more was spent.
    pub tokens: f64,
    /// When it was refilled last.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// Adds what has accrued since the last refill, up to `most` in all; returns the tokens held.
    pub fn refill(&mut self, now: Nanos, per_second: f64, most: f64) -> f64 {
        let accrued = seconds_between(self.refilled_at, now) * per_second;
        *self = TokenBucket { tokens: (self.tokens + accrued).min(most), refilled_at: now };
        self.tokens
    }
}

/// The only source of random numbers (SplitMix64).
pub struct RandomSource(pub u64);

impl RandomSource {
    /// A number above 0 and at most 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(mix(self.0))
    }
}
