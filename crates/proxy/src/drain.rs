//! Whether clients are to go elsewhere: by an operator's call, or because the process is to end. All spans are of the
//! monotonic clock.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// For so long after its start new connections still come, and clients use those that they have; idle ones
/// stay until then.
pub const GENTLE: Duration = Duration::from_millis(450);

/// The switch of the drain; the front reads it.
#[derive(Default)]
pub struct Drain {
    /// Since when operators want it.
    called: Cell<Option<Instant>>,
    /// Since when the process is to end.
    stopping: Cell<Option<Instant>>,
}

impl Drain {
    /// Takes an operator's wish; false if nothing changes.
    pub fn call(&self, on: bool) -> bool {
        if self.called.get().is_some() == on {
            return false;
        }
        self.called.set(on.then(Instant::now));
        tracing::info!(
            "{}",
            if on { "drain: called by the operators" } else { "drain: ended by the operators" }
        );
        true
    }

    /// The process is to end. There is no way back.
    pub fn stop(&self) {
        if self.stopping.get().is_none() {
            self.stopping.set(Some(Instant::now()));
        }
    }

    /// Whether the process is to end.
    pub fn stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Since when clients are asked to go elsewhere, if they are.
    pub fn since(&self) -> Option<Instant> {
        match (self.called.get(), self.stopping.get()) {
            (Some(called), Some(stopping)) => Some(called.min(stopping)),
            (called, stopping) => called.or(stopping),
        }
    }

    /// Whether clients are asked to go elsewhere.
    pub fn on(&self) -> bool {
        self.since().is_some()
    }

    /// Whether a connection that has had nothing to do since `idle` is to end by now.
    pub fn ends(&self, idle: Instant, now: Instant) -> bool {
        self.since().is_some_and(|since| now.saturating_duration_since(since.max(idle)) > GENTLE)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Danger: an operator's call back must not bring clients to a process that is about to end.
    #[test]
    fn a_process_that_stops_goes_on_draining_after_the_call_back() {
        let drain = Drain::default();
        assert!(drain.set_ordered(true) && !drain.set_ordered(true) && drain.is_active());
        drain.begin_shutdown();
        assert!(drain.set_ordered(false) && !drain.set_ordered(false));
        assert!(drain.is_active() && drain.is_shutting_down());
    }

    #[test]
    fn idle_connections_stay_for_the_gentle_time_after_both_their_last_use_and_the_call() {
        let drain = Drain::default();
        let now = Instant::now();
        assert!(!drain.closes_idle(now, now + 9 * GENTLE));
        drain.set_ordered(true);
        let called = drain.since().expect("called");
        assert!(!drain.closes_idle(now, called + GENTLE));
        assert!(drain.closes_idle(now, called + GENTLE + Duration::from_millis(1)));
        assert!(!drain.closes_idle(called + GENTLE, called + 2 * GENTLE));
    }
}
