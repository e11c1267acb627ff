//! Why a process could not be found, built or started.

use aniseyoke_lab_day::FileError;
use std::io;
use std::path::PathBuf;

/// Why a process could not be found, built or started.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// A file or folder can't be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// The program that was named is not there.
    #[error("{}: no such file", .0.display())]
    NoSuchFile(PathBuf),
    /// The path of this program is not known.
    #[error("{0}")]
    CurrentExe(#[source] io::Error),
    /// Cargo could not be run.
    #[error("cargo build: {0}")]
    Cargo(#[source] io::Error),
    /// Cargo could not build the program.
    #[error("{0} does not build")]
    BuildFailed(String),
    /// There is no such program beside this one.
    #[error("no {name} beside {}; name the file", beside.display())]
    NotFound {
        /// The program's name.
        name: String,
        /// The path of this program.
        beside: PathBuf,
    },
    /// The listening socket that a child is to inherit can't be copied.
    #[error("listening socket: {0}")]
    Listener(#[source] io::Error),
    /// The child has no standard error to read from.
    #[error("no standard error")]
    NoStandardError,
    /// The child ended before it told its address.
    #[error("proxy {index} ({}) did not start, {status}:\n{}", program.display(), last_lines.join("\n"))]
    NotStarted {
        /// The proxy's number.
        index: usize,
        /// Its program.
        program: PathBuf,
        /// How it ended.
        status: String,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// The child did not tell its address in time.
    #[error("proxy {index} ({}) told no address:\n{}", program.display(), last_lines.join("\n"))]
    NoAddress {
        /// The proxy's number.
        index: usize,
        /// Its program.
        program: PathBuf,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// A launcher that starts no child failed.
    #[error("{0}")]
    Launcher(&'static str),
}
