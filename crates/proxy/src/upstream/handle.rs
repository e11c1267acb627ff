//! The engine's handle on an attempt in flight.

use crate::socket::Socket;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, Instant};

/// The process may be held up for so long between reading its clock and writing.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// A node that takes nothing more of a body for so long has hung up.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is looked whether a node is stuck.
const STUCK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The engine's handle on an attempt in flight.
#[derive(Default)]
pub struct AttemptHandle {
    /// The connection on which the attempt is made.
    socket: RefCell<Option<Rc<Socket>>>,
    writing_forbidden: Cell<bool>,
    /// From then on nothing of it is written.
    write_deadline: Cell<Option<Instant>>,
    /// Writing was forbidden before all was written: there is no outcome to wait for.
    never_sent: Notify,
}

impl aniseyoke_core::AttemptHandle for AttemptHandle {
    /// Closes the connection of a request that is not written whole: what the kernel had no room for would be written once it
    /// has, long after the request was over. A request whose last byte is not written has not run.
    fn forbid_writing(&self) {
        self.writing_forbidden.set(true);
        if self.is_written() {
            return;
        }
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
        self.never_sent.notify_one();
    }

    /// Closes the connection at once, since the task that writes may run before the one that is aborted.
    fn abort(&self) {
        self.writing_forbidden.set(true);
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }

    /// Leaves time for a process that is held up right behind its last look at the clock, and writes that much later.
    fn forbid_writing_after(&self, since: std::time::Instant, time: Duration) {
        self.write_deadline.set(Some(Instant::from_std(since) + time.saturating_sub(MAX_HOLD_UP)));
    }
}

impl AttemptHandle {
    /// Whether nothing of the attempt may be written at this time any more.
    pub fn forbids_writing(&self, now: Instant) -> bool {
        self.writing_forbidden.get() || self.write_deadline.get().is_some_and(|deadline| now >= deadline)
    }

    /// The attempt is made on this connection from now on.
    pub(super) fn set_socket(&self, socket: Rc<Socket>) {
        self.socket.replace(Some(socket));
    }

    /// Whether the request has been written whole.
    pub(super) fn is_written(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.is_fully_written())
    }

    /// Returns once writing was forbidden before the request was written whole.
    pub(super) async fn never_sent(&self) {
        self.never_sent.notified().await;
    }

    /// Returns once the node has taken nothing for long of a request that is not written whole.
    pub(super) async fn stuck(&self) {
        loop {
            sleep(STUCK_CHECK_INTERVAL).await;
            if self.socket.borrow().as_ref().is_some_and(|socket| socket.is_stuck(STUCK_TIMEOUT)) {
                return;
            }
        }
    }
}
