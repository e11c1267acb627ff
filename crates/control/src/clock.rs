//! A monotonic clock in nanoseconds, the unit of the state machines' times.

use tokio::time::Instant;

/// A monotonic clock whose zero is its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Nanoseconds since the clock's creation.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }
}
