//! Hashes, random numbers, decaying counters and token buckets.

use crate::api::Nanos;

/// One millisecond, in nanoseconds.
pub const MS: Nanos = 1_000_000;
/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000_000_000;

/// Mixes the bits of a number (the finalizer of SplitMix64); the result is the same at every proxy.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to a number above 0 and at most 1.
pub fn unit_interval(x: u64) -> f64 {
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// Returns the time between two points, in seconds; 0 if `to` is before `from`.
pub fn seconds_between(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / SECOND as f64
}

/// Returns 1 for true and 0 for false.
pub fn indicator(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

/// A count that decays exponentially.
#[derive(Clone, Copy, Default)]
pub struct DecayingCounter {
    /// The count at the last addition.
    pub sum: f64,
    updated_at: Nanos,
}

impl DecayingCounter {
    /// Adds one; earlier counts decay with the time constant `time_constant_s`, in seconds.
    pub fn add(&mut self, now: Nanos, time_constant_s: f64) {
        let decay = (-seconds_between(self.updated_at, now) / time_constant_s).exp();
        *self = DecayingCounter { sum: self.sum * decay + 1.0, updated_at: now };
    }
}

/// A token bucket.
#[derive(Clone, Copy, Default)]
pub struct TokenBucket {
    /// Tokens available; negative if more were spent than available.
    pub tokens: f64,
    /// Time of the last refill.
    pub refilled_at: Nanos,
}

impl TokenBucket {
    /// Adds the tokens accrued since the last refill, up to `capacity` in all; returns the tokens available.
    pub fn refill(&mut self, now: Nanos, per_second: f64, capacity: f64) -> f64 {
        let accrued = seconds_between(self.refilled_at, now) * per_second;
        *self = TokenBucket { tokens: (self.tokens + accrued).min(capacity), refilled_at: now };
        self.tokens
    }
}

/// A source of random numbers (SplitMix64); the module has no other.
pub struct RandomSource(pub u64);

impl RandomSource {
    /// Returns a random number above 0 and at most 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit_interval(mix(self.0))
    }
}
