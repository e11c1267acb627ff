//! A bounded queue of lines, and the thread that writes them.
//!
//! Both sides share one lock, under which neither makes a system call that may wait, and they wait in condition variables
//! alone: neither yields until the other has finished an operation that it has begun.

use crate::layer::LineOutput;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Name of the thread that writes.
const THREAD_NAME: &str = "log";

/// The sending side of the queue.
#[derive(Clone)]
pub struct LineQueue(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// A line has come, or the queue was closed: wakes the writing thread.
    changed: Condvar,
    /// The writing thread has ended: wakes who closes the queue.
    thread_ended: Condvar,
    capacity: usize,
}

#[derive(Default)]
struct State {
    lines: VecDeque<String>,
    dropped: usize,
    closed: bool,
    /// Whether the writing thread has ended.
    ended: bool,
}

impl LineQueue {
    /// A queue for so many lines, and the thread that writes them to `out`.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn start(capacity: usize, out: impl Write + Send + 'static) -> io::Result<Self> {
        let state = Mutex::new(State::default());
        let shared =
            Arc::new(Shared { state, changed: Condvar::new(), thread_ended: Condvar::new(), capacity });
        let of_thread = shared.clone();
        let thread = std::thread::Builder::new().name(THREAD_NAME.into());
        thread.spawn(move || of_thread.write_all_lines(out))?;
        Ok(LineQueue(shared))
    }

    /// How many lines were dropped because the queue was full or closed.
    pub fn dropped(&self) -> usize {
        self.0.state().dropped
    }

    /// Takes no further lines, and waits until those in the queue are written, but no longer than `timeout`.
    pub fn close(&self, timeout: Duration) {
        let give_up_at = Instant::now() + timeout;
        let mut state = self.0.state();
        state.closed = true;
        self.0.changed.notify_one();
        while !state.ended {
            let left = give_up_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            state = self.0.thread_ended.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
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

    /// Writes one line after the other until the queue is closed and empty.
    fn write_all_lines(&self, mut out: impl Write) {
        let _end = TellsEnd(self);
        while let Some(line) = self.next_line() {
            // An output that takes nothing, such as a pipe whose reader has gone, is nobody's concern.
            let _ = out.write_all(line.as_bytes());
        }
        let _ = out.flush();
    }

    /// Waits for the next line; none once the queue is closed and empty.
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

/// Tells that the writing thread has ended, also where the output panics.
struct TellsEnd<'a>(&'a Shared);

impl Drop for TellsEnd<'_> {
    fn drop(&mut self) {
        self.0.state().ended = true;
        self.0.thread_ended.notify_all();
    }
}
