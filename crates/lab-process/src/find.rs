//! Finds the programs and files that a trial starts with.

use crate::ProcessError;
use aniseyoke_lab_day::FileError;
use std::ffi::OsStr;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Finds an operator file; its absolute path, so that a child in any folder finds it.
///
/// # Errors
/// If there is none of that name.
pub fn find_file(named: &Path) -> Result<PathBuf, ProcessError> {
    Ok(named.canonicalize().map_err(FileError::at(named))?)
}

/// Finds the proxy's program: the one named, or the one beside this program, which is built first under cargo.
///
/// # Errors
/// Says where it looked.
pub fn find_proxy(named: Option<PathBuf>) -> Result<PathBuf, ProcessError> {
    find_program(named, "aniseyoke", "aniseyoke")
}

/// Finds the control service's program in the same way.
///
/// # Errors
/// Says where it looked.
pub fn find_control(named: Option<PathBuf>) -> Result<PathBuf, ProcessError> {
    find_program(named, "aniseyoke-control", "aniseyoke-control")
}

/// Finds a program of this workspace: the one named, or the one beside this program. Under cargo it is built first, in
/// the same profile, so that the code as it stands is tried.
fn find_program(named: Option<PathBuf>, package: &str, name: &str) -> Result<PathBuf, ProcessError> {
    if let Some(path) = named {
        return if path.is_file() { Ok(path) } else { Err(ProcessError::NoSuchFile(path)) };
    }
    let own = std::env::current_exe().map_err(ProcessError::CurrentExe)?;
    // A test's program is one folder deeper.
    let folders = || own.ancestors().skip(1).take(2);
    let profile = folders().find(|f| f.ends_with("release") || f.ends_with("debug"));
    if let (Some(cargo), Some(profile)) = (std::env::var_os("CARGO"), profile) {
        build(&cargo, profile, package, name)?;
    }
    let found = folders().find_map(|f| Some(f.join(name)).filter(|path| path.is_file()));
    found.ok_or_else(|| ProcessError::NotFound { name: name.to_owned(), beside: own.clone() })
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
