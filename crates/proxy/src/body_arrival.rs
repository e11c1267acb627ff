//! When the last byte of a request's body arrived on this machine.

use std::cell::{Cell, RefCell};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Called at the arrival, with its time.
type ArrivalCallback = Box<dyn FnOnce(Instant)>;

/// The arrival of a request's last byte. The time limits of the request count from it, whether or not the byte
/// has been read: while nothing reads the body, for example because its node accepts nothing, its end waits in
/// the kernel's receive buffer, or in the client's machine.
#[derive(Default)]
pub struct BodyArrival {
    at: Cell<Option<Instant>>,
    /// The latest known moment in which the client had not written the last byte.
    unwritten_at: Cell<Option<Instant>>,
    /// How long the client waits for the answer, once that is known.
    time_limit: Cell<Option<Duration>>,
    /// Signalled at the arrival.
    signal: Notify,
    callback: RefCell<Option<ArrivalCallback>>,
}

impl BodyArrival {
    /// Returns when the last byte arrived, if it has.
    pub fn at(&self) -> Option<Instant> {
        self.at.get()
    }

    /// Returns how long the client waits for the answer, if that is known.
    pub fn time_limit(&self) -> Option<Duration> {
        self.time_limit.get()
    }

    /// Sets how long the client waits for the answer.
    pub fn set_time_limit(&self, time_limit: Duration) {
        self.time_limit.set(Some(time_limit));
    }

    /// Notes a moment in which the client had not written the last byte.
    pub fn note_unwritten(&self, at: Instant) {
        self.unwritten_at.set(Some(at));
    }

    /// Records that the last byte has arrived by now. It counts from the moment in which the client may have
    /// written it. Only the first call counts.
    pub fn record(&self) {
        if self.at.get().is_some() {
            return;
        }
        let at = self.unwritten_at.get().unwrap_or_else(Instant::now);
        self.at.set(Some(at));
        self.signal.notify_waiters();
        let callback = self.callback.take();
        if let Some(callback) = callback {
            callback(at);
        }
    }

    /// Registers a callback for the arrival, which must still be to come.
    pub fn on_arrival(&self, callback: impl FnOnce(Instant) + 'static) {
        self.callback.replace(Some(Box::new(callback)));
    }

    /// Waits for the arrival, and returns when it was.
    pub async fn wait(&self) -> Instant {
        loop {
            match self.at.get() {
                Some(at) => return at,
                None => self.signal.notified().await,
            }
        }
    }
}
