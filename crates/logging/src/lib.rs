//! The log: plain or JSON lines on standard error.
//!
//! The thread that logs never waits: a line goes to a bounded queue, from which another thread writes. When the queue is
//! full the line is dropped and counted. Each call site has a rate limit of its own, so that a fault that repeats with
//! every request neither fills the queue nor hides other lines. How many lines were suppressed is reported with the next
//! line of that site, or by [`LogHandle::report_suppressed`] when none comes. Levels can be changed while the program runs.
//!
//! The first lines are written by the thread that starts the log, before the other thread exists, so that a process that
//! gets stuck while it creates its threads has logged that it began.
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

/// Lines that may wait to be written; further ones are dropped.
const MAX_QUEUED_LINES: usize = 1024;
/// The shortest wait at the end for lines that are not written yet: the writing thread has to be scheduled once.
const MIN_CLOSE_WAIT: Duration = Duration::from_millis(20);
/// The longest wait at the end for lines that are not written yet: standard error may be a pipe that nobody reads.
const MAX_CLOSE_WAIT: Duration = Duration::from_secs(1);

/// How lines are written.
#[derive(Clone, Debug)]
pub struct Options {
    /// Their format.
    pub format: Format,
    /// The rate limit of each call site.
    pub rate_limit: RateLimit,
    /// Which lines are written.
    pub levels: Levels,
}

/// Controls a running log. Dropping it writes the lines that still wait, and takes no more than a second.
pub struct LogHandle {
    lines: Arc<LineWriter<LineQueue>>,
    levels: reload::Handle<Targets, Registry>,
    close_deadline: Cell<Option<Instant>>,
}

impl LogHandle {
    /// Changes which lines are written from now on.
    pub fn set_levels(&self, levels: &Levels) {
        // It fails only when the subscriber is gone, and then nothing is written anyhow.
        let _ = self.levels.reload(Targets::from(levels));
    }

    /// Writes how many lines of each call site were suppressed and not reported yet.
    pub fn report_suppressed(&self) {
        self.lines.report_suppressed();
    }

    /// How many lines were dropped because the queue was full, or after the log was closed.
    pub fn dropped(&self) -> usize {
        self.lines.output().dropped()
    }

    /// Sets until when the end of the log may wait for lines that are not written yet.
    pub fn set_close_deadline(&self, deadline: Instant) {
        self.close_deadline.set(Some(deadline));
    }
}

impl Drop for LogHandle {
    fn drop(&mut self) {
        let deadline = self.close_deadline.get();
        let left =
            deadline.map_or(MAX_CLOSE_WAIT, |deadline| deadline.saturating_duration_since(Instant::now()));
        self.lines.output().close(left.clamp(MIN_CLOSE_WAIT, MAX_CLOSE_WAIT));
    }
}

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The thread that writes the lines can't be started.
    #[error("the log's thread: {0}")]
    Thread(#[from] io::Error),
    /// A log was started before.
    #[error(transparent)]
    AlreadyStarted(#[from] tracing::subscriber::SetGlobalDefaultError),
}

/// A log that writes to `out`: a subscriber that is still to be installed, and the handle that controls it.
///
/// # Errors
/// If no thread can be started.
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
/// `first` is called before the log's thread exists. What it logs is written by the calling thread, at once and without
/// waiting; lines that could not be written so, as to a full pipe, are the first in the queue.
///
/// # Errors
/// If one was started before, or no thread can be started.
pub fn start(options: &Options, first: impl FnOnce()) -> Result<LogHandle, StartError> {
    let not_written = early::write_lines_of(options, NonblockingStandardError::default(), first);
    let (subscriber, handle) = build(options, std::io::stderr())?;
    not_written.iter().for_each(|line| handle.lines.output().write_line(line));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(handle)
}

#[cfg(test)]
mod tests;
