//! The errors of the program's commands.

use crate::measure::MeasureError;
use aniseyoke_control::epoch::EpochError;
use aniseyoke_control::operators::CallError;
use aniseyoke_control::publisher::PublishError;
use aniseyoke_control::purge_log::PurgeLogError;
use aniseyoke_control::store::StoreError;
use std::fmt::Display;

/// An error of a command.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// `--forget` is shorter than `--lease`.
    #[error("--forget: must not be shorter than --lease")]
    ForgetShorterThanLease,
    /// `--log-entries` is 0.
    #[error("--log-entries: must be at least 1")]
    NoLogEntries,
    /// An operation failed on a file, a directory or an address, or on the response.
    #[error("{place}: {source}")]
    At {
        /// The file, directory or address, or `the response`.
        place: String,
        /// The cause.
        source: Box<dyn std::error::Error>,
    },
    /// The Tokio runtime can't be started.
    #[error("the runtime can't be started: {0}")]
    Runtime(std::io::Error),
    /// The purge log can't be opened.
    #[error(transparent)]
    PurgeLog(#[from] PurgeLogError),
    /// The stored version can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// No new epoch can be started.
    #[error(transparent)]
    Epoch(#[from] EpochError),
    /// The stored version can't be published again.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The request got no valid response.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The service rejected the request, for this reason.
    #[error("{0}")]
    Rejected(String),
    /// The measurement failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

impl CommandError {
    /// Returns a function that converts an error at `place` to [`CommandError::At`].
    pub fn at<E: Into<Box<dyn std::error::Error>>>(place: impl Display) -> impl FnOnce(E) -> CommandError {
        move |error| CommandError::At { place: place.to_string(), source: error.into() }
    }
}
