//! Tells one version of a file from another.

use std::fs;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// Identifies one version of a file. Stamps are only compared for equality, so that a step of the wall clock
/// can't make a new version seem older. The inode differs too where each version is a new file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FileStamp {
    inode: u64,
    modified: (i64, i64),
}

impl FileStamp {
    /// Returns the stamp of a file; `None` if there is none.
    pub fn of(path: &Path) -> Option<Self> {
        let metadata = fs::metadata(path).ok()?;
        Some(FileStamp { inode: metadata.ino(), modified: (metadata.mtime(), metadata.mtime_nsec()) })
    }
}
