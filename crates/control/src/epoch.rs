//! The number of the service's current epoch, which rises with each start.

use std::io;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// The file in the service's folder.
const FILE: &str = "epoch";
/// The file that is written first, and then renamed.
const NEW_FILE: &str = "epoch.new";

/// Why a new epoch can't be stored.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct EpochError {
    path: PathBuf,
    source: io::Error,
}

/// Stores and returns the number of a new epoch: at least one more than the last one, which a file in the folder holds.
/// Danger: a folder that was restored from a backup brings an old epoch back; the current time in seconds is never less
/// than the number of restarts, so that the new epoch is past it.
///
/// # Errors
/// If the file can't be written.
pub fn next(folder: &Path) -> Result<u64, EpochError> {
    let path = folder.join(FILE);
    let last = std::fs::read_to_string(&path).ok().and_then(|text| text.trim().parse::<u64>().ok());
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let epoch = seconds.max(last.unwrap_or(0) + 1);
    let new = folder.join(NEW_FILE);
    let written = std::fs::write(&new, format!("{epoch}\n")).and_then(|()| std::fs::rename(&new, &path));
    match written {
        Ok(()) => Ok(epoch),
        Err(source) => Err(EpochError { path, source }),
    }
}
