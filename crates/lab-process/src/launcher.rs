//! What a trial needs of the proxies that it tests.

use crate::ProcessError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Starts the proxies of a trial: a program, or anything else that serves as one.
pub trait ProxyLauncher {
    /// Starts proxy `index` by a configuration in the platform's form; `dir` is its own.
    ///
    /// # Errors
    /// Says why it did not start, with its last lines.
    fn start(&self, index: usize, config: &Value, dir: &Path) -> Result<Box<dyn RunningProxy>, ProcessError>;
}

/// A proxy that runs.
pub trait RunningProxy {
    /// Where it accepts clients.
    fn addr(&self) -> SocketAddr;

    /// Its process, if it has one of its own.
    fn pid(&self) -> Option<u32>;

    /// Asks it to end gracefully.
    fn terminate(&mut self);

    /// Ends it now.
    fn kill(&mut self);

    /// Whether it has ended, and how.
    fn ended(&mut self) -> Option<String>;

    /// The last lines that it wrote.
    fn last_lines(&self) -> Vec<String>;
}
