//! A process under test that a plan is loaded into.

use crate::{Call, Plan, PlanError, PLAN_VARIABLE};
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The file that cargo makes of the preload package.
const LIBRARY: &str = "libaniseyoke_faults_preload.so";

/// A plan in force; it may be changed while the process runs.
#[derive(Clone, Debug)]
pub struct Armed {
    plan: PathBuf,
}

impl Armed {
    /// Puts another plan in force: from the process's next call on, and its counts begin anew.
    pub fn change(&self, plan: &Plan) -> Result<(), PlanError> {
        plan.write(&self.plan)
    }

    /// Where each fault forced is written, one a line: the rule's name, the call, the effect.
    pub fn log(&self) -> PathBuf {
        self.plan.with_extension("log")
    }

    /// How many faults a rule has forced.
    pub fn forced(&self, rule: &str) -> usize {
        self.lines().iter().filter(|line| line.split(' ').next() == Some(rule)).count()
    }

    /// How many faults were forced in a call.
    pub fn forced_in(&self, call: Call) -> usize {
        let name = format!("{call:?}");
        self.lines().iter().filter(|line| line.split(' ').nth(1) == Some(name.as_str())).count()
    }

    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.log()).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

/// Has a command's process start with a plan in force, whose file and log lie in `folder`. The command's environment is
/// added to, so clear it before.
pub fn arm(command: &mut Command, folder: &Path, plan: &Plan) -> Result<Armed, ArmError> {
    let library = library()?;
    let armed = Armed { plan: folder.join("faults.json") };
    armed.change(plan).map_err(ArmError::Plan)?;
    command.env("LD_PRELOAD", library).env(PLAN_VARIABLE, &armed.plan);
    Ok(armed)
}

/// The preload library that cargo has built beside the running test.
pub fn library() -> Result<PathBuf, ArmError> {
    built_library(LIBRARY)
}

/// The library of this file name that cargo has built beside the running test.
pub fn built_library(file: &'static str) -> Result<PathBuf, ArmError> {
    let own = std::env::current_exe().map_err(ArmError::Own)?;
    let folder = own.parent().unwrap_or(Path::new("."));
    let places = [folder.join(file), folder.join("deps").join(file)];
    places
        .iter()
        .find(|place| place.is_file())
        .cloned()
        .ok_or_else(|| ArmError::Library(file, folder.to_owned()))
}

/// Why a plan can't be put in force.
#[derive(Debug)]
pub enum ArmError {
    Own(std::io::Error),
    Library(&'static str, PathBuf),
    Plan(PlanError),
}

impl fmt::Display for ArmError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArmError::Own(e) => write!(f, "the running program's path is unknown: {e}"),
            ArmError::Library(file, folder) => write!(
                f,
                "no {file} in {}: the test's package needs the one that makes it among its dev-dependencies",
                folder.display()
            ),
            ArmError::Plan(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ArmError {}
