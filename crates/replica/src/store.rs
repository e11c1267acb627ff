//! The log on disk, in redb, with a copy in memory that raft reads.

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error as Raft, GetEntriesContext, RaftState, Storage, StorageError};
use redb::backends::FileBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fs::{File, OpenOptions};
use std::path::Path;

/// Entries by index.
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// What else raft keeps, by name.
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const HARD: &str = "hard";
const SNAPSHOT: &str = "snapshot";

/// Why the store can't be read or written.
pub type Failed = Box<dyn std::error::Error + Send + Sync>;

/// Bytes that are written anew at once.
const PART: usize = 1 << 20;

/// Writes every byte again as it is, and has the disk take them. Danger: what is found may stand in memory only, if the sync
/// of it failed in a process that then ended; a later sync would say nothing of that.
fn write_anew(bytes: &impl StorageBackend) -> std::io::Result<()> {
    let length = bytes.len()?;
    let mut part = vec![0; PART];
    let mut at = 0;
    while at < length {
        let size = usize::try_from(length - at).unwrap_or(PART).min(PART);
        bytes.read(at, &mut part[..size])?;
        bytes.write(at, &part[..size])?;
        at += size as u64;
    }
    if length > 0 {
        bytes.sync_data()?;
    }
    Ok(())
}

/// The log on disk.
pub struct Store {
    disk: Database,
    hard: HardState,
    /// What the entries before the first one come to; empty at the start but for the members.
    snapshot: Snapshot,
    /// From the one behind the snapshot on.
    entries: Vec<Entry>,
}

impl Store {
    /// Opens the log in a file, or begins one there with these members.
    ///
    /// # Errors
    /// If the file can't be had, is no log, or is one of other members.
    pub fn open(path: &Path, members: &[u64]) -> Result<Self, Failed> {
        if !path.exists() {
            Self::begin(path, members)?;
        }
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Self::open_on(FileBackend::new(file)?, members)
    }

    /// Makes a log under another name and gives it its own once it is complete. Danger: one whose making was cut short could
    /// never be opened again; and one whose name is not on disk is gone after a power loss, with every vote in it.
    fn begin(path: &Path, members: &[u64]) -> Result<(), Failed> {
        let mut new = path.as_os_str().to_owned();
        new.push(".new");
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new)?;
        drop(Self::open_on(FileBackend::new(file)?, members)?);
        File::open(&new)?.sync_all()?;
        std::fs::rename(&new, path)?;
        let folder = path.parent().filter(|folder| !folder.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()?;
        Ok(())
    }

    /// As [`Self::open`], on anything that holds bytes.
    ///
    /// # Errors
    /// As [`Self::open`].
    pub fn open_on(bytes: impl StorageBackend, members: &[u64]) -> Result<Self, Failed> {
        write_anew(&bytes)?;
        let disk = Database::builder().create_with_backend(bytes)?;
        let begin = disk.begin_write()?;
        begin.open_table(LOG)?;
        begin.open_table(META)?;
        begin.commit()?;
        let (mut hard, mut snapshot, mut entries) = (HardState::default(), None, Vec::new());
        {
            let read = disk.begin_read()?;
            let meta = read.open_table(META)?;
            if let Some(bytes) = meta.get(HARD)? {
                hard = HardState::parse_from_bytes(bytes.value())?;
            }
            if let Some(bytes) = meta.get(SNAPSHOT)? {
                snapshot = Some(Snapshot::parse_from_bytes(bytes.value())?);
            }
            for row in read.open_table(LOG)?.iter()? {
                entries.push(Entry::parse_from_bytes(row?.1.value())?);
            }
        }
        let snapshot = match snapshot {
            Some(snapshot) => snapshot,
            None if !entries.is_empty() => return Err("it has records, and not whose they are".into()),
            None => {
                let mut first = Snapshot::default();
                first.mut_metadata().mut_conf_state().voters = members.to_vec();
                let write = disk.begin_write()?;
                write.open_table(META)?.insert(SNAPSHOT, &*first.write_to_bytes()?)?;
                write.commit()?;
                first
            }
        };
        // Danger: with other members there could be two majorities that know nothing of each other.
        let sorted = |ids: &[u64]| ids.iter().copied().collect::<std::collections::BTreeSet<u64>>();
        let held = sorted(&snapshot.get_metadata().get_conf_state().voters);
        if held != sorted(members) {
            return Err(format!("it is a log of members {held:?}, and not of {members:?}").into());
        }
        let mut store = Store { disk, hard, snapshot, entries };
        // Entries that a snapshot covers stay until the next write; they do not count.
        let behind = store.behind();
        store.entries.retain(|e| e.index > behind);
        let whole = store.entries.iter().zip(behind + 1..).all(|(entry, index)| entry.index == index);
        if !whole {
            return Err("the log has a gap".into());
        }
        Ok(store)
    }

