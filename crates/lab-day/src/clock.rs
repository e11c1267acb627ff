//! The clock of a trial, in nanoseconds since its start, shared by site, load and auditor; and random values that
//! depend on a seed alone.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A point in time since the start of the trial, or a span, in nanoseconds.
pub type Nanos = u64;

/// Nanoseconds in a second.
pub const SECOND: Nanos = 1_000_000_000;
/// Nanoseconds in a millisecond.
pub const MILLISECOND: Nanos = 1_000_000;

/// A monotonic clock, with the Unix time of its start for timestamps that are sent to proxies.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix_ms: u64,
}

impl Clock {
    /// Starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// Time since the start.
    pub fn now(&self) -> Nanos {
        self.start.elapsed().as_nanos() as Nanos
    }

    /// Converts a time of this clock to an `Instant`.
    pub fn instant(&self, at: Nanos) -> Instant {
        self.start + Duration::from_nanos(at)
    }

    /// Converts a time of this clock to Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Nanos) -> u64 {
        self.unix_ms + at / MILLISECOND
    }
}

/// Converts a duration to nanoseconds.
pub fn nanos(span: Duration) -> Nanos {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// Hashes a seed and two numbers to 64 bits with splitmix64's finalizer, for random values that must not depend on the
/// order of events.
pub fn mix(seed: u64, a: u64, b: u64) -> u64 {
    let round = |mut z: u64| {
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    };
    let first = round(seed.wrapping_add(a.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
    round(first.wrapping_add(b.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_add(0x9e37_79b9_7f4a_7c15))
}

/// Converts a hash to a fraction in [0, 1).
pub fn unit_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
