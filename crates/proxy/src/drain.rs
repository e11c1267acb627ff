//! Whether clients are asked to go elsewhere: by an operator's order, or because the process shuts down. All spans are of
//! the monotonic clock.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// For so long after the drain began new connections are accepted and clients may use those that they have; idle ones stay
/// open until then.
pub const GRACE_PERIOD: Duration = Duration::from_millis(450);

/// The state of the drain.
#[derive(Default)]
pub struct Drain {
    /// Since when operators have ordered it.
    ordered_since: Cell<Option<Instant>>,
    /// Since when the process shuts down.
    shutting_down_since: Cell<Option<Instant>>,
}

impl Drain {
    /// Applies an operator's order; returns false if nothing changes.
    pub fn set_ordered(&self, ordered: bool) -> bool {
        if self.ordered_since.get().is_some() == ordered {
            return false;
        }
        self.ordered_since.set(ordered.then(Instant::now));
        let change = if ordered { "called" } else { "ended" };
        tracing::info!("drain: {change} by the operators");
        true
    }

    /// The process begins to shut down, which can't be undone.
    pub fn begin_shutdown(&self) {
        if self.shutting_down_since.get().is_none() {
            self.shutting_down_since.set(Some(Instant::now()));
        }
    }

    /// Whether the process shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down_since.get().is_some()
    }

    /// Since when clients are asked to go elsewhere, if they are.
    pub fn since(&self) -> Option<Instant> {
        match (self.ordered_since.get(), self.shutting_down_since.get()) {
            (Some(ordered), Some(shutdown)) => Some(ordered.min(shutdown)),
            (ordered, shutdown) => ordered.or(shutdown),
        }
    }

    /// Whether clients are asked to go elsewhere.
    pub fn is_active(&self) -> bool {
        self.since().is_some()
    }

    /// Whether a connection that has been idle since `idle_since` is to be closed by now.
    pub fn closes_idle(&self, idle_since: Instant, now: Instant) -> bool {
        self.since().is_some_and(|since| now.saturating_duration_since(since.max(idle_since)) > GRACE_PERIOD)
    }
}

#[cfg(test)]
mod tests;