    /// The index of the last entry that the snapshot covers.
    fn behind(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    fn place(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.behind() + 1)?).ok()
    }

    /// Entries that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// What the entries that are not kept any more come to.
    pub fn snapshot_data(&self) -> &[u8] {
        self.snapshot.get_data()
    }

    /// The members of the group.
    pub fn members(&self) -> &ConfState {
        self.snapshot.get_metadata().get_conf_state()
    }

    /// Writes what raft says has to be on disk, in one step: entries, in place of any from their first on, and the hard
    /// state. All of it is there afterwards, or none.
    ///
    /// # Errors
    /// If it is not on disk; memory is as it was.
    pub(crate) fn write(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), Failed> {
        if entries.is_empty() && hard.is_none() {
            return Ok(());
        }
        let place = match entries.first() {
            Some(first) => self.place(first.index).filter(|at| *at <= self.entries.len()),
            None => Some(self.entries.len()),
        };
        let place = place.ok_or("entries leave a gap in the log, or are covered by its snapshot")?;
        let write = self.disk.begin_write()?;
        {
            let mut log = write.open_table(LOG)?;
            if let Some(first) = entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
            }
            for entry in entries {
                log.insert(entry.index, &*entry.write_to_bytes()?)?;
            }
            if let Some(hard) = hard {
                write.open_table(META)?.insert(HARD, &*hard.write_to_bytes()?)?;
            }
        }
        write.commit()?;
        if !entries.is_empty() {
            self.entries.truncate(place);
            self.entries.extend_from_slice(entries);
        }
        hard.into_iter().for_each(|hard| self.hard = hard.clone());
        Ok(())
    }

    /// The commit index has moved; that alone need not be on disk.
    pub(crate) fn committed(&mut self, index: u64) {
        self.hard.commit = index;
    }

    /// Takes a snapshot of another replica in place of what is here.
    ///
    /// # Errors
    /// As [`Self::write`].
    pub(crate) fn replace(&mut self, snapshot: Snapshot) -> Result<(), Failed> {
        let index = snapshot.get_metadata().index;
        if index < self.behind() {
            return Err("a snapshot is older than the one that is here".into());
        }
        let mut hard = self.hard.clone();
        hard.term = hard.term.max(snapshot.get_metadata().term);
        hard.commit = index;
        self.cover(snapshot, hard, |_| false)
    }

    /// Drops entries up to one that was agreed on and applied; `data` is what they come to.
    ///
    /// # Errors
    /// As [`Self::write`], and if that entry is not here.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), Failed> {
        if index <= self.behind() {
            return Ok(());
        }
        let term = self.term(index)?;
        let mut snapshot = self.snapshot.clone();
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (index, term);
        snapshot.data = data.into();
        self.cover(snapshot, self.hard.clone(), |entry| entry > index)
    }

    fn cover(
        &mut self,
        snapshot: Snapshot,
        hard: HardState,
        stays: impl Fn(u64) -> bool,
    ) -> Result<(), Failed> {
        let write = self.disk.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            meta.insert(SNAPSHOT, &*snapshot.write_to_bytes()?)?;
            meta.insert(HARD, &*hard.write_to_bytes()?)?;
            write.open_table(LOG)?.retain(|index, _| stays(index))?;
        }
        write.commit()?;
        self.entries.retain(|e| stays(e.index));
        (self.snapshot, self.hard) = (snapshot, hard);
        Ok(())
    }
}

impl Storage for Store {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState::new(self.hard.clone(), self.members().clone()))
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        let from = self.place(low).ok_or(Raft::Store(StorageError::Compacted))?;
        let to = self.place(high).ok_or(Raft::Store(StorageError::Compacted))?;
        let part = self.entries.get(from..to).ok_or(Raft::Store(StorageError::Unavailable))?;
        let mut part = part.to_vec();
        raft::util::limit_size(&mut part, max_size.into());
        Ok(part)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.behind() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let at = self.place(index).ok_or(Raft::Store(StorageError::Compacted))?;
        self.entries.get(at).map(|e| e.term).ok_or(Raft::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.behind() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.behind() + self.entries.len() as u64)
    }

    fn snapshot(&self, index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.behind() < index {
            return Err(Raft::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
