//! Why a command fails.

use crate::measure::MeasureError;
use aniseyoke_control::epoch::EpochError;
use aniseyoke_control::operators::CallError;
use aniseyoke_control::publisher::PublishError;
use aniseyoke_control::purge_log::PurgeLogError;
use aniseyoke_control::store::StoreError;
use std::fmt::Display;

/// Why a command fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// An argument contradicts another one.
    #[error("--forget: it may not be shorter than --lease")]
    ForgetShorterThanLease,
    /// An argument is out of its range.
    #[error("--log-entries: at least one is kept")]
    NoLogEntries,
    /// Something failed at a file, a folder or an address.
    #[error("{place}: {source}")]
    At {
        /// The file, folder or address.
        place: String,
        /// The cause.
        source: Box<dyn std::error::Error>,
    },
    /// The runtime can't be started.
    #[error("the runtime can't be started: {0}")]
    Runtime(std::io::Error),
    /// The log of purges can't be opened.
    #[error(transparent)]
    PurgeLog(#[from] PurgeLogError),
    /// The stored version can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// No epoch can be started.
    #[error(transparent)]
    Epoch(#[from] EpochError),
    /// The stored version can't be published again.
    #[error(transparent)]
    Publish(#[from] PublishError),
    /// The service can't be called.
    #[error(transparent)]
    Call(#[from] CallError),
    /// The service has rejected the call.
    #[error("{0}")]
    Rejected(String),
    /// The measurement has failed.
    #[error(transparent)]
    Measure(#[from] MeasureError),
}

impl CommandError {
    /// Names the place at which something failed.
    pub fn at<E: Into<Box<dyn std::error::Error>>>(place: impl Display) -> impl FnOnce(E) -> CommandError {
        move |error| CommandError::At { place: place.to_string(), source: error.into() }
    }
}
