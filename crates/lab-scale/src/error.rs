//! Why a scale run could not be played.

use aniseyoke_lab_day::{DayError, FileError};
use std::io;
use std::path::PathBuf;

/// Why a scale run could not be played, or a host of hollow members not go on.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The day of the stand-in site is not possible.
    #[error(transparent)]
    Day(#[from] DayError),
    /// The stand-in site of the real proxies could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The stand-in site of the hollow proxies could not be opened.
    #[error("the second site: {0}")]
    HollowSite(#[source] io::Error),
    /// The thread of the links could not be started.
    #[error("links: {0}")]
    Links(#[source] io::Error),
    /// A link could not be opened.
    #[error("a link: {0}")]
    Link(#[source] io::Error),
    /// A file or folder can't be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// There is no runtime, or no thread for a publisher.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The limit of descriptors could not be read or raised.
    #[error("{0}")]
    Limit(#[source] nix::Error),
    /// Some processes need more descriptors than they may have.
    #[error("{}\nraise the limit (ulimit -n), or make the experiment smaller", .0.join("\n"))]
    Descriptors(Vec<String>),
    /// A child could not be started or written to.
    #[error("{name}: {source}")]
    Child {
        /// The child's name.
        name: String,
        /// What the system says.
        source: io::Error,
    },
    /// There is no thread to read a child's lines.
    #[error("a thread: {0}")]
    Thread(#[source] io::Error),
    /// A child did not tell its addresses in time.
    #[error("{name} told no address; its last lines:\n{}", last_lines.join("\n"))]
    NoAddress {
        /// The child's name.
        name: String,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// A child has no standard input.
    #[error("{0} takes no lines")]
    NoInput(String),
    /// Children crashed before the schedule began.
    #[error("{}", .0.join("\n"))]
    Crashed(Vec<String>),
    /// Members were not connected in time, or lack the first version.
    #[error(
        "after {seconds} s {up} of {hollow} hollow members are up, all have version {versions}, and {lacking} of {real} \
         real proxies lack the first"
    )]
    NotUp {
        /// The time that they had.
        seconds: u64,
        /// Hollow members that are up.
        up: usize,
        /// Hollow members.
        hollow: usize,
        /// The version that all have.
        versions: u64,
        /// Real proxies that lack the first version.
        lacking: usize,
        /// Real proxies.
        real: usize,
    },
    /// The control service rejected a call, or did not answer it.
    #[error("{0}")]
    Control(String),
    /// A publisher's thread panicked.
    #[error("a publisher broke")]
    PublisherPanicked,
    /// The first line of a host's standard input is not its specification.
    #[error("the first line: {0}")]
    FirstLine(#[source] serde_json::Error),
    /// A message could not be encoded.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// Standard input or output broke.
    #[error("{0}")]
    Stdio(#[source] io::Error),
    /// A plot could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The plot's file.
        path: PathBuf,
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
