//! When the last byte of a request's body arrived on this machine.

use std::cell::{Cell, RefCell};
use tokio::sync::Notify;
use tokio::time::Instant;

/// The arrival of a request's last byte. The time limits of the request count from it, whether or not the byte
/// has been read: while nothing reads the body, for example because its node accepts nothing, its end waits in
/// the kernel's receive buffer.
#[derive(Default)]
pub struct BodyArrival {
    at: Cell<Option<Instant>>,
    /// Signalled at the arrival.
    signal: Notify,
    /// Called at the arrival.
    callback: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl BodyArrival {
    /// Returns when the last byte arrived, if it has.
    pub fn at(&self) -> Option<Instant> {
        self.at.get()
    }

    /// Records that the last byte has arrived by now. Only the first call counts.
    pub fn record(&self) {
        if self.at.get().is_some() {
            return;
        }
        self.at.set(Some(Instant::now()));
        self.signal.notify_waiters();
        let callback = self.callback.take();
        if let Some(callback) = callback {
            callback();
        }
    }

    /// Registers a callback for the arrival, which must still be to come.
    pub fn on_arrival(&self, callback: impl FnOnce() + 'static) {
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
