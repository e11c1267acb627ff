//! A bounded in-memory log of purges. Entries are numbered consecutively, from 1 within each epoch.

use crate::Progress;
use std::collections::VecDeque;

/// Why entries can't be read from a log or added to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The first requested entry was already dropped. Holds the number of the oldest retained entry.
    #[error("entries before {0} are no longer in the log")]
    Compacted(u64),
    /// The log ends before the first entry to add. Holds the log's newest number.
    #[error("the log ends at {0}, before the entries to add")]
    Gap(u64),
}

/// A bounded log of purges.
#[derive(Clone, Debug)]
pub struct Log {
    epoch: u64,
    /// The number of the oldest retained entry, or of the next one if the log is empty.
    first: u64,
    keys: VecDeque<u64>,
    capacity: usize,
}

impl Log {
    /// Creates an empty log whose newest number is that of `position`. It retains at most `capacity` entries
    /// of eight bytes.
    pub fn new(position: Progress, capacity: usize) -> Self {
        let first = position.through.saturating_add(1);
        Log { epoch: position.epoch, first, keys: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// Returns the log's epoch, or 0 if none is known yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the newest number, or 0 before the first entry of an epoch.
    pub fn newest(&self) -> u64 {
        self.first - 1 + self.keys.len() as u64
    }

    /// Returns the maximum number of retained entries.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Returns the epoch and the newest number.
    pub fn position(&self) -> Progress {
        Progress { epoch: self.epoch, through: self.newest() }
    }

    /// Whether all entries after this number are retained. Also true past the newest number, where there are
    /// no entries.
    pub fn retains_after(&self, number: u64) -> bool {
        number >= self.first - 1
    }

    /// Drops all entries and continues from this position.
    pub fn reset(&mut self, position: Progress) {
        *self = Log::new(position, self.capacity);
    }

    /// Appends an entry and returns its number. Drops the oldest entry at capacity.
    pub fn append(&mut self, key: u64) -> u64 {
        if self.keys.len() >= self.capacity {
            self.keys.pop_front();
            self.first += 1;
        }
        self.keys.push_back(key);
        self.newest()
    }

    /// Adds the entries from `after + 1` on, skipping known ones. Returns how many were new.
    ///
    /// # Errors
    /// [`LogError::Gap`] if the log ends before them; the log is left unchanged.
    pub fn extend(&mut self, after: u64, keys: &[u64]) -> Result<usize, LogError> {
        let newest = self.newest();
        let known = newest.checked_sub(after).ok_or(LogError::Gap(newest))?;
        let new = keys.get(usize::try_from(known).unwrap_or(usize::MAX)..).unwrap_or_default();
        for key in new {
            self.append(*key);
        }
        Ok(new.len())
    }

    /// Returns at most `limit` entries after this number.
    ///
    /// # Errors
    /// [`LogError::Compacted`] if the first of them is no longer retained.
    pub fn entries_after(&self, number: u64, limit: usize) -> Result<Vec<u64>, LogError> {
        let skip = (number + 1).checked_sub(self.first).ok_or(LogError::Compacted(self.first))?;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX).min(self.keys.len());
        Ok(self.keys.range(skip..).take(limit).copied().collect())
    }
}

#[cfg(test)]
mod tests;
