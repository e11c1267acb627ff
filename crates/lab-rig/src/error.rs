//! Why an experiment could not be played.

use aniseyoke_lab_day::DayError;
use aniseyoke_lab_process::ProcessError;
use std::io;

/// Why an experiment could not be played, or its outcome not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// There is no runtime.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The relays' thread could not be started.
    #[error("relays: {0}")]
    Relays(#[source] io::Error),
    /// The site could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The log of all processes could not be created.
    #[error("processes.log: {0}")]
    Log(#[source] io::Error),
    /// The thread that watches restarted proxies could not be started.
    #[error("watch: {0}")]
    Watch(#[source] io::Error),
    /// The load could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// The day does not fit the experiment.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A proxy was not healthy in time.
    #[error("proxy {index} does not get well within {time_limit:?}")]
    Unhealthy {
        /// The proxy's number.
        index: usize,
        /// The time that it had.
        time_limit: std::time::Duration,
    },
    /// The thread that watches restarted proxies panicked.
    #[error("the thread that looks at restarted proxies broke")]
    WatchPanicked,
    /// The auditor's thread panicked.
    #[error("the auditor broke")]
    AuditorPanicked,
    /// A plot could not be drawn.
    #[error("{title}: {source}")]
    Plot {
        /// The plot's title.
        title: String,
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A word that names no set of ends of links.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkEndsError {
    /// A part of it should be a number.
    #[error("`{name}`: `{part}` is not a number")]
    NotANumber {
        /// The word.
        name: String,
        /// The part.
        part: String,
    },
    /// Its range ends before it begins.
    #[error("`{name}`: {from} comes after {to}")]
    EmptyRange {
        /// The word.
        name: String,
        /// The range's first number.
        from: usize,
        /// The range's last number.
        to: usize,
    },
    /// It is no set at all.
    #[error("`{0}` is no set of processes: proxies, proxy:N, proxy:N-M, discovery, ledger or nodes")]
    Unknown(String),
}
