//! The ids of requests that must not run twice, shared by the processes of a proxy that run side by side or one
//! after the other. Each process writes a file of its own, and reads those of the others.
//!
//! A process first writes an id to its own file, then looks for it in the others. If two processes do so at once, at
//! least one of them finds the id of the other.

use super::table::{entries, Change, IdHash, IdTable, BUCKET_BYTES, BUCKET_ENTRIES, TABLE_BYTES};
use crate::peers::{SharedSlot, MAX_PROCESSES};
use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// An id that is in the history.
#[derive(Clone, Copy, Debug)]
pub(super) struct HistoryEntry(Change);

/// The ids that the processes of a proxy have recorded.
pub(super) struct IdHistory {
    own: RefCell<IdTable>,
    shared: Option<SharedFiles>,
}

impl IdHistory {
    /// Reads what the earlier process with this slot has recorded. Without a slot, or if its file can't be used,
    /// the history is that of this process alone.
    pub(super) fn open(slot: Option<SharedSlot>) -> Self {
        let opened = slot.map(|slot| SharedFiles::open(&slot).map_err(|error| (slot, error))).transpose();
        match opened {
            Ok(Some((shared, table))) => IdHistory { own: RefCell::new(table), shared: Some(shared) },
            Ok(None) => IdHistory { own: RefCell::new(IdTable::new()), shared: None },
            Err((slot, error)) => {
                let path = file_path(&slot.dir, slot.number);
                tracing::warn!(
                    "{}: request ids are not shared with other processes: {error}",
                    path.display()
                );
                IdHistory { own: RefCell::new(IdTable::new()), shared: None }
            }
        }
    }

    /// Records an id; returns `None` if this or another process has recorded it before.
    pub(super) fn insert(&self, hash: u64) -> Option<HistoryEntry> {
        let id = IdHash::new(hash);
        if self.own.borrow().contains(id) {
            return None;
        }
        let inserted = self.own.borrow_mut().insert(id);
        let Some(shared) = &self.shared else { return Some(HistoryEntry(inserted)) };
        shared.write(inserted);
        if shared.others_have(id) {
            self.remove(HistoryEntry(inserted));
            return None;
        }
        Some(HistoryEntry(inserted))
    }

    /// Removes an id of which nothing was sent.
    pub(super) fn remove(&self, entry: HistoryEntry) {
        let removed = self.own.borrow_mut().remove(entry.0);
        if let (Some(removed), Some(shared)) = (removed, &self.shared) {
            shared.write(removed);
        }
    }
}

/// The files with the tables of all processes.
struct SharedFiles {
    dir: PathBuf,
    own_number: usize,
    own: File,
    /// Whether the last write failed.
    write_failed: Cell<bool>,
    /// The files of the others, opened once they exist.
    others: [RefCell<Option<File>>; MAX_PROCESSES],
}

impl SharedFiles {
    /// Opens the file of this slot; returns it with the table that it holds.
    fn open(slot: &SharedSlot) -> io::Result<(Self, IdTable)> {
        let path = file_path(&slot.dir, slot.number);
        let mut own = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        let mut bytes = Vec::new();
        (&mut own).take(TABLE_BYTES as u64).read_to_end(&mut bytes)?;
        let (dir, others) = (slot.dir.clone(), Default::default());
        let shared = SharedFiles { dir, own_number: slot.number, own, write_failed: Cell::default(), others };
        Ok((shared, IdTable::from_bytes(&bytes)))
    }

    /// Writes an entry, which the page cache takes. A failure only leaves the other processes without it.
    fn write(&self, change: Change) {
        let written = self.own.write_all_at(&change.entry.to_le_bytes(), 8 * change.position as u64);
        match written {
            Ok(()) => self.write_failed.set(false),
            Err(error) if !self.write_failed.replace(true) => {
                tracing::warn!("a request id could not be shared with other processes: {error}");
            }
            Err(_) => {}
        }
    }

    fn others_have(&self, id: IdHash) -> bool {
        (0..MAX_PROCESSES).filter(|number| *number != self.own_number).any(|number| {
            let mut file = self.others[number].borrow_mut();
            if file.is_none() {
                *file = File::open(file_path(&self.dir, number)).ok();
            }
            file.as_ref().is_some_and(|file| id.is_in(&read_bucket(file, id)))
        })
    }
}

/// Reads the bucket of an id; what the file lacks is empty.
fn read_bucket(file: &File, id: IdHash) -> [u64; BUCKET_ENTRIES] {
    let mut bytes = [0; BUCKET_BYTES];
    let read = file.read_at(&mut bytes, (id.bucket * BUCKET_BYTES) as u64).unwrap_or(0);
    let mut bucket = [0; BUCKET_ENTRIES];
    for (entry, bytes) in bucket.iter_mut().zip(entries(&bytes[..read])) {
        *entry = bytes;
    }
    bucket
}

fn file_path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("aniseyoke-ids.{number}"))
}
