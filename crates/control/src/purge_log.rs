//! The root's log of purges on disk, which consists of records with a checksum. A record is synced before the
//! publishers get their responses. The log is split into segments, and the oldest segments are removed.
//!
//! Opening the log writes and syncs the last segment again, so that all records that were read are on disk. An
//! incomplete record at the end is truncated. With any other damage the log counts as lost, and a new epoch
//! starts. After a failed write, the bytes that it may have left are truncated before anything else is
//! appended.

mod record;
mod segment;

use aniseyoke_fanout::{Log, Progress, Publishers};
use record::SegmentHeader;
use segment::Segment;
use std::fs::File;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

pub use record::PurgeRequest;

/// Why the log can't be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum PurgeLogError {
    /// A file or folder can't be read or written. The log may be intact, and is not changed.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is damaged.
    #[error("{}: {reason}", .path.display())]
    Damaged {
        /// The file.
        path: PathBuf,
        /// The reason why it is not valid.
        reason: String,
    },
    /// The bytes that an earlier failed write left can't be truncated yet.
    #[error("{}: what a failed write left can't be cut off: {source}", .path.display())]
    TruncateFailed {
        /// The log's folder.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A write failed, and the bytes that it left can't be truncated yet.
    #[error("{}: {source}; what the write left can't be cut off: {truncate_error}", .path.display())]
    WriteAndTruncateFailed {
        /// The log's folder.
        path: PathBuf,
        /// Why the write failed.
        source: io::Error,
        /// Why the file can't be truncated.
        truncate_error: io::Error,
    },
    /// The files of the old epoch were renamed, and the new epoch could not be started yet.
    #[error("{}: the log is set aside, and its new epoch has not started yet", .0.display())]
    SetAside(PathBuf),
}

impl PurgeLogError {
    fn io(path: &Path) -> impl Fn(io::Error) -> PurgeLogError + '_ {
        move |source| PurgeLogError::Io { path: path.to_owned(), source }
    }

    fn damaged(path: &Path, reason: &str) -> PurgeLogError {
        PurgeLogError::Damaged { path: path.to_owned(), reason: reason.to_owned() }
    }
}

/// An opened log.
pub struct OpenedLog {
    /// The log on disk, to append to.
    pub disk: PurgeLog,
    /// The retained entries, in memory.
    pub log: Log,
    /// The last requests of each publisher, with the numbers of their entries.
    pub publishers: Publishers,
    /// Warnings for the operators.
    pub warnings: Vec<String>,
}

/// Whether records can be appended.
#[derive(Clone, Copy, PartialEq)]
enum State {
    /// Records can be appended.
    Intact,
    /// A write or sync failed. The file may have bytes after its last complete record, which have to be
    /// truncated first.
    Torn,
    /// The files are being renamed for a new epoch, which has to start first.
    SetAside,
}

/// The log on disk.
pub struct PurgeLog {
    folder: PathBuf,
    epoch: u64,
    /// Minimum number of entries in a segment before the next one begins.
    segment_entries: u64,
    file: File,
    /// The length of the complete records in the file, in bytes.
    length: u64,
    /// The number before the first entry of the current segment.
    after: u64,
    newest: u64,
    state: State,
}

impl PurgeLog {
    /// Opens the log in a folder. If there is none, or it is damaged, a new one is started under `new_epoch`,
    /// which has to be higher than any epoch before. The number of retained entries is at least
    /// `min_entries`, and at most twice that and one batch.
    ///
    /// # Errors
    /// If the folder or its files can't be read or written. An existing log is not removed then.
    pub fn open(folder: &Path, min_entries: usize, new_epoch: u64) -> Result<OpenedLog, PurgeLogError> {
        std::fs::create_dir_all(folder).map_err(PurgeLogError::io(folder))?;
        let mut warnings = Vec::new();
        match Self::open_existing(folder, min_entries, &mut warnings) {
            Ok(Some(opened)) => return Ok(OpenedLog { warnings, ..opened }),
            Ok(None) => {}
            Err(damaged @ PurgeLogError::Damaged { .. }) => {
                warnings.push(format!(
                    "the log of purges is damaged: {damaged}; a new epoch starts, and all caches are flushed"
                ));
                for after in segment::list(folder).map_err(PurgeLogError::io(folder))? {
                    let path = segment::path(folder, after);
                    segment::set_aside(folder, after, "damaged").map_err(PurgeLogError::io(&path))?;
                }
            }
            Err(error) => return Err(error),
        }
        let disk = Self::create(folder, new_epoch, 0, min_entries as u64);
        let disk = disk.map_err(PurgeLogError::io(folder))?;
        let log = Log::new(Progress { epoch: new_epoch, through: 0 }, min_entries);
        Ok(OpenedLog { disk, log, publishers: Publishers::default(), warnings })
    }

