//! Why the proxy could not start to serve.

use crate::bind::BindError;
use crate::handover::HandoverError;
use std::io;
use thiserror::Error;

/// Why the proxy could not start to serve. Each text names the variable or the part at fault.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listening socket that the platform hands over can't be used.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The clients' listener or the admin endpoint could not be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The engine does not take its configuration.
    #[error("{0}")]
    Engine(String),
    /// The thread that follows control services could not be started.
    #[error("no thread for versions: {0}")]
    VersionsThread(#[source] io::Error),
}
