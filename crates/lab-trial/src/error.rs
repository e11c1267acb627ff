//! Errors of trials.

use aniseyoke_lab_process::ProcessError;
use std::io;
use std::path::PathBuf;

/// The reason why a trial could not be run, or its results not be plotted.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// The day has more proxies than a trial can start.
    #[error("site.proxy.count: {count} processes exceed the limit of a trial ({max}); use `sim` instead")]
    TooManyProxies {
        /// The number of proxies of the day.
        count: usize,
        /// The limit of a trial.
        max: usize,
    },
    /// The runtime could not be created.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The site could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The load could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// The folder for the proxies could not be created.
    #[error("temporary folder: {0}")]
    Folder(#[source] io::Error),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A proxy exited before it was healthy.
    #[error("proxy {index} exited, {how}:\n{}", last_lines.join("\n"))]
    Ended {
        /// The index of the proxy.
        index: usize,
        /// Its exit status.
        how: String,
        /// The last lines of its output.
        last_lines: Vec<String>,
    },
    /// A proxy did not become healthy in time.
    #[error("proxy {index} did not become healthy in time:\n{}", last_lines.join("\n"))]
    Unhealthy {
        /// The index of the proxy.
        index: usize,
        /// The last lines of its output.
        last_lines: Vec<String>,
    },
    /// The auditor's thread panicked.
    #[error("the thread of the auditor panicked")]
    AuditorPanicked,
    /// A trial of a sweep is void.
    #[error("the trial at {times} times the rate is void: {why}")]
    Void {
        /// The multiple of the day's rate.
        times: f64,
        /// The reason.
        why: String,
    },
    /// A plot could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The file of the plot.
        path: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
