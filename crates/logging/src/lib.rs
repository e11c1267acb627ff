//! Logging: plain or JSON lines on standard error.
//!
//! Logging never blocks the calling thread: lines go to a bounded queue, from which another thread writes
//! them. If the queue is full, the line is dropped and counted. Each call site has its own rate limit, so
//! that a fault that repeats with every request neither fills the queue nor hides other lines. The number of
//! suppressed lines is reported with the next line of the call site, or by [`LogHandle::report_suppressed`]
//! if there is none. Levels can be changed while the program runs.
//!
//! The first lines are written by the thread that starts the log, before the log thread exists, so that a
//! process that hangs while it creates its threads has logged its start.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod early;
mod format;
mod layer;
mod levels;
mod queue;
mod rate_limit;
mod standard_error;

pub use format::{Format, MAX_LINE_BYTES};
pub use levels::{Level, Levels};
pub use rate_limit::{Admission, RateLimit, RateLimiter};
pub use standard_error::{install_panic_hook, print_lines};

use layer::{LineLayer, LineOutput, LineWriter};
use queue::LineQueue;
use standard_error::NonblockingStandardError;
use std::cell::Cell;
use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{reload, Registry};

/// The capacity of the queue in lines; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1024;
/// The shortest wait at shutdown for queued lines: the log thread has to be scheduled once.
const MIN_CLOSE_WAIT: Duration = Duration::from_millis(20);
/// The longest wait at shutdown for queued lines: standard error may be a pipe that nobody reads.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(1);

/// Options of the log.
#[derive(Clone, Debug)]
pub struct Options {
    /// The format of lines.
    pub format: Format,
    /// The rate limit of each call site.
    pub rate_limit: RateLimit,
    /// The levels that are written.
    pub levels: Levels,
}

/// Controls a running log. Dropping it writes the queued lines, and takes at most a second.
pub struct LogHandle {
    lines: Arc<LineWriter<LineQueue>>,
    levels: reload::Handle<Targets, Registry>,
    close_deadline: Cell<Option<Instant>>,
}

impl LogHandle {
    /// Changes the levels that are written from now on.
    pub fn set_levels(&self, levels: &Levels) {
        // This fails only if the subscriber no longer exists, in which case no lines are written.
        let _ = self.levels.reload(Targets::from(levels));
    }

    /// Writes the number of suppressed lines of each call site that were not reported yet.
    pub fn report_suppressed(&self) {
        self.lines.report_suppressed();
    }

    /// Returns the number of lines that were dropped because the queue was full or the log was closed.
    pub fn dropped(&self) -> usize {
        self.lines.output().dropped()
    }

    /// Sets the deadline for writing queued lines when the log is closed.
    pub fn set_close_deadline(&self, deadline: Instant) {
        self.close_deadline.set(Some(deadline));
    }
}

impl Drop for LogHandle {
    fn drop(&mut self) {
        let deadline = self.close_deadline.get();
        let remaining =
            deadline.map_or(MAX_CLOSE_WAIT, |deadline| deadline.saturating_duration_since(Instant::now()));
        self.lines.output().close(remaining.clamp(MIN_CLOSE_WAIT, MAX_CLOSE_WAIT));
    }
}

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The log thread can't be started.
    #[error("the log thread can't be started: {0}")]
    Thread(#[from] io::Error),
    /// A log was already started.
    #[error(transparent)]
    AlreadyStarted(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// Creates a log that writes to `out`: a subscriber, which the caller installs, and the handle that controls
/// it.
///
/// # Errors
/// If the log thread can't be started.
pub fn build(
    options: &Options,
    out: impl Write + Send + 'static,
) -> io::Result<(impl tracing::Subscriber + Send + Sync, LogHandle)> {
    let queue = LineQueue::start(MAX_QUEUED_LINES, out)?;
    let lines = Arc::new(LineWriter::new(options.format, options.rate_limit, queue));
    let (filter, levels) = reload::Layer::new(Targets::from(&options.levels));
    let subscriber = Registry::default().with(filter).with(LineLayer(lines.clone()));
    Ok((subscriber, LogHandle { lines, levels, close_deadline: Cell::new(None) }))
}

/// Starts the log of this process on standard error.
///
/// Calls `first` before the log thread exists. The calling thread writes the lines that it logs, at once and
/// without blocking; lines that can't be written this way, such as to a full pipe, become the first in the
/// queue.
///
/// # Errors
/// If a log was already started, or the log thread can't be started.
pub fn start(options: &Options, first: impl FnOnce()) -> Result<LogHandle, StartError> {
    let not_written = early::write_lines_directly(options, NonblockingStandardError::default(), first);
    let (subscriber, handle) = build(options, std::io::stderr())?;
    not_written.iter().for_each(|line| handle.lines.output().write_line(line));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(handle)
}

#[cfg(test)]
mod tests;
