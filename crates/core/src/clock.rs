//! The one clock, and what of a client's time is kept for the way.

use aniseyoke_decision::api::Nanos;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A client's time runs from its sending: so much of it is kept for the way here and for the answer's way back.
const MARGIN: Nanos = 10_000_000;
/// At most this part of the time. Danger: some clients wait for little longer than an answer takes; a margin made for
/// long waits would leave them none.
const MARGIN_PART: Nanos = 12;

/// The one clock: monotonic, from the Unix time at the start, since nodes' start times are Unix times. A wall clock that
/// steps later changes no span; `starts` tells what a step means for nodes' start times.
#[derive(Clone, Copy)]
pub struct Clock {
    base: Nanos,
    start: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Clock { base: wall(), start: Instant::now() }
    }

    pub fn now(&self) -> Nanos {
        self.read().0
    }

    /// One reading in both forms. Danger: between two readings the process may be held up, and what is counted from
    /// the second would last for that much longer.
    pub fn read(&self) -> (Nanos, Instant) {
        let now = Instant::now();
        let since = now.saturating_duration_since(self.start);
        (self.base.saturating_add(since.as_nanos() as Nanos), now)
    }
}

/// Unix time; 0 where the clock stands before that.
pub fn wall() -> Nanos {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as Nanos
}

/// What is kept of a client's time for the way here and back.
pub fn margin(patience: Nanos) -> Nanos {
    MARGIN.min(patience / MARGIN_PART)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_impatient_client_keeps_most_of_its_time() {
        for (patience, most) in [(28, 3), (47, 4), (300, 10), (60_000, 10), (0, 0)] {
            assert!(margin(patience * 1_000_000) <= most * 1_000_000, "{patience}");
        }
    }
}
