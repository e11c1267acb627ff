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
mod rate_limit;

pub use format::{Format, MAX_LINE_BYTES};
pub use levels::{Level, Levels};
pub use rate_limit::{Admission, RateLimit, RateLimiter};

use layer::{LineLayer, LineOutput, LineWriter};
use std::io::Write;
use std::sync::Arc;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{reload, Registry};

/// Lines that may wait to be written; further ones are dropped.
const MAX_QUEUED_LINES: usize = 1024;

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

/// Controls a running log. Dropping it writes the lines that still wait.
pub struct LogHandle {
    lines: Arc<LineWriter<NonBlocking>>,
    levels: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
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

    /// How many lines were dropped because the queue was full.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Why the log can't be started.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub struct StartError(#[from] tracing::subscriber::SetGlobalDefaultError);

/// A log that writes to `out`: a subscriber that is still to be installed, and the handle that controls it.
pub fn build(
    options: &Options,
    out: impl Write + Send + 'static,
) -> (impl tracing::Subscriber + Send + Sync, LogHandle) {
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = queue.thread_name("log").finish(out);
    let dropped = writer.error_counter();
    let lines = Arc::new(LineWriter::new(options.format, options.rate_limit, writer));
    let (filter, levels) = reload::Layer::new(Targets::from(&options.levels));
    let subscriber = Registry::default().with(filter).with(LineLayer(lines.clone()));
    (subscriber, LogHandle { lines, levels, dropped, _writer: guard })
}

/// Starts the log of this process on standard error.
///
/// `first` is called before the log's thread exists. What it logs is written by the calling thread, at once and without
/// waiting; lines that could not be written so, as to a full pipe, are the first in the queue.
///
/// # Errors
/// If one was started before.
pub fn start(options: &Options, first: impl FnOnce()) -> Result<LogHandle, StartError> {
    let not_written = early::write_lines_of(options, early::nonblocking_standard_error(), first);
    let (subscriber, handle) = build(options, std::io::stderr());
    not_written.iter().for_each(|line| handle.lines.output().write_line(line));
    tracing::subscriber::set_global_default(subscriber)?;
    Ok(handle)
}

#[cfg(test)]
mod tests;
