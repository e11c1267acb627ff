//! The lines from before the log's thread exists: the calling thread writes them itself where that can't make it wait.

use crate::layer::{LineLayer, LineOutput, LineWriter};
use crate::Options;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::Registry;

/// Calls `body`, whose lines this thread writes to `out`, and returns those that `out` did not take, in their order.
///
/// `out` must return an error where it would have to wait. After the first line that it did not take it gets no other, so
/// that the order stays.
pub fn write_lines_of<W>(options: &Options, out: W, body: impl FnOnce()) -> Vec<String>
where
    W: Write + Send + 'static,
{
    let lines = Arc::new(LineWriter::new(options.format, options.rate_limit, EarlyOutput::new(out)));
    let filter = Targets::from(&options.levels);
    let subscriber = Registry::default().with(filter).with(LineLayer(lines.clone()));
    tracing::subscriber::with_default(subscriber, body);
    lines.output().take_not_written()
}

/// Writes lines at once, and keeps them once one could not be written.
struct EarlyOutput<W>(Mutex<EarlyState<W>>);

struct EarlyState<W> {
    /// None once it did not take a line.
    out: Option<W>,
    not_written: Vec<String>,
}

impl<W> EarlyOutput<W> {
    fn new(out: W) -> Self {
        EarlyOutput(Mutex::new(EarlyState { out: Some(out), not_written: Vec::new() }))
    }

    fn take_not_written(&self) -> Vec<String> {
        std::mem::take(&mut self.state().not_written)
    }

    fn state(&self) -> MutexGuard<'_, EarlyState<W>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<W: Write + Send + 'static> LineOutput for EarlyOutput<W> {
    fn write_line(&self, line: &str) {
        let mut state = self.state();
        // A line is shorter than what a pipe takes as a whole or not at all (PIPE_BUF).
        let written =
            state.out.as_mut().is_some_and(|out| out.write(line.as_bytes()).is_ok_and(|n| n == line.len()));
        if !written {
            state.out = None;
            state.not_written.push(line.to_owned());
        }
    }
}
