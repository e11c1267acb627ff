//! Errors of the subcommands.

use crate::pass_through::PassThroughError;
use aniseyoke_lab_capacity::CapacityError;
use aniseyoke_lab_day::plan_file::PlanError;
use aniseyoke_lab_day::{DayError, FileError};
use aniseyoke_lab_process::ProcessError;
use aniseyoke_lab_rig::error::RigError;
use aniseyoke_lab_scale::error::ScaleError;
use aniseyoke_lab_scale::versions::VersionsError;
use aniseyoke_lab_soak::SoakError;
use aniseyoke_lab_starts::StartsError;
use aniseyoke_lab_trial::TrialError;
use std::io;

/// An error of a subcommand.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An argument is out of range or malformed.
    #[error("{0}")]
    Argument(String),
    /// A day is invalid.
    #[error(transparent)]
    Day(#[from] DayError),
    /// An experiment's file is invalid.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A file or folder can't be accessed.
    #[error(transparent)]
    File(#[from] FileError),
    /// A program can't be found or started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A trial could not be run.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// An experiment of the fault rig could not be run.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A scale experiment could not be run.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A soak run could not be completed.
    #[error(transparent)]
    Soak(#[from] SoakError),
    /// A start of the proxy could not be tested.
    #[error(transparent)]
    Starts(#[from] StartsError),
    /// The versions could not be measured.
    #[error(transparent)]
    Versions(#[from] VersionsError),
    /// The capacity page could not be generated, or a slope could not be measured.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The pass-through failed.
    #[error(transparent)]
    PassThrough(#[from] PassThroughError),
    /// The runtime or a folder could not be created, or the path of this program is unknown.
    #[error("{0}")]
    System(#[source] io::Error),
    /// Figures could not be encoded.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// The template of a progress bar is invalid.
    #[error("{0}")]
    Template(#[from] indicatif::style::TemplateError),
    /// The emulated site could not be started.
    #[error("site: {0}")]
    Site(#[source] io::Error),
    /// The load could not be started.
    #[error("load: {0}")]
    Load(#[source] io::Error),
    /// The listener could not be bound.
    #[error("{addr}: {source}")]
    Listen {
        /// The address.
        addr: std::net::SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// A trial of a comparison is void, so its figures can't be used.
    #[error("a trial is void: {0}")]
    VoidTrial(String),
    /// Some requests of a comparison were not served.
    #[error("some requests were not served, so costs can't be compared:\n{0}")]
    NotServed(String),
    /// No built-in day has this name.
    #[error("there is no built-in day {0}")]
    NoBuiltinDay(String),
    /// The environment variable with the path of the pass-through's configuration is not set.
    #[error("PROXY_CONFIG is not set")]
    NoProxyConfig,
    /// A file is not valid JSON.
    #[error("{file}: {source}")]
    JsonFile {
        /// The path of the file.
        file: String,
        /// The parser's error, with its position.
        source: serde_json::Error,
    },
}
