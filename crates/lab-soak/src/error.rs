//! Errors of runs.

use aniseyoke_lab_day::{DayError, FileError};
use aniseyoke_lab_process::ProcessError;
use std::io;

/// The reason why a run could not be completed. A broken rule is not an error.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The runtime could not be created.
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
    /// The day is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A process could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A process started but did not admit clients in time.
    #[error("proxy {index} did not admit clients within {within:?}")]
    NotReady {
        /// The index of the proxy.
        index: usize,
        /// The time limit.
        within: std::time::Duration,
    },
    /// The thread of the auditor panicked.
    #[error("the thread of the auditor panicked")]
    Auditor,
    /// The thread of a proxy ended early.
    #[error("the thread of a proxy ended early")]
    Thread,
    /// The range of seeds is invalid.
    #[error("seeds {0:?}: expected FIRST..LAST with FIRST not above LAST")]
    Seeds(String),
}