    /// Opens the log in a folder, if there is one.
    fn open_existing(
        folder: &Path,
        min_entries: usize,
        warnings: &mut Vec<String>,
    ) -> Result<Option<OpenedLog>, PurgeLogError> {
        let all = segment::list(folder).map_err(PurgeLogError::io(folder))?;
        let mut log: Option<Log> = None;
        let mut publishers = Publishers::default();
        let mut last = None;
        for (n, after) in all.iter().enumerate() {
            let is_last = n + 1 == all.len();
            let path = segment::path(folder, *after);
            let Some(segment) = read_segment(&path, is_last, warnings)? else { continue };
            let start = segment.start();
            let log = log.get_or_insert_with(|| Log::new(start, min_entries));
            if log.position() != start || start.through != *after {
                return Err(PurgeLogError::damaged(&path, "it does not follow the segment before it"));
            }
            for request in &segment.requests {
                request.keys.iter().for_each(|key| _ = log.append(*key));
                publishers.record(&request.publisher, request.sequence, log.newest());
            }
            last = Some((path, segment));
        }
        let (Some(log), Some((path, segment))) = (log, last) else { return Ok(None) };
        let disk = PurgeLog {
            folder: folder.to_owned(),
            epoch: segment.header.epoch,
            segment_entries: min_entries as u64,
            file: segment::rewrite(&path, &segment.bytes).map_err(PurgeLogError::io(&path))?,
            length: segment.bytes.len() as u64,
            after: segment.header.after,
            newest: segment.newest(),
            state: State::Intact,
        };
        Ok(Some(OpenedLog { disk, log, publishers, warnings: Vec::new() }))
    }

    fn create(folder: &Path, epoch: u64, after: u64, segment_entries: u64) -> io::Result<Self> {
        let (file, length) = segment::create(folder, SegmentHeader { epoch, after })?;
        let (folder, state) = (folder.to_owned(), State::Intact);
        Ok(PurgeLog { folder, epoch, segment_entries, file, length, after, newest: after, state })
    }

    /// Starts a new epoch, which has to be higher than any before. The files of the old one are renamed.
    ///
    /// # Errors
    /// If the folder or its files can't be written. Nothing can be appended then until a new epoch has
    /// started.
    pub fn start_epoch(&mut self, epoch: u64) -> Result<(), PurgeLogError> {
        // Prevents records from being appended to a renamed file, which the next start would not read.
        self.state = State::SetAside;
        let started = self.replace_files(epoch);
        started.map_err(|source| PurgeLogError::Io { path: self.folder.clone(), source })
    }

    fn replace_files(&mut self, epoch: u64) -> io::Result<()> {
        for after in segment::list(&self.folder)? {
            segment::set_aside(&self.folder, after, &format!("before-{epoch}"))?;
        }
        *self = Self::create(&self.folder, epoch, 0, self.segment_entries)?;
        Ok(())
    }

    /// Appends requests as one record, and syncs the file.
    ///
    /// # Errors
    /// If they can't be stored. The bytes that the failed write left are truncated, so that none of the
    /// requests is stored. If that fails as well, each further call first tries to truncate them, and appends
    /// nothing until that succeeds.
    pub fn append(&mut self, requests: &[PurgeRequest]) -> Result<(), PurgeLogError> {
        let path = || self.folder.clone();
        match self.state {
            State::Intact => {}
            State::SetAside => return Err(PurgeLogError::SetAside(path())),
            State::Torn => {
                let path = path();
                self.truncate_torn_end().map_err(|source| PurgeLogError::TruncateFailed { path, source })?;
            }
        }
        let Err(source) = self.write(requests) else { return Ok(()) };
        self.state = State::Torn;
        let path = self.folder.clone();
        Err(match self.truncate_torn_end() {
            Ok(()) => PurgeLogError::Io { path, source },
            Err(truncate_error) => PurgeLogError::WriteAndTruncateFailed { path, source, truncate_error },
        })
    }

    /// Truncates the bytes that a failed write or sync has left after the last complete record.
    fn truncate_torn_end(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.file.sync_all()?;
        self.state = State::Intact;
        Ok(())
    }

    fn write(&mut self, requests: &[PurgeRequest]) -> io::Result<()> {
        if self.newest - self.after >= self.segment_entries {
            let before = self.after;
            *self = Self::create(&self.folder, self.epoch, self.newest, self.segment_entries)?;
            self.remove_segments_before(before);
        }
        let bytes = record::encode_batch(requests);
        self.file.write_all(&bytes)?;
        self.file.sync_data()?;
        self.length += bytes.len() as u64;
        self.newest += record::entry_count(requests);
        Ok(())
    }

    /// Removes old segments. Failures are ignored, so that no record is rejected because of them; the next
    /// call tries again.
    fn remove_segments_before(&self, oldest: u64) {
        let all = segment::list(&self.folder).unwrap_or_default();
        for after in all.into_iter().filter(|after| *after < oldest) {
            if std::fs::remove_file(segment::path(&self.folder, after)).is_err() {
                // If a later segment were removed and this one were not, the log would have a gap.
                return;
            }
        }
    }
}

/// Reads a segment of a log. If the header of the last one is incomplete, the file is removed and the result
/// is `None`.
fn read_segment(
    path: &Path,
    is_last: bool,
    warnings: &mut Vec<String>,
) -> Result<Option<Segment>, PurgeLogError> {
    let segment = segment::read(path)?;
    let torn_bytes = segment.as_ref().map(|segment| segment.torn_bytes);
    match torn_bytes {
        Some(0) => {}
        _ if !is_last => return Err(PurgeLogError::damaged(path, "it ends with an incomplete record")),
        Some(torn) => {
            warnings.push(format!("{}: {torn} bytes at its end are torn, and cut off", path.display()));
        }
        None => {
            warnings.push(format!("{}: its header is incomplete, and it is removed", path.display()));
            std::fs::remove_file(path).map_err(PurgeLogError::io(path))?;
        }
    }
    Ok(segment)
}

#[cfg(test)]
mod tests;
