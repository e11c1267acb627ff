//! The files of the log. Each is a segment, and is named after the number before its first entry.

use super::record::{self, DecodedSegment, PurgeRequest, SegmentHeader};
use super::PurgeLogError;
use crate::checksummed_file::{Disk, Files};
use aniseyoke_fanout::Progress;
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

const FILE_PREFIX: &str = "purges-";

/// Returns the path of a segment.
pub fn path(folder: &Path, after: u64) -> PathBuf {
    folder.join(format!("{FILE_PREFIX}{after:020}"))
}

/// Lists all segments, the oldest first, by the number before the first entry of each.
pub fn list(folder: &Path) -> io::Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(FILE_PREFIX));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

/// Renames a segment, so that it is no longer part of the log. The new name begins with `label`.
pub fn set_aside(folder: &Path, after: u64, label: &str) -> io::Result<()> {
    let aside = folder.join(format!("{label}-{FILE_PREFIX}{after:020}"));
    std::fs::rename(path(folder, after), aside)
}

/// A segment that was read from disk.
pub struct Segment {
    pub header: SegmentHeader,
    pub requests: Vec<PurgeRequest>,
    /// The bytes of its complete records.
    pub bytes: Vec<u8>,
    /// Number of bytes at its end that are not a complete record.
    pub torn_bytes: usize,
}

impl Segment {
    /// Returns the position before its first entry.
    pub fn start(&self) -> Progress {
        Progress { epoch: self.header.epoch, through: self.header.after }
    }

    /// Returns the number of its last entry.
    pub fn newest(&self) -> u64 {
        self.header.after + record::entry_count(&self.requests)
    }
}

/// Reads a segment. The result is `None` if its header is incomplete.
pub fn read(path: &Path) -> Result<Option<Segment>, PurgeLogError> {
    let mut bytes = Vec::new();
    let opened = File::open(path).and_then(|mut file| file.read_to_end(&mut bytes));
    opened.map_err(PurgeLogError::io(path))?;
    let decoded = record::decode_segment(&bytes).map_err(|e| PurgeLogError::damaged(path, &e.to_string()))?;
    let Some(DecodedSegment { header, requests, torn_bytes }) = decoded else { return Ok(None) };
    bytes.truncate(bytes.len() - torn_bytes);
    Ok(Some(Segment { header, requests, bytes, torn_bytes }))
}

/// Creates a segment with its header. Returns the file, opened for appending, and its length.
pub fn create(folder: &Path, header: SegmentHeader) -> io::Result<(File, u64)> {
    let bytes = record::encode_header(header);
    let path = path(folder, header.after);
    // A file with this name is from an earlier attempt to create the segment that failed, and has no entries.
    match std::fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let mut file = OpenOptions::new().create_new(true).append(true).open(path)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    File::open(folder)?.sync_all()?;
    Ok((file, bytes.len() as u64))
}

/// Replaces a segment by a new file with the same name, and opens it for appending.
///
/// The bytes that were read may be in the page cache only: an earlier process may have been killed after its
/// sync had failed, and a further sync of the same file would not report that failure.
pub fn rewrite(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let new = path.with_extension("new");
    Disk.write(&new, bytes)?;
    Disk.rename(&new, path)?;
    OpenOptions::new().append(true).open(path)
}
