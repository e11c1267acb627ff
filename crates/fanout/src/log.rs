//! A bounded in-memory log of purges: keys under consecutive numbers, from 1 within an epoch.

use crate::Progress;
use std::collections::VecDeque;

/// Why entries can't be read from a log, or added to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// The first of the entries was dropped already; this is the number of the oldest one retained.
    #[error("entries before {0} are no longer in the log")]
    Compacted(u64),
    /// The log ends before the first of the entries to add; this is its newest number.
    #[error("the log ends at {0}, before the entries to add")]
    Gap(u64),
}

/// A bounded log of purges.
#[derive(Clone, Debug)]
pub struct Log {
    epoch: u64,
    /// The number of the first entry that is retained, or would be.
    first: u64,
    keys: VecDeque<u64>,
    capacity: usize,
}

impl Log {
    /// An empty log whose newest number is that of `position`. It retains at most `capacity` entries of eight bytes each.
    pub fn new(position: Progress, capacity: usize) -> Self {
        let first = position.through.saturating_add(1);
        Log { epoch: position.epoch, first, keys: VecDeque::new(), capacity: capacity.max(1) }
    }

    /// The log's epoch; 0 where none is known yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The newest number; 0 before the first entry of an epoch.
    pub fn newest(&self) -> u64 {
        self.first - 1 + self.keys.len() as u64
    }

    /// How many entries are retained at most.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The epoch and the newest number.
    pub fn position(&self) -> Progress {
        Progress { epoch: self.epoch, through: self.newest() }
    }

    /// Whether all entries after this number are retained. True past the newest one, where there are none.
    pub fn retains_after(&self, number: u64) -> bool {
        number >= self.first - 1
    }

    /// Drops all entries and continues at this position.
    pub fn reset(&mut self, position: Progress) {
        *self = Log::new(position, self.capacity);
    }

    /// Appends an entry and returns its number. At capacity the oldest entry is dropped.
    pub fn append(&mut self, key: u64) -> u64 {
        if self.keys.len() >= self.capacity {
            self.keys.pop_front();
            self.first += 1;
        }
        self.keys.push_back(key);
        self.newest()
    }

    /// Adds the entries from `after + 1` on, skipping those that are there already. Returns how many were new.
    ///
    /// # Errors
    /// [`LogError::Gap`] if the log ends before them; nothing is added then.
    pub fn extend(&mut self, after: u64, keys: &[u64]) -> Result<usize, LogError> {
        let newest = self.newest();
        let known = newest.checked_sub(after).ok_or(LogError::Gap(newest))?;
        let new = keys.get(usize::try_from(known).unwrap_or(usize::MAX)..).unwrap_or_default();
        for key in new {
            self.append(*key);
        }
        Ok(new.len())
    }

    /// The entries after this number, at most `limit` of them.
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
