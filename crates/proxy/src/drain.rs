//! The drain state of the process: clients are asked to connect elsewhere because an operator ordered it or
//! because the process shuts down. All times are of the monotonic clock.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// For this time after the drain began, new connections are accepted, clients may use their existing
/// connections, and idle connections stay open.
pub const GRACE_PERIOD: Duration = Duration::from_millis(450);

/// The state of the drain.
#[derive(Default)]
pub struct Drain {
    /// When operators ordered the drain, if it is in force.
    ordered_since: Cell<Option<Instant>>,
    /// When the shutdown began.
    shutting_down_since: Cell<Option<Instant>>,
}

impl Drain {
    /// Starts or ends a drain by operators. Returns whether the state changed.
    pub fn set_ordered(&self, ordered: bool) -> bool {
        if self.ordered_since.get().is_some() == ordered {
            return false;
        }
        self.ordered_since.set(ordered.then(Instant::now));
        let change = if ordered { "called" } else { "ended" };
        tracing::info!("drain: {change} by the operators");
        true
    }

    /// Starts the drain for the shutdown of the process, which can't be undone.
    pub fn begin_shutdown(&self) {
        if self.shutting_down_since.get().is_none() {
            self.shutting_down_since.set(Some(Instant::now()));
        }
    }

    /// Whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down_since.get().is_some()
    }

    /// When the drain began, if one is active.
    pub fn since(&self) -> Option<Instant> {
        match (self.ordered_since.get(), self.shutting_down_since.get()) {
            (Some(ordered), Some(shutdown)) => Some(ordered.min(shutdown)),
            (ordered, shutdown) => ordered.or(shutdown),
        }
    }

    /// Whether a drain is active.
    pub fn is_active(&self) -> bool {
        self.since().is_some()
    }

    /// Whether the drain requires closing a connection that has been idle since `idle_since`.
    pub fn should_close_idle(&self, idle_since: Instant, now: Instant) -> bool {
        self.since().is_some_and(|since| now.saturating_duration_since(since.max(idle_since)) > GRACE_PERIOD)
    }
}

#[cfg(test)]
mod tests;
