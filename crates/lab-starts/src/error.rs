//! Errors that prevent a start from being run.

use aniseyoke_faults::{PlanError, PreloadError};
use aniseyoke_lab_day::{DayError, FileError};
use std::io;

/// An error that prevented a start from being run. A violated rule is a [`crate::verdict::Fault`] instead.
#[derive(Debug, thiserror::Error)]
pub enum StartsError {
    /// A file could not be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The day file is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The preload library that delays calls is missing, or its fault plan cannot be written.
    #[error("{0}")]
    Arm(PreloadError),
    /// A later fault plan cannot be written.
    #[error("{0}")]
    Plan(PlanError),
    /// The process did not load the fault plan of the end phase in time.
    #[error("the fault plan of the end phase was not active after {0:?}")]
    NotInForce(std::time::Duration),
    /// The pipe for the log could not be created.
    #[error("pipe: {0}")]
    Pipe(#[source] io::Error),
    /// The process could not be started or waited for.
    #[error("process: {0}")]
    Process(#[source] io::Error),
}
