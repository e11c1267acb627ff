//! The number of the service's current epoch, which increases with each start.

use crate::checksummed_file::Files;
use std::io;
use std::path::{Path, PathBuf};

/// The name of the file in the service's folder.
const FILE: &str = "epoch";
/// The name of the file that is written first and then renamed to [`FILE`].
const NEW_FILE: &str = "epoch.new";

/// Why a new epoch can't be stored.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct EpochError {
    path: PathBuf,
    source: io::Error,
}

/// Stores and returns the number of a new epoch. It is higher than the last one, which is stored in a file in
/// the folder, and at least `seconds`, the current Unix time.
///
/// The time guards against a folder that is restored from a backup with an old epoch: it is never less than
/// the number of restarts, so that the new epoch is higher than any that was assigned since the backup. A
/// wall clock that steps back does not lower the epoch. One that steps forward leaves the epoch permanently
/// ahead of the time, which only skips numbers.
///
/// # Errors
/// If the last epoch can't be read, or the new one is not known to be on disk, since it might be assigned
/// again then.
pub fn raise(files: &mut impl Files, folder: &Path, seconds: u64) -> Result<u64, EpochError> {
    let path = folder.join(FILE);
    raise_in(files, &path, &folder.join(NEW_FILE), seconds).map_err(|source| EpochError { path, source })
}

fn raise_in(files: &mut impl Files, path: &Path, new: &Path, seconds: u64) -> io::Result<u64> {
    let text = files.read(path)?.and_then(|bytes| String::from_utf8(bytes).ok());
    let last = text.and_then(|text| text.trim().parse::<u64>().ok());
    let epoch = seconds.max(last.unwrap_or(0) + 1);
    files.write(new, format!("{epoch}\n").as_bytes())?;
    files.rename(new, path)?;
    Ok(epoch)
}
