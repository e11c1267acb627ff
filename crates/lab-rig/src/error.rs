//! Errors of the fault rig.

use aniseyoke_lab_day::DayError;
use aniseyoke_lab_process::ProcessError;
use std::io;

/// An error that prevents an experiment from running, or its outcome from being plotted.
#[derive(Debug, thiserror::Error)]
pub enum RigError {
    /// The async runtime could not be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The relays' thread could not be started.
    #[error("relays: {0}")]
    Relays(#[source] io::Error),
    /// The simulated site could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The combined log of all processes could not be created.
    #[error("processes.log: {0}")]
    Log(#[source] io::Error),
    /// The thread that checks the readiness of restarted proxies could not be started.
    #[error("watch: {0}")]
    Watch(#[source] io::Error),
    /// The load generator could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// The day could not be opened, or is invalid at the sizes of the experiment.
    #[error(transparent)]
    Day(#[from] DayError),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A proxy did not become healthy within the time limit.
    #[error("proxy {index} did not become healthy within {time_limit:?}")]
    Unhealthy {
        /// The proxy's index.
        index: usize,
        /// The time limit.
        time_limit: std::time::Duration,
    },
    /// The thread that checks the readiness of restarted proxies panicked.
    #[error("the readiness thread of restarted proxies panicked")]
    WatchPanicked,
    /// The auditor's thread panicked.
    #[error("the auditor thread panicked")]
    AuditorPanicked,
    /// A plot could not be drawn.
    #[error("{title}: {source}")]
    Plot {
        /// The plot's title.
        title: String,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}

/// A name that does not denote a set of link ends.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkEndsError {
    /// A part of the name is not a number.
    #[error("`{name}`: `{part}` is not a number")]
    NotANumber {
        /// The name.
        name: String,
        /// The part that is not a number.
        part: String,
    },
    /// The range ends before it begins.
    #[error("`{name}`: {from} comes after {to}")]
    EmptyRange {
        /// The name.
        name: String,
        /// The first proxy of the range.
        from: usize,
        /// The last proxy of the range.
        to: usize,
    },
    /// The name is unknown.
    #[error("`{0}` is not a set of processes: proxies, proxy:N, proxy:N-M, discovery, ledger or nodes")]
    Unknown(String),
}
