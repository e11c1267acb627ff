//! Lines from before the log thread exists: the calling thread writes them itself if it can do so without
//! blocking.

use crate::layer::{LineLayer, LineOutput, LineWriter};
use crate::Options;
use std::io::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::Registry;

/// Calls `body`, writes its lines to `out` on this thread, and returns the lines that could not be written,
/// in order.
///
/// `out` must return an error instead of blocking. After the first line that could not be written it gets no
/// others, which preserves the order.
pub fn write_lines_directly<W>(options: &Options, out: W, body: impl FnOnce()) -> Vec<String>
where
    W: Write + Send + 'static,
{
    let lines = Arc::new(LineWriter::new(options.format, options.rate_limit, EarlyOutput::new(out)));
    let filter = Targets::from(&options.levels);
    let subscriber = Registry::default().with(filter).with(LineLayer(lines.clone()));
    tracing::subscriber::with_default(subscriber, body);
    lines.output().take_not_written()
}

/// Writes lines at once, and collects them after one could not be written.
struct EarlyOutput<W>(Mutex<EarlyState<W>>);

struct EarlyState<W> {
    /// None after a line could not be written.
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
        // A line fits into PIPE_BUF, so that a pipe takes all of it or nothing.
        let written =
            state.out.as_mut().is_some_and(|out| out.write(line.as_bytes()).is_ok_and(|n| n == line.len()));
        if !written {
            state.out = None;
            state.not_written.push(line.to_owned());
        }
    }
}
