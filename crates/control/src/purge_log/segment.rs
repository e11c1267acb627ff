//! The files of the log: segments, each named after the number before its first entry.

use super::record::{self, DecodedSegment, PurgeRequest, SegmentHeader};
use super::PurgeLogError;
use crate::checksummed_file::{Disk, Files};
use aniseyoke_fanout::Progress;
use std::fs::{File, OpenOptions};
use std::io::{self, Read as _, Write as _};
use std::path::{Path, PathBuf};

const PREFIX: &str = "purges-";

/// The path of a segment.
pub fn path(folder: &Path, after: u64) -> PathBuf {
    folder.join(format!("{PREFIX}{after:020}"))
}

/// All segments, the oldest first: the number before the first entry of each.
pub fn list(folder: &Path) -> io::Result<Vec<u64>> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix(PREFIX));
        found.extend(number.and_then(|number| number.parse::<u64>().ok()));
    }
    found.sort_unstable();
    Ok(found)
}

/// Renames a segment, so that it is not part of the log any more. `label` begins the new name.
pub fn set_aside(folder: &Path, after: u64, label: &str) -> io::Result<()> {
    let aside = folder.join(format!("{label}-{PREFIX}{after:020}"));
    std::fs::rename(path(folder, after), aside)
}

/// A segment as it was read.
pub struct Segment {
    pub header: SegmentHeader,
    pub requests: Vec<PurgeRequest>,
    /// Its bytes, as far as they are complete records.
    pub bytes: Vec<u8>,
    /// How many bytes at its end are not.
    pub torn_bytes: usize,
}

impl Segment {
    /// The position before its first entry.
    pub fn start(&self) -> Progress {
        Progress { epoch: self.header.epoch, through: self.header.after }
    }

    /// The number of its last entry.
    pub fn newest(&self) -> u64 {
        self.header.after + record::entry_count(&self.requests)
    }
}

/// Reads a segment; none where its header is not complete.
pub fn read(path: &Path) -> Result<Option<Segment>, PurgeLogError> {
    let mut bytes = Vec::new();
    let opened = File::open(path).and_then(|mut file| file.read_to_end(&mut bytes));
    opened.map_err(PurgeLogError::io(path))?;
    let decoded = record::decode_segment(&bytes).map_err(|e| PurgeLogError::damaged(path, &e.to_string()))?;
    let Some(DecodedSegment { header, requests, torn_bytes }) = decoded else { return Ok(None) };
    bytes.truncate(bytes.len() - torn_bytes);
    Ok(Some(Segment { header, requests, bytes, torn_bytes }))
}

/// Creates a segment with its header; returns it opened to append, with its length.
pub fn create(folder: &Path, header: SegmentHeader) -> io::Result<(File, u64)> {
    let bytes = record::encode_header(header);
    let path = path(folder, header.after);
    // A segment whose creation failed before has no entries.
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

/// Writes a segment anew under its own name, and opens it to append. Danger: what was read may be in the page cache only, if
/// its sync failed in a process that was killed then; a sync of the same file would not report that.
pub fn rewrite(path: &Path, bytes: &[u8]) -> io::Result<File> {
    let new = path.with_extension("new");
    Disk.write(&new, bytes)?;
    Disk.rename(&new, path)?;
    OpenOptions::new().append(true).open(path)
}
