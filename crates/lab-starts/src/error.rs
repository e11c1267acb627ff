//! Why a start could not be played.

use aniseyoke_faults::{ArmError, PlanError};
use aniseyoke_lab_day::{DayError, FileError};
use std::io;

/// Why a start could not be played; not that a rule was broken in it.
#[derive(Debug, thiserror::Error)]
pub enum StartsError {
    /// A file could not be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The day is not sound.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The library that holds up calls is not there, or its plan can't be written.
    #[error("{0}")]
    Arm(ArmError),
    /// A later plan of calls to be held up can't be written.
    #[error("{0}")]
    Plan(PlanError),
    /// The process did not take up another plan of calls to be held up.
    #[error("the plan of the end was not in force after {0:?}")]
    NotInForce(std::time::Duration),
    /// The pipe for the log could not be made.
    #[error("pipe: {0}")]
    Pipe(#[source] io::Error),
    /// The process could not be started or waited for.
    #[error("process: {0}")]
    Process(#[source] io::Error),
}
