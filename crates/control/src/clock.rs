//! A steady clock in the units of the state machines.

use tokio::time::Instant;

/// Counts nanoseconds from its creation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Clock { start: Instant::now() }
    }

    /// Nanoseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }
}
