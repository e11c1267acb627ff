//! The engine's clock.

use aniseyoke_decision::api::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that counts from the Unix time at which it was created, because nodes report their start
/// times as Unix times. A later step of the wall clock does not affect measured durations; the module
/// `start_times` corrects nodes' start times for such steps.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_time_at_start: Nanos,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current wall clock time.
    pub fn new() -> Self {
        Clock { unix_time_at_start: wall_time(), start: Instant::now() }
    }

    /// Returns the current time, in nanoseconds of Unix time.
    pub fn now(&self) -> Nanos {
        self.read().0
    }

    /// Returns one reading of the clock in both forms. The process may be suspended between two separate
    /// readings, which would extend a time limit that is counted from the second one.
    pub fn read(&self) -> (Nanos, Instant) {
        let now = Instant::now();
        let since_start = now.saturating_duration_since(self.start).as_nanos() as Nanos;
        (self.unix_time_at_start.saturating_add(since_start), now)
    }
}

/// Returns the wall clock time as Unix time in nanoseconds, or 0 if the clock is set to a time before the
/// Unix epoch.
pub fn wall_time() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}
