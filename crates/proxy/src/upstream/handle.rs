//! The engine's handle on an attempt in flight.

use crate::socket::{Socket, UnreadInput};
use crate::upload::Upload;
use aniseyoke_core::ResponseWait;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};

/// The longest delay of the process between reading its clock and writing that the deadline allows for.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// A node that accepts no bytes of a request for this long is considered stuck.
const STUCK_TIMEOUT: Duration = Duration::from_secs(10);
/// A node that accepts no bytes of a request for this long has stopped reading. One that reads slowly accepts none
/// either until it has read a good part of its receive buffer.
const STOPPED_READING_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval between checks for a stuck node.
const STUCK_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The engine's handle on an attempt in flight.
#[derive(Default)]
pub struct AttemptHandle {
    /// The connection on which the attempt is made.
    socket: RefCell<Option<Rc<Socket>>>,
    /// The body of the request, if it is streamed.
    upload: RefCell<Option<Rc<Upload>>>,
    writing_forbidden: Cell<bool>,
    /// The time from which nothing of the attempt may be written.
    write_deadline: Cell<Option<Instant>>,
    /// Signalled when the first byte of an answer has been read.
    response_started: Notify,
    /// Tells the engine of that byte.
    response_callback: Cell<Option<Box<dyn FnOnce()>>>,
    /// How long the answer may take from then on.
    response_wait: Cell<Option<ResponseWait>>,
    /// Signalled when writing is forbidden before the request was fully written: no outcome will follow.
    never_sent: Notify,
}

impl aniseyoke_core::AttemptHandle for AttemptHandle {
    fn on_response_started(&self, callback: impl FnOnce() + 'static) {
        self.response_callback.set(Some(Box::new(callback)));
    }

    fn await_response(&self, wait: ResponseWait) {
        self.response_wait.set(Some(wait));
    }

    /// Closes the connection of a request that is not fully written: bytes that did not fit into the kernel's
    /// buffer would otherwise be written later, long after the request ended. A node does not run a request
    /// without its last byte.
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

    /// Closes the connection immediately, since the task that writes may run before the aborted task stops.
    fn abort(&self) {
        self.writing_forbidden.set(true);
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }

    /// Sets the deadline [`MAX_WRITE_DELAY`] before `since + time`, as the process may be delayed between its
    /// last reading of the clock and the write.
    fn forbid_writing_after(&self, since: std::time::Instant, time: Duration) {
        self.write_deadline.set(Some(Instant::from_std(since) + time.saturating_sub(MAX_WRITE_DELAY)));
    }
}

impl AttemptHandle {
    /// Whether nothing of the attempt may be written at `now`.
    pub fn forbids_writing(&self, now: Instant) -> bool {
        self.writing_forbidden.get() || self.write_deadline.get().is_some_and(|deadline| now >= deadline)
    }

    /// Sets the connection on which the attempt is made, and the body of the request if it is streamed.
    pub(super) fn set_exchange(&self, socket: Rc<Socket>, upload: Option<Rc<Upload>>) {
        self.socket.replace(Some(socket));
        self.upload.replace(upload);
    }

    /// Notes that the first byte of an answer has been read.
    pub(super) fn note_response(&self) {
        self.response_started.notify_one();
    }

    /// Waits until the first byte of an answer has been read, and tells the engine; returns how long the answer
    /// may take then, if the engine sets that.
    pub(super) async fn response_started(&self) -> Option<ResponseWait> {
        self.response_started.notified().await;
        if let Some(callback) = self.response_callback.take() {
            callback();
        }
        self.response_wait.get()
    }

    /// Returns how long the answer may take, if the engine has set that since it began.
    pub(super) fn response_wait(&self) -> Option<ResponseWait> {
        self.response_wait.get()
    }

    /// Whether bytes or the end of the connection have arrived that are not read yet.
    pub(super) fn has_unread_input(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.unread_input() == UnreadInput::BytesOrEnd)
    }

    /// Waits until nothing of an answer that has begun has been read for this time.
    pub(super) async fn paused_for(&self, max_pause: Duration) {
        let last_read = || self.socket.borrow().as_ref().and_then(|socket| socket.last_answer_read());
        let mut read_at = last_read();
        loop {
            sleep_until(read_at.unwrap_or_else(Instant::now) + max_pause).await;
            if last_read() == read_at && !self.has_unread_input() {
                return;
            }
            read_at = last_read();
        }
    }

    /// Whether the request has been fully written.
    pub(super) fn is_written(&self) -> bool {
        self.upload.borrow().as_ref().is_none_or(|upload| upload.is_read_to_end())
            && self.socket.borrow().as_ref().is_some_and(|socket| socket.is_fully_written())
    }

    /// Whether the node has accepted bytes of the request within this time.
    pub(super) fn wrote_within(&self, time: Duration) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.wrote_within(time))
    }

    /// Whether the node has stopped reading the request.
    pub(super) fn has_stopped_reading(&self) -> bool {
        self.socket.borrow().as_ref().is_some_and(|socket| socket.is_stuck(STOPPED_READING_TIMEOUT))
    }

    /// Whether the body of the request is streamed.
    pub(super) fn has_upload(&self) -> bool {
        self.upload.borrow().is_some()
    }

    /// Waits until writing is forbidden before the request was fully written.
    pub(super) async fn never_sent(&self) {
        self.never_sent.notified().await;
    }

    /// Waits until the node has accepted no bytes for [`STUCK_TIMEOUT`] of a request that is not fully
    /// written.
    pub(super) async fn stuck(&self) {
        loop {
            sleep(STUCK_CHECK_INTERVAL).await;
            if self.socket.borrow().as_ref().is_some_and(|socket| socket.is_stuck(STUCK_TIMEOUT)) {
                return;
            }
        }
    }
}
