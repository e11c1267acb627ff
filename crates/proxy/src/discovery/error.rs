//! Why a poll of the discovery service brought no endpoint list.

use aniseyoke_sockets::ConnectError;
use hyper::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// A poll that brought no list, by what is to follow from it.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The service wants no poll now, and perhaps says for how long.
    #[error("answered {}{}", .status.as_u16(), advice(.retry_after))]
    Rejected {
        /// The status of its answer.
        status: StatusCode,
        /// The wait that the answer advises.
        retry_after: Option<Duration>,
    },
    /// The poll was given up at its timeout.
    #[error("no answer in time")]
    TimedOut,
    /// The connection or the answer is broken.
    #[error(transparent)]
    Failed(#[from] ExchangeError),
}

/// What can go wrong between opening a connection and reading an answer.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// All descriptors of discovery's own are in use.
    #[error("no descriptor left")]
    NoDescriptor,
    /// The connection did not come up within its timeout.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(#[source] ConnectError),
    /// HTTP could not be started on the connection.
    #[error("no HTTP connection: {0}")]
    Handshake(#[source] hyper::Error),
    /// The connection ended before the poll went out.
    #[error("connection lost: {0}")]
    ConnectionLost(#[source] hyper::Error),
    /// The poll could not be put into words.
    #[error("no request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection ended before the head of an answer came.
    #[error("no answer: {0}")]
    NoAnswer(#[source] hyper::Error),
    /// The body of the answer is cut short or too long.
    #[error("broken answer: {0}")]
    BrokenAnswer(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body of the answer is no endpoint list.
    #[error("not a list: {0}")]
    NotAList(#[from] serde_json::Error),
}

fn advice(retry_after: &Option<Duration>) -> String {
    retry_after.map_or_else(String::new, |wait| format!(", retry after {} s", wait.as_secs_f64()))
}
