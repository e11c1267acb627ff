//! The engine's one clock.

use aniseyoke_decision::api::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The one clock: monotonic, from the Unix time at the start, since nodes' start times are Unix times.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_time_at_start: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the wall clock's time.
    pub fn new() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix_time_at_start: unix_time.as_nanos() as Nanos, start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.unix_time_at_start.saturating_add(self.start.elapsed().as_nanos() as Nanos)
    }
}
