//! Sets of ids that the processes of a proxy share, which run side by side or one after the other. Each process
//! writes a file of its own, and reads those of the others; what a process has written stays when it has ended.
//!
//! A process first writes an id to its own file, then looks for it in the others. If two processes do so at once, at
//! least one of them finds the id of the other.

mod table;

pub(crate) use table::Change;

use crate::peers::{self, SharedSlot, MAX_PROCESSES};
use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use table::{entries, IdHash, IdTable, BUCKET_BYTES, BUCKET_ENTRIES, TABLE_BYTES};

/// Most files of other processes that stay open; further ones are opened for each look.
const MAX_OPEN_FILES: usize = 3;

/// What the ids of a set have in common. Each set has a table in the file of a process, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdSet {
    /// Requests that were sent and must not run twice.
    Sent,
    /// Nodes that have been on the endpoint list.
    Listed,
    /// Requests in progress. They end with their process.
    Open,
}

impl IdSet {
    /// Returns the position of its table in a file.
    fn offset(self) -> u64 {
        (self as usize * TABLE_BYTES) as u64
    }

    /// Whether its ids outlive the process that has recorded them.
    fn outlives_process(self) -> bool {
        self != IdSet::Open
    }
}

/// A set of ids that the processes of a proxy share.
pub struct SharedIds {
    set: IdSet,
    own: RefCell<IdTable>,
    files: Option<Rc<IdFiles>>,
}

impl SharedIds {
    /// Opens a set, with what the earlier process with this slot has recorded. Without files it is that of this
    /// process alone.
    pub fn open(set: IdSet, files: Option<Rc<IdFiles>>) -> Self {
        let own = match &files {
            Some(files) if set.outlives_process() => IdTable::from_bytes(&files.read_own(set)),
            _ => IdTable::new(),
        };
        SharedIds { set, own: RefCell::new(own), files }
    }

    /// Whether this or another process has recorded an id.
    pub fn contains(&self, hash: u64) -> bool {
        let id = IdHash::new(hash);
        self.own.borrow().contains(id)
            || self.files.as_ref().is_some_and(|files| files.others_have(self.set, id))
    }

    /// Records an id, whether or not another process has recorded it.
    pub fn add(&self, hash: u64) {
        let id = IdHash::new(hash);
        if !self.own.borrow().contains(id) {
            self.record(id);
        }
    }

    /// Records an id; returns `None` if this or another process has recorded it before.
    pub fn insert(&self, hash: u64) -> Option<Change> {
        let id = IdHash::new(hash);
        if self.own.borrow().contains(id) {
            return None;
        }
        let inserted = self.record(id);
        if self.files.as_ref().is_some_and(|files| files.others_have(self.set, id)) {
            self.remove(inserted);
            return None;
        }
        Some(inserted)
    }

    fn record(&self, id: IdHash) -> Change {
        let inserted = self.own.borrow_mut().insert(id);
        if let Some(files) = &self.files {
            files.write(self.set, inserted);
        }
        inserted
    }

    /// Removes an id that [`Self::insert`] has recorded.
    pub fn remove(&self, inserted: Change) {
        let removed = self.own.borrow_mut().remove(inserted);
        if let (Some(removed), Some(files)) = (removed, &self.files) {
            files.write(self.set, removed);
        }
    }
}

/// The files with the sets of all processes.
pub struct IdFiles {
    dir: PathBuf,
    own_number: usize,
    own: File,
    /// Whether the last write failed.
    write_failed: Cell<bool>,
    /// The files of others that stay open, with their numbers, in the order in which they were found.
    others: RefCell<Vec<(usize, File)>>,
}

impl IdFiles {
    /// Opens the file of this slot, and those of the others as they come. If it can't be used, each process has
    /// sets of its own.
    pub fn open(slot: Option<SharedSlot>) -> Option<Rc<Self>> {
        let slot = slot?;
        let path = file_path(&slot.dir, slot.number);
        match Self::open_own(&path) {
            Ok(own) => Some(Rc::new(IdFiles {
                dir: slot.dir,
                own_number: slot.number,
                own,
                write_failed: Cell::default(),
                others: RefCell::default(),
            })),
            Err(error) => {
                tracing::warn!("{}: ids are not shared with other processes: {error}", path.display());
                None
            }
        }
    }

    /// Opens the file of a slot, without the ids that ended with the earlier process.
    fn open_own(path: &Path) -> io::Result<File> {
        let own = OpenOptions::new().create(true).truncate(false).read(true).write(true).open(path)?;
        own.set_len(IdSet::Open.offset())?;
        Ok(own)
    }

    /// Returns the bytes of a table of this process; what the file lacks is missing.
    fn read_own(&self, set: IdSet) -> Vec<u8> {
        let mut bytes = vec![0; TABLE_BYTES];
        let mut length = 0;
        while let Ok(count @ 1..) = self.own.read_at(&mut bytes[length..], set.offset() + length as u64) {
            length += count;
        }
        bytes.truncate(length);
        bytes
    }

    /// Writes an entry, which the page cache takes. A failure only leaves the other processes without it.
    fn write(&self, set: IdSet, change: Change) {
        let position = set.offset() + 8 * change.position as u64;
        match self.own.write_all_at(&change.entry.to_le_bytes(), position) {
            Ok(()) => self.write_failed.set(false),
            Err(error) if !self.write_failed.replace(true) => {
                tracing::warn!("an id could not be shared with other processes: {error}");
            }
            Err(_) => {}
        }
    }

    fn others_have(&self, set: IdSet, id: IdHash) -> bool {
        let others = (0..MAX_PROCESSES).filter(|number| *number != self.own_number);
        let mut found = others.filter(|number| self.has(*number, set, id));
        found.any(|number| set.outlives_process() || peers::is_running(&self.dir, number))
    }

    /// Whether the file with this number has an id.
    fn has(&self, number: usize, set: IdSet, id: IdHash) -> bool {
        let mut others = self.others.borrow_mut();
        if let Some((_, file)) = others.iter().find(|(other, _)| *other == number) {
            return id.is_in(&read_bucket(file, set, id));
        }
        let Ok(file) = File::open(file_path(&self.dir, number)) else { return false };
        let has_id = id.is_in(&read_bucket(&file, set, id));
        if others.len() < MAX_OPEN_FILES {
            others.push((number, file));
        }
        has_id
    }
}

/// Reads the bucket of an id; what the file lacks is empty.
fn read_bucket(file: &File, set: IdSet, id: IdHash) -> [u64; BUCKET_ENTRIES] {
    let mut bytes = [0; BUCKET_BYTES];
    let position = set.offset() + (id.bucket * BUCKET_BYTES) as u64;
    let read = file.read_at(&mut bytes, position).unwrap_or(0);
    let mut bucket = [0; BUCKET_ENTRIES];
    for (entry, bytes) in bucket.iter_mut().zip(entries(&bytes[..read])) {
        *entry = bytes;
    }
    bucket
}

fn file_path(dir: &Path, number: usize) -> PathBuf {
    dir.join(format!("aniseyoke-ids.{number}"))
}

#[cfg(test)]
mod tests;
