//! Why a run could not be played.

use aniseyoke_lab_day::{DayError, FileError};
use aniseyoke_lab_process::ProcessError;
use std::io;

/// Why a run could not be played; not that a rule was broken in it.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// There is no runtime.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The site could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// A listening socket could not be opened.
    #[error("listening socket: {0}")]
    Listener(#[source] io::Error),
    /// The load could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// A file could not be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The day is not sound.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A process has started and admits no clients.
    #[error("proxy {index} admits no clients within {within:?}")]
    NotReady {
        /// The proxy's number.
        index: usize,
        /// The time that it had.
        within: std::time::Duration,
    },
    /// The auditor ended by itself.
    #[error("the auditor has ended by itself")]
    Auditor,
    /// The thread of a proxy ended by itself.
    #[error("the thread of a proxy has ended by itself")]
    Thread,
    /// The seeds are not usable.
    #[error("seeds {0:?}: expected FIRST..LAST, the first not above the last")]
    Seeds(String),
}
