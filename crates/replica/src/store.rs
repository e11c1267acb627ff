//! The log on disk, in redb, with a copy in memory that Raft reads.

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error as RaftError, GetEntriesContext, RaftState, Storage, StorageError};
use redb::backends::FileBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::fs::{File, OpenOptions};
use std::path::Path;

/// Log entries by index.
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// The hard state and the snapshot, by key.
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const HARD_STATE: &str = "hard";
const SNAPSHOT: &str = "snapshot";

/// An error of redb, the file system or Raft, or invalid data.
pub type StoreError = Box<dyn std::error::Error + Send + Sync>;

/// The size of a chunk that is rewritten at once.
const REWRITE_CHUNK_BYTES: usize = 1 << 20;

/// Rewrites the whole file and syncs it. After a failed sync, the page cache may hold data that is not on disk, and a
/// later sync may succeed anyway. Rewriting makes all of it dirty again.
fn rewrite_and_sync(backend: &impl StorageBackend) -> std::io::Result<()> {
    let length = backend.len()?;
    let mut chunk = vec![0; REWRITE_CHUNK_BYTES];
    let mut position = 0;
    while position < length {
        let size = usize::try_from(length - position).unwrap_or(REWRITE_CHUNK_BYTES).min(REWRITE_CHUNK_BYTES);
        backend.read(position, &mut chunk[..size])?;
        backend.write(position, &chunk[..size])?;
        position += size as u64;
    }
    if length > 0 {
        backend.sync_data()?;
    }
    Ok(())
}

/// The log on disk.
pub struct Store {
    disk: Database,
    hard: HardState,
    /// Replaces the entries before `entries`; in a new log it contains only the members.
    snapshot: Snapshot,
    /// The entries after the snapshot.
    entries: Vec<Entry>,
}

impl Store {
    /// Opens the log in a file, or creates a log with these members if the file does not exist.
    ///
    /// # Errors
    /// If the file can't be opened, is not a log, or is the log of a group with other members.
    pub fn open(path: &Path, members: &[u64]) -> Result<Self, StoreError> {
        if !path.exists() {
            Self::create(path, members)?;
        }
        let file = OpenOptions::new().read(true).write(true).open(path)?;
        Self::open_on(FileBackend::new(file)?, members)
    }

