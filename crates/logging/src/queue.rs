//! A bounded queue of lines, and the log thread that writes them.
//!
//! Both sides share one lock. Neither makes a blocking system call while it holds the lock, and both wait
//! only on condition variables; neither spins until the other side completes an operation that it has begun.

use crate::layer::LineOutput;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The name of the log thread.
const THREAD_NAME: &str = "log";

/// The sending side of the queue.
#[derive(Clone)]
pub struct LineQueue(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Wakes the log thread when a line was added or the queue was closed.
    changed: Condvar,
    /// Wakes the thread that closes the queue when the log thread has ended.
    thread_ended: Condvar,
    capacity: usize,
}

#[derive(Default)]
struct State {
    lines: VecDeque<String>,
    dropped: usize,
    closed: bool,
    /// Whether the log thread has ended.
    ended: bool,
}

impl LineQueue {
    /// Creates a queue for at most `capacity` lines, and starts the log thread, which writes them to `out`.
    ///
    /// # Errors
    /// If the log thread can't be started.
    pub fn start(capacity: usize, out: impl Write + Send + 'static) -> io::Result<Self> {
        let state = Mutex::new(State::default());
        let shared =
            Arc::new(Shared { state, changed: Condvar::new(), thread_ended: Condvar::new(), capacity });
        let thread_shared = shared.clone();
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        thread.spawn(move || thread_shared.write_all_lines(out))?;
        Ok(LineQueue(shared))
    }

    /// Returns the number of lines that were dropped because the queue was full or closed.
    pub fn dropped(&self) -> usize {
        self.0.state().dropped
    }

    /// Stops accepting lines, and waits until the queued ones are written, at most for `timeout`.
    pub fn close(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut state = self.0.state();
        state.closed = true;
        self.0.changed.notify_one();
        while !state.ended {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            state =
                self.0.thread_ended.wait_timeout(state, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl LineOutput for LineQueue {
    fn write_line(&self, line: &str) {
        let line = line.to_owned();
        let mut state = self.0.state();
        if state.closed || state.lines.len() >= self.0.capacity {
            state.dropped += 1;
            return;
        }
        state.lines.push_back(line);
        drop(state);
        self.0.changed.notify_one();
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes lines until the queue is closed and empty.
    fn write_all_lines(&self, mut out: impl Write) {
        let _end_notifier = EndNotifier(self);
        while let Some(line) = self.next_line() {
            // Write errors, such as of a pipe whose reader has closed it, are ignored: there is no other
            // place to report them.
            let _ = out.write_all(line.as_bytes());
        }
        let _ = out.flush();
    }

    /// Waits for the next line. Returns none if the queue is closed and empty.
    fn next_line(&self) -> Option<String> {
        let mut state = self.state();
        loop {
            if let Some(line) = state.lines.pop_front() {
                return Some(line);
            }
            if state.closed {
                return None;
            }
            state = self.changed.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }
}

/// Records that the log thread has ended, also if the output panics.
struct EndNotifier<'a>(&'a Shared);

impl Drop for EndNotifier<'_> {
    fn drop(&mut self) {
        self.0.state().ended = true;
        self.0.thread_ended.notify_all();
    }
}
