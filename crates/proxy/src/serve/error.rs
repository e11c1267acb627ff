//! Errors that prevent the process from starting.

use crate::config::PlatformError;
use crate::front;
use crate::signals::SignalError;
use crate::wall_clock::ShiftError;
use aniseyoke_config::ConfigError;
use std::io;
use thiserror::Error;

/// An error that prevents the process from starting.
#[derive(Debug, Error)]
pub(super) enum ServeError {
    /// The runtime could not be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal handler could not be installed.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The operator's file or environment variables are invalid.
    #[error("{}", joined(.0))]
    Configuration(Vec<ConfigError>),
    /// The log could not be started.
    #[error(transparent)]
    Log(#[from] aniseyoke_logging::StartError),
    /// The simulated wall clock of an experiment is invalid.
    #[error(transparent)]
    Clock(#[from] ShiftError),
    /// The platform's environment variables or file are invalid.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The client side of the proxy could not start.
    #[error(transparent)]
    Front(#[from] front::StartError),
}

impl From<Vec<ConfigError>> for ServeError {
    fn from(errors: Vec<ConfigError>) -> Self {
        ServeError::Configuration(errors)
    }
}

impl ServeError {
    /// Returns the error messages, one per line.
    pub(super) fn lines(&self) -> Vec<String> {
        match self {
            ServeError::Configuration(errors) => errors.iter().map(ToString::to_string).collect(),
            other => vec![other.to_string()],
        }
    }
}

fn joined(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}
