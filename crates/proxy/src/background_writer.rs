//! Writes what outlives a restart on a thread of its own, so that a disk that hangs holds up neither incoming updates nor the
//! proxy. What waits for the disk does not grow: only the newest value waits, and replaces the one that waited before it. A
//! value that could not be written is written again with exponential backoff, until it is, or a newer one takes its place.

use crate::signals;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The pause before the first retry of a write that failed; it doubles with each further one, up to the longest.
const FIRST_RETRY: Duration = Duration::from_millis(250);
const LONGEST_RETRY: Duration = Duration::from_secs(8);

/// What the owner and the thread share.
struct Shared<T> {
    mailbox: Mutex<Mailbox<T>>,
    changed: Condvar,
}

struct Mailbox<T> {
    newest: Option<T>,
    closed: bool,
}

/// What the thread does next.
enum Step<T> {
    /// Writes this value.
    Write(T),
    /// Writes the value again that could not be written.
    Retry,
    /// Ends.
    End,
}

impl<T> Shared<T> {
    /// Waits for the next step; with a pause, no longer than that.
    fn next_step(&self, retry_pause: Option<Duration>) -> Step<T> {
        let retry_at = retry_pause.map(|pause| Instant::now() + pause);
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

    /// Writes one value after the other until the mailbox is closed.
    fn run(&self, mut write: impl FnMut(&T) -> bool) {
        let (mut failed, mut pause) = (None, FIRST_RETRY);
        loop {
            let value = match self.next_step(failed.is_some().then_some(pause)) {
                Step::Write(value) => value,
                Step::Retry => {
                    pause = LONGEST_RETRY.min(pause * 2);
                    let Some(value) = failed.take() else { continue };
                    value
                }
                Step::End => return,
            };
            if write(&value) {
                (failed, pause) = (None, FIRST_RETRY);
            } else {
                failed = Some(value);
            }
        }
    }
}

/// A thread that writes a file, of which it is the only writer.
pub struct BackgroundWriter<T>(Arc<Shared<T>>);

impl<T: Send + 'static> BackgroundWriter<T> {
    /// Starts the thread; `write` is called with one value after the other, and returns whether that one is on disk.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn start(write: impl FnMut(&T) -> bool + Send + 'static) -> io::Result<Self> {
        let mailbox = Mutex::new(Mailbox { newest: None, closed: false });
        let shared = Arc::new(Shared { mailbox, changed: Condvar::new() });
        let of_thread = shared.clone();
        let thread = std::thread::Builder::new().name("keeping".into());
        signals::with_signals_blocked(|| thread.spawn(move || of_thread.run(write)))?;
        Ok(BackgroundWriter(shared))
    }

    /// Has this value written next, in place of one that still waits.
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
