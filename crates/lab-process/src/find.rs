//! Locates the programs and files that a trial needs.

use crate::ProcessError;
use aniseyoke_lab_day::FileError;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Returns the absolute path of an operator file, so that a child process can open it from any working directory.
///
/// # Errors
/// If the path can't be resolved, for example because there is no such file.
pub fn find_file(given: &Path) -> Result<PathBuf, ProcessError> {
    Ok(given.canonicalize().map_err(FileError::at(given))?)
}

/// Locates the proxy's executable: the given path, or the one in this executable's directory. Under cargo the latter is
/// built first.
///
/// # Errors
/// If there is no such file, or it can't be built; the error names the path that was searched.
pub fn find_proxy(given: Option<PathBuf>) -> Result<PathBuf, ProcessError> {
    find_program(given, "aniseyoke", "aniseyoke")
}

/// Locates the control service's executable in the same way as [`find_proxy`].
///
/// # Errors
/// As [`find_proxy`].
pub fn find_control(given: Option<PathBuf>) -> Result<PathBuf, ProcessError> {
    find_program(given, "aniseyoke-control", "aniseyoke-control")
}

/// Locates an executable of this workspace: the given path, or the one in this executable's directory. Under cargo the
/// latter is built first, in the same profile, so that the current code is tested.
fn find_program(given: Option<PathBuf>, package: &str, name: &str) -> Result<PathBuf, ProcessError> {
    if let Some(path) = given {
        return if path.is_file() { Ok(path) } else { Err(ProcessError::NoSuchFile(path)) };
    }
    let current_exe = std::env::current_exe().map_err(ProcessError::CurrentExe)?;
    // The executable of a test is one directory deeper (`deps`).
    let directories = || current_exe.ancestors().skip(1).take(2);
    let profile = directories().find(|f| f.ends_with("release") || f.ends_with("debug"));
    if let (Some(cargo), Some(profile)) = (std::env::var_os("CARGO"), profile) {
        build(&cargo, profile, package, name)?;
    }
    let found = directories().find_map(|f| Some(f.join(name)).filter(|path| path.is_file()));
    found.ok_or_else(|| ProcessError::NotFound { name: name.to_owned(), current_exe: current_exe.clone() })
}

fn build(cargo: &OsStr, profile: &Path, package: &str, name: &str) -> Result<(), ProcessError> {
    let mut command = Command::new(cargo);
    command.args(["build", "--quiet", "--locked", "-p", package, "--bin", name]);
    command.current_dir(Path::new(env!("CARGO_MANIFEST_DIR")));
    if profile.ends_with("release") {
        command.arg("--release");
    }
    if let Some(target) = profile.parent() {
        command.arg("--target-dir").arg(target);
    }
    let status = command.status().map_err(ProcessError::Cargo)?;
    if status.success() {
        Ok(())
    } else {
        Err(ProcessError::BuildFailed(name.to_owned()))
    }
}
