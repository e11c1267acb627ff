//! A common log file for the output of all children.

use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// A log file for the lines of all children. Each line is prefixed with the seconds since the creation of the log, the
/// proxy's index and its process id.
#[derive(Clone)]
pub struct ProcessLog {
    started: Instant,
    file: Arc<Mutex<std::io::LineWriter<std::fs::File>>>,
}

impl ProcessLog {
    /// Creates the file.
    ///
    /// # Errors
    /// If it can't be created.
    pub fn create(path: &Path) -> std::io::Result<ProcessLog> {
        let file = std::fs::File::create(path)?;
        Ok(ProcessLog { started: Instant::now(), file: Arc::new(Mutex::new(std::io::LineWriter::new(file))) })
    }

    pub(crate) fn write(&self, index: usize, pid: u32, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        // Errors are ignored: a full disk loses log lines but does not fail the experiment.
        let _ = writeln!(file, "{at:10.3} p{index}[{pid}] {line}");
    }

    /// Flushes buffered lines to the file.
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap_or_else(PoisonError::into_inner).flush();
    }
}
