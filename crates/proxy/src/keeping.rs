//! Writes what is kept over restarts on a thread of its own. Danger: a disk that hangs must hold up neither the news that
//! comes nor the proxy, and what waits for it must not grow: the newest waits, and replaces what waited before it. What could
//! not be written is written again after a pause, until it is, or something newer takes its place.

use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The pause before the first retry of a write that failed; each further one is twice as long, up to the second.
const RETRY_FIRST: Duration = Duration::from_millis(250);
const RETRY_MOST: Duration = Duration::from_secs(8);

struct Slot<T> {
    next: Mutex<Next<T>>,
    told: Condvar,
}

struct Next<T> {
    kept: Option<T>,
    over: bool,
}

/// What the writer does next.
enum Turn<T> {
    /// Writes this.
    Write(T),
    /// Writes again what could not be written.
    Retry,
    /// Ends.
    End,
}

impl<T> Slot<T> {
    /// Waits for something to write; with a pause, no longer than that.
    fn turn(&self, pause: Option<Duration>) -> Turn<T> {
        let retry_at = pause.map(|pause| Instant::now() + pause);
        let mut next = self.next();
        loop {
            if let Some(kept) = next.kept.take() {
                return Turn::Write(kept);
            }
            if next.over {
                return Turn::End;
            }
            let Some(retry_at) = retry_at else {
                next = self.told.wait(next).unwrap_or_else(PoisonError::into_inner);
                continue;
            };
            let left = retry_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Turn::Retry;
            }
            next = self.told.wait_timeout(next, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn next(&self) -> MutexGuard<'_, Next<T>> {
        self.next.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The one writer of a file.
pub struct Keeping<T>(Arc<Slot<T>>);

impl<T: Send + 'static> Keeping<T> {
    /// Starts the thread; `write` is called with one value after the other, and says whether that one is on disk.
    ///
    /// # Errors
    /// If there is no thread to be had.
    pub fn start(mut write: impl FnMut(&T) -> bool + Send + 'static) -> io::Result<Self> {
        let slot =
            Arc::new(Slot { next: Mutex::new(Next { kept: None, over: false }), told: Condvar::new() });
        let waits = slot.clone();
        let writes = move || {
            let (mut unkept, mut pause) = (None, RETRY_FIRST);
            loop {
                let kept = match waits.turn(unkept.is_some().then_some(pause)) {
                    Turn::Write(kept) => kept,
                    Turn::Retry => {
                        pause = RETRY_MOST.min(pause * 2);
                        let Some(kept) = unkept.take() else { continue };
                        kept
                    }
                    Turn::End => return,
                };
                if write(&kept) {
                    (unkept, pause) = (None, RETRY_FIRST);
                } else {
                    unkept = Some(kept);
                }
            }
        };
        std::thread::Builder::new().name("keeping".into()).spawn(writes)?;
        Ok(Keeping(slot))
    }

    /// Keeps this one next, whatever waited before it.
    pub fn keep(&self, kept: T) {
        self.0.next().kept = Some(kept);
        self.0.told.notify_one();
    }
}

impl<T> Drop for Keeping<T> {
    fn drop(&mut self) {
        self.0.next().over = true;
        self.0.told.notify_one();
    }
}

#[cfg(test)]
mod tests;
