//! The errors of a scale run.

use aniseyoke_lab_day::{DayError, FileError};
use std::io;
use std::path::PathBuf;

/// An error of a scale run or of a host of hollow members.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The day of the simulated site is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The simulated site of the real proxies could not be started.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The simulated site of the hollow proxies could not be started.
    #[error("site of the hollow proxies: {0}")]
    HollowSite(#[source] io::Error),
    /// The thread that serves the links could not be started.
    #[error("links: {0}")]
    Links(#[source] io::Error),
    /// A link could not be opened.
    #[error("link: {0}")]
    Link(#[source] io::Error),
    /// A file or directory can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// The runtime, or the thread of a publisher, could not be started.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The limit of file descriptors could not be read or raised.
    #[error("{0}")]
    Limit(#[source] nix::Error),
    /// Some processes need more file descriptors than the limit allows.
    #[error("{}\nraise the limit (ulimit -n), or make the experiment smaller", .0.join("\n"))]
    Descriptors(Vec<String>),
    /// A child could not be started or written to.
    #[error("{name}: {source}")]
    Child {
        /// The child's name.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// The thread that reads a child's output could not be started.
    #[error("thread: {0}")]
    Thread(#[source] io::Error),
    /// A child did not print its addresses in time.
    #[error("{name} printed no address; its last lines:\n{}", last_lines.join("\n"))]
    NoAddress {
        /// The child's name.
        name: String,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// A child has no standard input.
    #[error("{0} has no standard input")]
    NoInput(String),
    /// Children crashed before the schedule began.
    #[error("{}", .0.join("\n"))]
    Crashed(Vec<String>),
    /// Members were not connected in time, or don't have the first version.
    #[error(
        "after {seconds} s {up} of {hollow} hollow members are up, all have version {versions}, and {lacking} of {real} \
         real proxies lack the first"
    )]
    NotUp {
        /// The time limit.
        seconds: u64,
        /// The hollow members that are up.
        up: usize,
        /// All hollow members.
        hollow: usize,
        /// The number through which all proxies have all versions.
        versions: u64,
        /// The real proxies without the first version.
        lacking: usize,
        /// All real proxies.
        real: usize,
    },
    /// The control service rejected a request, or did not answer it.
    #[error("{0}")]
    Control(String),
    /// A publisher's thread panicked.
    #[error("a publisher's thread panicked")]
    PublisherPanicked,
    /// The first line of a host's standard input is not a valid specification.
    #[error("first line: {0}")]
    FirstLine(#[source] serde_json::Error),
    /// A message could not be encoded.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// Reading standard input or writing standard output failed.
    #[error("{0}")]
    Stdio(#[source] io::Error),
    /// A plot could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The plot's file.
        path: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