    /// Creates a log under a temporary name and renames it once it is complete. Otherwise a log whose creation was
    /// interrupted could never be opened. Without the sync of the directory a power failure could lose the log, so the
    /// replica could vote twice in a term.
    fn create(path: &Path, members: &[u64]) -> Result<(), StoreError> {
        let mut new = path.as_os_str().to_owned();
        new.push(".new");
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new)?;
        drop(Self::open_on(FileBackend::new(file)?, members)?);
        File::open(&new)?.sync_all()?;
        std::fs::rename(&new, path)?;
        let directory = path.parent().filter(|directory| !directory.as_os_str().is_empty());
        File::open(directory.unwrap_or(Path::new(".")))?.sync_all()?;
        Ok(())
    }

    /// As [`Self::open`], on any storage backend.
    ///
    /// # Errors
    /// As [`Self::open`].
    pub fn open_on(backend: impl StorageBackend, members: &[u64]) -> Result<Self, StoreError> {
        rewrite_and_sync(&backend)?;
        let disk = Database::builder().create_with_backend(backend)?;
        let write = disk.begin_write()?;
        write.open_table(LOG)?;
        write.open_table(META)?;
        write.commit()?;
        let (mut hard, mut snapshot, mut entries) = (HardState::default(), None, Vec::new());
        {
            let read = disk.begin_read()?;
            let meta = read.open_table(META)?;
            if let Some(bytes) = meta.get(HARD_STATE)? {
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
            None if !entries.is_empty() => return Err("it has records but no list of members".into()),
            None => {
                let mut first = Snapshot::default();
                first.mut_metadata().mut_conf_state().voters = members.to_vec();
                let write = disk.begin_write()?;
                write.open_table(META)?.insert(SNAPSHOT, &*first.write_to_bytes()?)?;
                write.commit()?;
                first
            }
        };
        // With a different member list there could be two disjoint majorities.
        let sorted = |ids: &[u64]| ids.iter().copied().collect::<std::collections::BTreeSet<u64>>();
        let stored = sorted(&snapshot.get_metadata().get_conf_state().voters);
        if stored != sorted(members) {
            return Err(format!("it is a log of members {stored:?}, and not of {members:?}").into());
        }
        let mut store = Store { disk, hard, snapshot, entries };
        // Ignores entries that the snapshot covers. None are expected: they are deleted in the transaction that stores
        // the snapshot.
        let snapshot_index = store.snapshot_index();
        store.entries.retain(|e| e.index > snapshot_index);
        let contiguous =
            store.entries.iter().zip(snapshot_index + 1..).all(|(entry, index)| entry.index == index);
        if !contiguous {
            return Err("the log has a gap".into());
        }
        Ok(store)
    }

    /// The index of the last entry that the snapshot covers.
    fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The position of an index in `entries`, which may be past the end; `None` if the snapshot covers the index.
    fn offset(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.snapshot_index() + 1)?).ok()
    }

    /// The number of entries that the snapshot does not cover.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries besides the snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The data of the snapshot that replaces earlier entries.
    pub fn snapshot_data(&self) -> &[u8] {
        self.snapshot.get_data()
    }

    /// The members of the group.
    pub fn members(&self) -> &ConfState {
        self.snapshot.get_metadata().get_conf_state()
    }

    /// Writes entries and the hard state in one transaction. The entries replace all existing ones from the index of the
    /// first entry.
    ///
    /// # Errors
    /// If the entries would leave a gap in the log, if the snapshot covers the first of them, or if the transaction fails;
    /// the state in memory is unchanged.
    pub(crate) fn write(&mut self, entries: &[Entry], hard: Option<&HardState>) -> Result<(), StoreError> {
        if entries.is_empty() && hard.is_none() {
            return Ok(());
        }
        let offset = match entries.first() {
            Some(first) => self.offset(first.index).filter(|offset| *offset <= self.entries.len()),
            None => Some(self.entries.len()),
        };
        let offset = offset.ok_or("entries leave a gap in the log, or are covered by its snapshot")?;
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
                write.open_table(META)?.insert(HARD_STATE, &*hard.write_to_bytes()?)?;
            }
        }
        write.commit()?;
        if !entries.is_empty() {
            self.entries.truncate(offset);
            self.entries.extend_from_slice(entries);
        }
        hard.into_iter().for_each(|hard| self.hard = hard.clone());
        Ok(())
    }

    /// Updates the commit index in memory only: Raft does not require that it is persisted on its own.
    pub(crate) fn set_commit_index(&mut self, index: u64) {
        self.hard.commit = index;
    }

    /// Replaces the log with a snapshot received from another replica.
    ///
    /// # Errors
    /// If the snapshot is older than the current one, or the transaction fails; the state in memory is unchanged.
    pub(crate) fn replace(&mut self, snapshot: Snapshot) -> Result<(), StoreError> {
        let index = snapshot.get_metadata().index;
        if index < self.snapshot_index() {
            return Err("the snapshot is older than the current one".into());
        }
        // The term must not be lower than that of the snapshot's last entry. The vote stays: if Raft has changed its
        // hard state, the caller writes that next.
        let mut hard = self.hard.clone();
        hard.term = hard.term.max(snapshot.get_metadata().term);
        hard.commit = index;
        self.install_snapshot(snapshot, hard, |_| false)
    }

    /// Replaces the entries up to a committed and applied index with a snapshot.
    ///
    /// # Errors
    /// If the entry at this index is not in the store, or the transaction fails; the state in memory is unchanged.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) -> Result<(), StoreError> {
        if index <= self.snapshot_index() {
            return Ok(());
        }
        let term = self.term(index)?;
        let mut snapshot = self.snapshot.clone();
        (snapshot.mut_metadata().index, snapshot.mut_metadata().term) = (index, term);
        snapshot.data = data.into();
        self.install_snapshot(snapshot, self.hard.clone(), |entry| entry > index)
    }

    fn install_snapshot(
        &mut self,
        snapshot: Snapshot,
        hard: HardState,
        retain: impl Fn(u64) -> bool,
    ) -> Result<(), StoreError> {
        let write = self.disk.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            meta.insert(SNAPSHOT, &*snapshot.write_to_bytes()?)?;
            meta.insert(HARD_STATE, &*hard.write_to_bytes()?)?;
            write.open_table(LOG)?.retain(|index, _| retain(index))?;
        }
        write.commit()?;
        self.entries.retain(|e| retain(e.index));
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
        let from = self.offset(low).ok_or(RaftError::Store(StorageError::Compacted))?;
        let to = self.offset(high).ok_or(RaftError::Store(StorageError::Compacted))?;
        let part = self.entries.get(from..to).ok_or(RaftError::Store(StorageError::Unavailable))?;
        let mut part = part.to_vec();
        raft::util::limit_size(&mut part, max_size.into());
        Ok(part)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.snapshot_index() {
            return Ok(self.snapshot.get_metadata().term);
        }
        let position = self.offset(index).ok_or(RaftError::Store(StorageError::Compacted))?;
        self.entries.get(position).map(|e| e.term).ok_or(RaftError::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.snapshot_index() + self.entries.len() as u64)
    }

    fn snapshot(&self, index: u64, _to: u64) -> raft::Result<Snapshot> {
        if self.snapshot_index() < index {
            return Err(RaftError::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
