//! A table of the hashes of ids, of fixed size. When it is full, new ids replace the oldest ones.

/// Number of buckets; a power of two.
const BUCKETS: usize = 4096;
/// Number of entries in a bucket.
pub(crate) const BUCKET_ENTRIES: usize = 8;
/// Length of a bucket as bytes.
pub(crate) const BUCKET_BYTES: usize = 8 * BUCKET_ENTRIES;
/// Length of a table as bytes.
pub(crate) const TABLE_BYTES: usize = BUCKETS * BUCKET_BYTES;
/// An entry is a tag, which tells the ids of a bucket apart, above a sequence number of this many bits.
const SEQUENCE_BITS: u32 = 24;
const SEQUENCE_MASK: u64 = (1 << SEQUENCE_BITS) - 1;

/// The hash of an id, divided into its bucket and its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdHash {
    pub(crate) bucket: usize,
    tag: u64,
}

impl IdHash {
    pub(crate) fn new(hash: u64) -> Self {
        IdHash { bucket: hash as usize % BUCKETS, tag: hash & !SEQUENCE_MASK }
    }

    /// Whether an entry of its bucket stands for this id.
    pub(crate) fn is_in(self, bucket: &[u64]) -> bool {
        bucket.iter().any(|entry| *entry != 0 && entry & !SEQUENCE_MASK == self.tag)
    }
}

/// A changed entry of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    /// Position of the entry in the table.
    pub(crate) position: usize,
    /// The entry; 0 if it is empty.
    pub(crate) entry: u64,
}

/// The table.
pub(crate) struct IdTable {
    entries: Vec<u64>,
    /// The sequence number of the newest entry; never 0.
    sequence: u64,
}

impl IdTable {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        IdTable { entries: vec![0; BUCKETS * BUCKET_ENTRIES], sequence: 1 }
    }

    /// Creates a table from the bytes of another one; missing bytes stand for empty entries.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Self {
        let mut table = Self::new();
        for (entry, bytes) in table.entries.iter_mut().zip(entries(bytes)) {
            // Memory that is not written to is not used.
            if bytes != 0 {
                *entry = bytes;
            }
        }
        table.sequence = table.entries.iter().map(|entry| entry & SEQUENCE_MASK).max().unwrap_or(0).max(1);
        table
    }

    /// Whether the table has this id.
    pub(crate) fn contains(&self, id: IdHash) -> bool {
        id.is_in(&self.entries[id.bucket * BUCKET_ENTRIES..][..BUCKET_ENTRIES])
    }

    /// Adds an id, in place of the oldest one in its bucket if that is full.
    pub(crate) fn insert(&mut self, id: IdHash) -> Change {
        self.sequence = (self.sequence + 1) & SEQUENCE_MASK;
        if self.sequence == 0 {
            self.sequence = 1;
        }
        let first = id.bucket * BUCKET_ENTRIES;
        let age = |entry: u64| match entry {
            0 => u64::MAX,
            _ => self.sequence.wrapping_sub(entry) & SEQUENCE_MASK,
        };
        let positions = first..first + BUCKET_ENTRIES;
        let position = positions.max_by_key(|position| age(self.entries[*position])).unwrap_or(first);
        let entry = id.tag | self.sequence;
        self.entries[position] = entry;
        Change { position, entry }
    }

    /// Removes an entry that [`Self::insert`] has made, if it is still there.
    pub(crate) fn remove(&mut self, inserted: Change) -> Option<Change> {
        let Change { position, entry } = inserted;
        (self.entries[position] == entry).then(|| {
            self.entries[position] = 0;
            Change { position, entry: 0 }
        })
    }
}

/// Returns the entries in the bytes of a table.
pub(crate) fn entries(bytes: &[u8]) -> impl Iterator<Item = u64> + '_ {
    bytes.as_chunks().0.iter().map(|bytes| u64::from_le_bytes(*bytes))
}
