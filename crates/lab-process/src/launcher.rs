//! The interface between a trial and the proxies under test.

use crate::ProcessError;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

/// Starts the proxies of a trial: child processes, or any other implementation.
pub trait ProxyLauncher {
    /// Starts proxy `index` with a configuration in the platform's format; `dir` is the proxy's own directory.
    ///
    /// # Errors
    /// If the proxy does not start; the error gives the reason and the last lines that the proxy wrote.
    fn start(&self, index: usize, config: &Value, dir: &Path) -> Result<Box<dyn RunningProxy>, ProcessError>;
}

/// A running proxy.
pub trait RunningProxy {
    /// The address on which it accepts clients.
    fn addr(&self) -> SocketAddr;

    /// Its process id, if it runs in a process of its own.
    fn pid(&self) -> Option<u32>;

    /// Requests a graceful shutdown.
    fn terminate(&mut self);

    /// Ends it immediately.
    fn kill(&mut self);

    /// How it ended; `None` while it runs.
    fn ended(&mut self) -> Option<String>;

    /// The last lines that it wrote to its log.
    fn last_lines(&self) -> Vec<String>;
}
