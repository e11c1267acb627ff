//! Writes state that must survive a restart from a background thread, so that a hanging disk blocks neither
//! incoming updates nor the proxy. At most one value is queued: a newer value replaces the one that waits. A
//! failed write is retried with exponential backoff until it succeeds or a newer value replaces it.

use crate::signals;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Backoff before the first retry of a failed write. It doubles with each further retry, up to `MAX_BACKOFF`.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff between two retries.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// State that the owner and the thread share.
struct Shared<T> {
    mailbox: Mutex<Mailbox<T>>,
    changed: Condvar,
}

struct Mailbox<T> {
    /// The value that waits to be written.
    newest: Option<T>,
    closed: bool,
}

/// The thread's next step.
enum Step<T> {
    /// Write this value.
    Write(T),
    /// Retry the write that failed.
    Retry,
    /// Stop the thread.
    End,
}

impl<T> Shared<T> {
    /// Waits for the next step. With a backoff, returns [`Step::Retry`] once it has elapsed.
    fn next_step(&self, backoff: Option<Duration>) -> Step<T> {
        let retry_at = backoff.map(|delay| Instant::now() + delay);
        let mut mailbox = self.mailbox();
        loop {
            if let Some(value) = mailbox.newest.take() {
                return Step::Write(value);
            }
            if mailbox.closed {
                return Step::End;
            }
            let Some(retry_at) = retry_at else {
                mailbox = self.changed.wait(mailbox).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let left = retry_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Step::Retry;
            }
            mailbox = self.changed.wait_timeout(mailbox, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn mailbox(&self) -> MutexGuard<'_, Mailbox<T>> {
        self.mailbox.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes values until the mailbox is closed.
    fn run(&self, mut write: impl FnMut(&T) -> bool) {
        let (mut failed, mut backoff) = (None, INITIAL_BACKOFF);
        loop {
            let value = match self.next_step(failed.is_some().then_some(backoff)) {
                Step::Write(value) => value,
                Step::Retry => {
                    backoff = MAX_BACKOFF.min(backoff * 2);
                    let Some(value) = failed.take() else { continue };
                    value
                }
                Step::End => return,
            };
            if write(&value) {
                (failed, backoff) = (None, INITIAL_BACKOFF);
            } else {
                failed = Some(value);
            }
        }
    }
}

/// Writes values from a background thread, which must be the only writer of its file.
pub struct BackgroundWriter<T>(Arc<Shared<T>>);

impl<T: Send + 'static> BackgroundWriter<T> {
    /// Starts the thread. `write` is called with each value, and returns whether it was written to disk.
    ///
    /// # Errors
    /// If the thread can't be started.
    pub fn start(write: impl FnMut(&T) -> bool + Send + 'static) -> io::Result<Self> {
        let mailbox = Mutex::new(Mailbox { newest: None, closed: false });
        let shared = Arc::new(Shared { mailbox, changed: Condvar::new() });
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new().name("keeping".into());
        signals::with_signals_blocked(|| thread.spawn(move || thread_shared.run(write)))?;
        Ok(BackgroundWriter(shared))
    }

    /// Queues a value to be written next. It replaces a value that still waits.
    pub fn write(&self, value: T) {
        self.0.mailbox().newest = Some(value);
        self.0.changed.notify_one();
    }
}

impl<T> Drop for BackgroundWriter<T> {
    fn drop(&mut self) {
        self.0.mailbox().closed = true;
        self.0.changed.notify_one();
    }
}

#[cfg(test)]
mod tests;
