//! Errors of a poll of the discovery service.

use aniseyoke_sockets::ConnectError;
use hyper::StatusCode;
use std::time::Duration;
use thiserror::Error;

/// Why a poll returned no list. The variants differ in how the watcher recovers.
#[derive(Debug, Error)]
pub(super) enum PollError {
    /// The service rejected the poll, perhaps with a delay for the next one.
    #[error("answered {}{}", .status.as_u16(), advice(.retry_after))]
    Rejected {
        /// Status of the answer.
        status: StatusCode,
        /// Delay that the answer asks for.
        retry_after: Option<Duration>,
    },
    /// The poll timed out.
    #[error("no answer in time")]
    TimedOut,
    /// The connection failed, or the answer is invalid.
    #[error(transparent)]
    Failed(#[from] ExchangeError),
}

/// Errors between opening a connection and reading an answer.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// All descriptors reserved for discovery are in use.
    #[error("no file descriptor left for a connection")]
    NoDescriptor,
    /// Opening the connection timed out.
    #[error("connecting timed out")]
    ConnectTimeout,
    /// The connection could not be opened.
    #[error("connecting failed: {0}")]
    Connect(#[source] ConnectError),
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
    /// The connection closed before the poll was sent.
    #[error("connection lost: {0}")]
    ConnectionLost(#[source] hyper::Error),
    /// The poll could not be encoded as an HTTP request.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The connection closed before the head of an answer arrived.
    #[error("no answer: {0}")]
    NoAnswer(#[source] hyper::Error),
    /// The body of the answer is truncated or too long.
    #[error("broken answer: {0}")]
    BrokenAnswer(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body of the answer is not an endpoint list.
    #[error("not an endpoint list: {0}")]
    NotAList(#[from] serde_json::Error),
}

fn advice(retry_after: &Option<Duration>) -> String {
    retry_after.map_or_else(String::new, |wait| format!(", retry after {} s", wait.as_secs_f64()))
}
