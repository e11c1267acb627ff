//! When a client may have written the last byte of a body at the latest. The time limits of a request count from
//! that moment, wherever the byte waits: while a node reads slowly, the end of a body that its client has written
//! waits in the buffers of the client's machine, where the proxy can't see it.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// The most bytes that the machine of a client holds of what the client has written: the largest send buffer that
/// Linux gives a connection by itself.
const MAX_CLIENT_BUFFER_BYTES: u64 = 4 << 20;
/// Once all has been read, what waited in the client's machine for a receive window arrives within this time.
const REFILL_TIME: Duration = Duration::from_millis(100);
/// Samples are kept of moments that are at least so many arrived bytes apart.
const SAMPLE_BYTES: u64 = 256 << 10;

/// How much of a body has arrived, which is not complete yet.
#[derive(Clone, Copy, Debug)]
pub struct UploadProgress {
    /// Number of bytes that have been read from the connection.
    pub read: u64,
    /// Number of bytes that have arrived and are unread.
    pub unread: u64,
    /// Number of bytes of the body that have not arrived; `None` if its length is unknown.
    pub missing: Option<u64>,
}

impl UploadProgress {
    /// Number of bytes that have arrived on the connection, read or not.
    fn arrived(&self) -> u64 {
        self.read + self.unread
    }
}

/// What waits in the client's machine for lack of a receive window.
#[derive(Clone, Copy, Debug)]
enum Backlog {
    /// Nothing at the last observation.
    None,
    /// Some bytes may.
    Waits,
    /// All that had arrived was read by then, and what waited may be on its way.
    MayArrive { since: Instant },
}

/// Follows a body that is arriving, and knows the latest moment in which its last byte was certainly not written.
pub struct UploadClock {
    unwritten_at: Instant,
    observed_at: Instant,
    last: UploadProgress,
    backlog: Backlog,
    /// Whether bytes have arrived since some were last read.
    grew_unread: bool,
    /// Moments, and how many bytes had arrived by then, the oldest first.
    samples: VecDeque<(Instant, u64)>,
}

impl UploadClock {
    /// Starts with a body whose head was complete at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        UploadClock {
            unwritten_at: started_at,
            observed_at: started_at,
            last: UploadProgress { read: 0, unread: 0, missing: None },
            backlog: Backlog::None,
            grew_unread: false,
            samples: VecDeque::new(),
        }
    }

    /// Takes an observation of an incomplete body; returns the latest moment in which the last byte was certainly
    /// not written.
    pub fn observe(&mut self, now: Instant, progress: UploadProgress) -> Instant {
        self.observe_backlog(now, progress);
        self.observe_growth(progress);
        if progress.missing.is_some_and(|missing| missing > MAX_CLIENT_BUFFER_BYTES) {
            self.unwritten_at = now;
        }
        self.observe_arrived(now, progress.arrived());
        self.last = progress;
        self.observed_at = now;
        self.unwritten_at
    }

    /// While all that arrives is read, what the client has written arrives at once, unless it still waits for a
    /// window that was full before.
    fn observe_backlog(&mut self, now: Instant, progress: UploadProgress) {
        self.backlog = match self.backlog {
            _ if progress.unread > 0 => Backlog::Waits,
            Backlog::None => Backlog::None,
            Backlog::Waits => Backlog::MayArrive { since: now },
            Backlog::MayArrive { since } if now < since + REFILL_TIME => Backlog::MayArrive { since },
            Backlog::MayArrive { .. } => Backlog::None,
        };
        if matches!(self.backlog, Backlog::None) {
            self.unwritten_at = self.unwritten_at.max(self.observed_at);
        }
    }

    /// While nothing is read, bytes of a backlog arrive until the window is full, and then none. If bytes arrive
    /// a second time, the client wrote them after the first.
    fn observe_growth(&mut self, progress: UploadProgress) {
        if progress.read != self.last.read {
            self.grew_unread = false;
        } else if progress.unread > self.last.unread {
            if self.grew_unread {
                self.unwritten_at = self.unwritten_at.max(self.observed_at);
            }
            self.grew_unread = true;
        }
    }

    /// If more bytes have arrived since a moment than the client's machine can hold, the client wrote some of them
    /// after it.
    fn observe_arrived(&mut self, now: Instant, arrived: u64) {
        while let Some(&(at, arrived_then)) = self.samples.front() {
            if arrived <= arrived_then.saturating_add(MAX_CLIENT_BUFFER_BYTES) {
                break;
            }
            self.unwritten_at = self.unwritten_at.max(at);
            self.samples.pop_front();
        }
        let is_due = |&(_, last): &(Instant, u64)| arrived >= last.saturating_add(SAMPLE_BYTES);
        if self.samples.back().is_none_or(is_due) {
            self.samples.push_back((now, arrived));
        }
    }
}

#[cfg(test)]
mod tests;
