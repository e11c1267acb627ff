//! Why a command failed.

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

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CliError {
    /// An argument is out of range or has the wrong form.
    #[error("{0}")]
    Argument(String),
    /// A day is not possible.
    #[error(transparent)]
    Day(#[from] DayError),
    /// An experiment's file is not possible.
    #[error(transparent)]
    Plan(#[from] PlanError),
    /// A file or folder can't be used.
    #[error(transparent)]
    File(#[from] FileError),
    /// A program can't be found or started.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A trial could not be played.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// An experiment of the fault rig could not be played.
    #[error(transparent)]
    Rig(#[from] RigError),
    /// A scale experiment could not be played.
    #[error(transparent)]
    Scale(#[from] ScaleError),
    /// A run of the soak could not be played.
    #[error(transparent)]
    Soak(#[from] SoakError),
    /// A start could not be played.
    #[error(transparent)]
    Starts(#[from] StartsError),
    /// Versions could not be measured.
    #[error(transparent)]
    Versions(#[from] VersionsError),
    /// The capacity page could not be worked out, or a slope not be measured.
    #[error(transparent)]
    Capacity(#[from] CapacityError),
    /// The pass-through could not serve.
    #[error(transparent)]
    PassThrough(#[from] PassThroughError),
    /// There is no runtime, no folder, or the path of this program is not known.
    #[error("{0}")]
    System(#[source] io::Error),
    /// Figures could not be encoded.
    #[error("{0}")]
    Json(#[source] serde_json::Error),
    /// A progress bar's template is wrong.
    #[error("{0}")]
    Template(#[from] indicatif::style::TemplateError),
    /// The site could not be opened.
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
        /// What the system says.
        source: io::Error,
    },
    /// A trial of a comparison says nothing.
    #[error("a trial is void: {0}")]
    VoidTrial(String),
    /// Some requests of a comparison were not served.
    #[error("not everything was served, so costs can't be compared:\n{0}")]
    NotServed(String),
    /// There is no such built-in day.
    #[error("there is no built-in day {0}")]
    NoBuiltinDay(String),
    /// The pass-through's configuration is not named.
    #[error("PROXY_CONFIG is not set")]
    NoProxyConfig,
    /// A file is no JSON.
    #[error("{file}: {source}")]
    JsonFile {
        /// The file.
        file: String,
        /// Where, and what is wrong.
        source: serde_json::Error,
    },
}
