//! The engine's one clock.

use aniseyoke_decision::api::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The one clock: monotonic, from the Unix time at the start, since nodes' start times are Unix times. A wall clock that
/// steps later changes no span; `start_times` tells what a step means for nodes' start times.
#[derive(Clone, Copy)]
pub struct Clock {
    unix_time_at_start: Nanos,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the wall clock's time.
    pub fn new() -> Self {
        Clock { unix_time_at_start: wall_time(), start: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Nanos {
        self.read().0
    }

    /// One reading in both forms. Danger: between two readings the process may be held up, and what is counted from
    /// the second would last for that much longer.
    pub fn read(&self) -> (Nanos, Instant) {
        let now = Instant::now();
        let since_start = now.saturating_duration_since(self.start).as_nanos() as Nanos;
        (self.unix_time_at_start.saturating_add(since_start), now)
    }
}

/// Unix time; 0 where the wall clock stands before that.
pub fn wall_time() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}
