//! Hashes, chance and counts that fade: the arithmetic under the decisions.

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
pub fn unit(x: u64) -> f64 {
    ((x >> 11) + 1) as f64 / (1u64 << 53) as f64
}

/// The time between two points, in seconds; 0 if the second is the earlier.
pub fn seconds(from: Nanos, to: Nanos) -> f64 {
    to.saturating_sub(from) as f64 / SECOND as f64
}

/// A count whose past fades.
#[derive(Clone, Copy, Default)]
pub struct Fading {
    pub sum: f64,
    at: Nanos,
}

impl Fading {
    /// Counts one; what was counted before fades by the part 1/e in `memory_s` seconds.
    pub fn add(&mut self, now: Nanos, memory_s: f64) {
        *self = Fading { sum: self.sum * (-seconds(self.at, now) / memory_s).exp() + 1.0, at: now };
    }
}

/// What may still be spent of an income.
#[derive(Clone, Copy, Default)]
pub struct Purse {
    pub left: f64,
    pub at: Nanos,
}

impl Purse {
    /// Earns so much a second since it last did, up to `most`; returns what it holds.
    pub fn earn(&mut self, now: Nanos, a_second: f64, most: f64) -> f64 {
        *self = Purse { left: (self.left + seconds(self.at, now) * a_second).min(most), at: now };
        self.left
    }
}

/// The only source of chance.
pub struct Chance(pub u64);

impl Chance {
    /// A number above 0 and at most 1.
    pub fn draw(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.0))
    }
}
