//! Errors in locating, building or starting a process.

use aniseyoke_lab_day::FileError;
use std::io;
use std::path::PathBuf;

/// An error in locating, building or starting a process.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file or directory can't be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The given executable does not exist.
    #[error("{}: no such file", .0.display())]
    NoSuchFile(PathBuf),
    /// The path of this executable can't be determined.
    #[error("{0}")]
    CurrentExe(#[source] io::Error),
    /// Cargo could not be run.
    #[error("cargo build: {0}")]
    Cargo(#[source] io::Error),
    /// Cargo could not build the executable.
    #[error("cargo build of {0} failed")]
    BuildFailed(String),
    /// This executable's directory does not contain the requested one.
    #[error("no {name} in the directory of {}; give its path", current_exe.display())]
    NotFound {
        /// The name of the executable.
        name: String,
        /// The path of this executable.
        current_exe: PathBuf,
    },
    /// The listening socket that a child inherits can't be duplicated.
    #[error("cannot duplicate the listening socket: {0}")]
    Listener(#[source] io::Error),
    /// The child has no pipe on its standard error.
    #[error("the child process has no standard error pipe")]
    NoStandardError,
    /// The child exited before it logged its address.
    #[error("proxy {index} ({}) did not start, {status}:\n{}", program.display(), last_lines.join("\n"))]
    NotStarted {
        /// The proxy's index.
        index: usize,
        /// The path of its executable.
        program: PathBuf,
        /// Its exit status.
        status: String,
        /// The last lines of its standard error.
        last_lines: Vec<String>,
    },
    /// The child did not log its address in time.
    #[error("proxy {index} ({}) did not log its listening address:\n{}", program.display(), last_lines.join("\n"))]
    NoAddress {
        /// The proxy's index.
        index: usize,
        /// The path of its executable.
        program: PathBuf,
        /// The last lines of its standard error.
        last_lines: Vec<String>,
    },
    /// A launcher other than [`Program`](crate::Program) failed.
    #[error("{0}")]
    Launcher(&'static str),
}
