//! The log: bare or JSON lines on standard error.
//!
//! The thread that logs never waits: a line goes to a bounded queue, from which another thread writes, and is dropped and
//! counted when the queue is full. Each call site has a rate of its own, so that a fault that repeats with every request
//! neither fills the queue nor hides other lines; how many were left out is told with the next line of that site, or
//! by [`Handle::tell_left_out`] when none comes. Levels can be changed while the program runs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod lines;
mod rate;

pub use lines::{Format, LINE_MOST};
pub use rate::{Admitted, Rate, Rates};

use lines::Lines;
use std::io::Write;
use std::sync::Arc;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::{reload, Registry};

/// Lines that wait to be written; of more the newest are dropped.
const QUEUE_LINES: usize = 1024;

/// How lines are written.
#[derive(Clone, Debug)]
pub struct Options {
    /// Their form.
    pub format: Format,
    /// The rate of each call site.
    pub rate: Rate,
    /// What is written.
    pub levels: Levels,
}

/// The least weight that is written, on the whole and by target.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Levels {
    /// On the whole.
    pub all: Level,
    /// By the beginning of a target's name.
    pub targets: Vec<(String, Level)>,
}

/// The weight of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Nothing is written.
    Off,
    /// What failed.
    Error,
    /// What may fail next.
    Warn,
    /// What changed.
    #[default]
    Info,
    /// What happened.
    Debug,
    /// Everything.
    Trace,
}

impl From<Level> for LevelFilter {
    fn from(level: Level) -> Self {
        match level {
            Level::Off => LevelFilter::OFF,
            Level::Error => LevelFilter::ERROR,
            Level::Warn => LevelFilter::WARN,
            Level::Info => LevelFilter::INFO,
            Level::Debug => LevelFilter::DEBUG,
            Level::Trace => LevelFilter::TRACE,
        }
    }
}

impl From<&Levels> for Targets {
    fn from(levels: &Levels) -> Self {
        let named = levels.targets.iter().map(|(name, level)| (name.clone(), LevelFilter::from(*level)));
        Targets::new().with_default(LevelFilter::from(levels.all)).with_targets(named)
    }
}

/// The hold on a running log. Dropping it writes what still waits.
pub struct Handle {
    lines: Arc<Lines>,
    levels: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl Handle {
    /// Changes what is written from now on.
    pub fn set_levels(&self, levels: &Levels) {
        // It fails only when the subscriber is gone, and then nothing is written anyhow.
        let _ = self.levels.reload(Targets::from(levels));
    }

    /// Writes how many lines of each call site were left out and not told yet.
    pub fn tell_left_out(&self) {
        self.lines.tell_left_out();
    }

    /// Lines dropped because too many waited.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// A log that writes to `out`, as a subscriber that is yet to be installed, and the hold on it.
pub fn log(
    options: &Options,
    out: impl Write + Send + 'static,
) -> (impl tracing::Subscriber + Send + Sync, Handle) {
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE_LINES);
    let (writer, guard) = queue.thread_name("log").finish(out);
    let dropped = writer.error_counter();
    let lines = Arc::new(Lines::new(options.format, options.rate, writer));
    let (filter, levels) = reload::Layer::new(Targets::from(&options.levels));
    let subscriber = Registry::default().with(filter).with(lines::Layer(lines.clone()));
    (subscriber, Handle { lines, levels, dropped, _writer: guard })
}

/// Starts the log of this process on standard error.
///
/// # Errors
/// If one was started before.
pub fn start(options: &Options) -> Result<Handle, String> {
    let (subscriber, handle) = log(options, std::io::stderr());
    tracing::subscriber::set_global_default(subscriber).map_err(|e| e.to_string())?;
    Ok(handle)
}

#[cfg(test)]
mod tests;
