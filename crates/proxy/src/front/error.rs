//! Errors that prevent the proxy from starting.

use crate::bind::BindError;
use crate::handover::HandoverError;
use std::io;
use thiserror::Error;

/// An error that prevents the proxy from starting. Each message names the variable or component that failed.
#[derive(Debug, Error)]
pub enum StartError {
    /// The listening socket that the platform hands over is unusable.
    #[error(transparent)]
    Handover(#[from] HandoverError),
    /// The clients' listener or the admin endpoint could not be opened.
    #[error(transparent)]
    Bind(#[from] BindError),
    /// The engine rejected its configuration.
    #[error("{0}")]
    Engine(String),
    /// The thread that follows control services could not be started.
    #[error("cannot start the thread that follows control services: {0}")]
    VersionsThread(#[source] io::Error),
}
