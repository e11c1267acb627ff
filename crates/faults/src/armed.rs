//! Loads a fault plan into a process under test.

use crate::{Call, Plan, PlanError, OVERRUN, PLAN_VARIABLE};
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// File name of the library that cargo builds from the preload package.
const LIBRARY: &str = "libaniseyoke_faults_preload.so";

/// A fault plan that is active in a process; it can be changed while the process runs.
#[derive(Clone, Debug)]
pub struct ActivePlan {
    plan: PathBuf,
}

impl ActivePlan {
    /// Replaces the plan. The new one applies from the process's next call on, and all rules' call counts
    /// restart at 0.
    pub fn change(&self, plan: &Plan) -> Result<(), PlanError> {
        plan.write(&self.plan)
    }

    /// Path of the log of injected faults. Each line has the rule's name, the call and the effect, or
    /// [`OVERRUN`] and the time in microseconds by which a delay was longer than requested.
    pub fn log(&self) -> PathBuf {
        self.plan.with_extension("log")
    }

    /// Returns the number of faults that a rule has injected.
    pub fn forced(&self, rule: &str) -> usize {
        self.lines().iter().filter(|line| line.split(' ').next() == Some(rule)).count()
    }

    /// Returns the number of faults injected into a call.
    pub fn forced_in(&self, call: Call) -> usize {
        let name = format!("{call:?}");
        self.lines().iter().filter(|line| line.split(' ').nth(1) == Some(name.as_str())).count()
    }

    /// Returns by how much each injected delay was longer than requested, in the order of their ends. A
    /// thread that sleeps wakes up late on a busy machine.
    pub fn overruns(&self) -> Vec<Duration> {
        let micros = |line: &String| line.strip_prefix(OVERRUN)?.trim_start().parse().ok();
        self.lines().iter().filter_map(micros).map(Duration::from_micros).collect()
    }

    fn lines(&self) -> Vec<String> {
        let text = std::fs::read_to_string(self.log()).unwrap_or_default();
        text.lines().map(str::to_owned).collect()
    }
}

/// Makes a command's process start with a fault plan, whose file and log are in `folder`. Adds to the
/// command's environment, so a caller that clears the environment must do so before.
pub fn configure_preload(
    command: &mut Command,
    folder: &Path,
    plan: &Plan,
) -> Result<ActivePlan, PreloadError> {
    let library = library()?;
    let active_plan = ActivePlan { plan: folder.join("faults.json") };
    active_plan.change(plan).map_err(PreloadError::Plan)?;
    command.env("LD_PRELOAD", library).env(PLAN_VARIABLE, &active_plan.plan);
    Ok(active_plan)
}

/// Returns the path of the preload library that cargo built beside the running test.
pub fn library() -> Result<PathBuf, PreloadError> {
    built_library(LIBRARY)
}

/// Returns the path of the library of this file name that cargo built beside the running test.
pub fn built_library(file: &'static str) -> Result<PathBuf, PreloadError> {
    let program = std::env::current_exe().map_err(PreloadError::Own)?;
    let folder = program.parent().unwrap_or(Path::new("."));
    let candidates = [folder.join(file), folder.join("deps").join(file)];
    candidates
        .iter()
        .find(|path| path.is_file())
        .cloned()
        .ok_or_else(|| PreloadError::Library(file, folder.to_owned()))
}

/// Why a fault plan can't be loaded into a process.
#[derive(Debug)]
pub enum PreloadError {
    Own(std::io::Error),
    Library(&'static str, PathBuf),
    Plan(PlanError),
}

impl fmt::Display for PreloadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PreloadError::Own(e) => write!(f, "cannot get the path of the running program: {e}"),
            PreloadError::Library(file, folder) => write!(
                f,
                "{file} not found in {}: add the package that builds it to the test package's dev-dependencies",
                folder.display()
            ),
            PreloadError::Plan(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for PreloadError {}
