//! The last known good version on disk.
//!
//! redb was an alternative, which stores many values and is crash-safe. But there is only one value here,
//! which is rarely written and always completely, and a file has the advantage that operators can read and
//! copy it.

use crate::checksummed_file::{self, ChecksummedFile};
use crate::version::{Version, VersionError};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

pub use crate::checksummed_file::{Disk, Files};

/// The start of the file: what it stores, and the version of its format.
const MAGIC: &str = "aniseyoke-version 1";

/// A stored version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredVersion {
    /// The version.
    pub version: Version,
    /// The time at which it was stored, in milliseconds of Unix time. It is only reported. Versions are
    /// ordered by their stamps, so that steps of the wall clock do not matter.
    pub at_ms: u64,
}

/// The result of loading.
#[derive(Clone, Debug, PartialEq)]
pub enum Loaded {
    /// There is no file.
    Missing,
    /// The saved version.
    Valid(StoredVersion),
    /// The file is damaged.
    Damaged {
        /// The reason why it is not valid.
        reason: String,
        /// The path that it was renamed to, if that was possible.
        quarantined: Option<PathBuf>,
    },
}

/// Why a file can't be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct StoreError {
    path: PathBuf,
    source: io::Error,
}

/// Why the contents of a file are not a valid version.
#[derive(Debug, thiserror::Error)]
enum InvalidVersion {
    #[error("it can't be parsed: {0}")]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Version(#[from] VersionError),
}

/// The last known good version on disk.
pub struct Store<F>(ChecksummedFile<F>);

impl<F: Files> Store<F> {
    /// Creates a store in the file with this path, which need not exist.
    pub fn new(files: F, path: PathBuf) -> Self {
        Store(ChecksummedFile::new(files, path, MAGIC))
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        self.0.path()
    }

    fn error(&self, source: io::Error) -> StoreError {
        StoreError { path: self.path().to_owned(), source }
    }

    /// Replaces the saved version.
    ///
    /// # Errors
    /// As [`ChecksummedFile::save`].
    pub fn save(&mut self, version: &StoredVersion) -> Result<(), StoreError> {
        let saved = serde_json::to_vec(version).map_err(io::Error::from);
        let saved = saved.and_then(|payload| self.0.save(&payload));
        saved.map_err(|e| self.error(e))
    }

    /// Loads the saved version. A damaged file is quarantined.
    ///
    /// # Errors
    /// If the file exists and can't be read.
    pub fn load(&mut self) -> Result<Loaded, StoreError> {
        let loaded = self.0.load().map_err(|e| self.error(e))?;
        Ok(match loaded {
            checksummed_file::Loaded::Missing => Loaded::Missing,
            checksummed_file::Loaded::Damaged { reason, quarantined } => {
                Loaded::Damaged { reason, quarantined }
            }
            checksummed_file::Loaded::Intact(payload) => match parse(&payload) {
                Ok(version) => Loaded::Valid(version),
                Err(error) => Loaded::Damaged { reason: error.to_string(), quarantined: self.0.quarantine() },
            },
        })
    }
}

fn parse(payload: &[u8]) -> Result<StoredVersion, InvalidVersion> {
    let stored: StoredVersion = serde_json::from_slice(payload)?;
    stored.version.verify()?;
    Ok(stored)
}

#[cfg(test)]
mod tests;
