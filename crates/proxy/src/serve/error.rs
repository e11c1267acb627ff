//! Why the process could not start.

use crate::config::PlatformError;
use crate::front;
use crate::signals::SignalError;
use crate::wall_clock::ShiftError;
use aniseyoke_config::ConfigError;
use std::io;
use thiserror::Error;

/// Why the process could not start.
#[derive(Debug, Error)]
pub(super) enum ServeError {
    /// The runtime could not be built.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// A signal can't be handled.
    #[error(transparent)]
    Signal(#[from] SignalError),
    /// The operator's file and the environment say what can't be used.
    #[error("{}", joined(.0))]
    Configuration(Vec<ConfigError>),
    /// The log could not be started.
    #[error(transparent)]
    Log(#[from] aniseyoke_logging::StartError),
    /// The wall clock of an experiment can't be used.
    #[error(transparent)]
    Clock(#[from] ShiftError),
    /// The platform's variables and file say what can't be used.
    #[error(transparent)]
    Platform(#[from] PlatformError),
    /// The proxy could not start to serve.
    #[error(transparent)]
    Front(#[from] front::StartError),
}

impl From<Vec<ConfigError>> for ServeError {
    fn from(errors: Vec<ConfigError>) -> Self {
        ServeError::Configuration(errors)
    }
}

impl ServeError {
    /// What is wrong, a line each.
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
