//! Why a trial could not be played.

use aniseyoke_lab_process::ProcessError;
use std::io;
use std::path::PathBuf;

/// Why a trial could not be played, or its figures not be drawn.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// The day asks for more processes than a trial starts.
    #[error("site.proxy.count: {count} processes are too many for a trial ({max}); `sim` plays them")]
    TooManyProxies {
        /// The proxies of the day.
        count: usize,
        /// The most that a trial starts.
        max: usize,
    },
    /// There is no runtime.
    #[error("{0}")]
    Runtime(#[source] io::Error),
    /// The site could not be opened.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The load could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// There is no folder for the proxies.
    #[error("a folder: {0}")]
    Folder(#[source] io::Error),
    /// A proxy could not be started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A proxy ended before it was healthy.
    #[error("proxy {index} ended, {how}:\n{}", last_lines.join("\n"))]
    Ended {
        /// The proxy's number.
        index: usize,
        /// How it ended.
        how: String,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// A proxy was not healthy in time.
    #[error("proxy {index} does not get well:\n{}", last_lines.join("\n"))]
    Unhealthy {
        /// The proxy's number.
        index: usize,
        /// Its last lines.
        last_lines: Vec<String>,
    },
    /// The auditor's thread panicked.
    #[error("the auditor broke")]
    AuditorPanicked,
    /// A trial of a sweep is void.
    #[error("the trial at {times} times is void: {why}")]
    Void {
        /// The multiple of the day's rate.
        times: f64,
        /// Why.
        why: String,
    },
    /// A plot could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The plot's file.
        path: PathBuf,
        /// Why.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
}
