//! A bounded log of purges: keys under numbers that rise by one, from 1 within an epoch.

use crate::Progress;
use std::collections::VecDeque;

/// Why entries can't be had from a log, or put into it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Missing {
    /// Entries before this number are no longer kept.
    NoLongerKept(u64),
    /// The log ends before the entries that were offered: this is its newest number.
    Gap(u64),
}

/// A log.
#[derive(Clone, Debug)]
pub struct Log {
    epoch: u64,
    /// The number of the first entry that is kept, or would be.
    first: u64,
    keys: VecDeque<u64>,
    most: usize,
}

impl Log {
    /// An empty log that stands at `at` and keeps at most so many entries, eight bytes each.
    pub fn new(at: Progress, most: usize) -> Self {
        let first = at.through.saturating_add(1);
        Log { epoch: at.epoch, first, keys: VecDeque::new(), most: most.max(1) }
    }

    /// Its epoch; 0 where none is known yet.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// The newest number; 0 before the first entry of an epoch.
    pub fn newest(&self) -> u64 {
        self.first - 1 + self.keys.len() as u64
    }

    /// How many entries it keeps at most.
    pub fn most(&self) -> usize {
        self.most
    }

    /// Where it stands.
    pub fn at(&self) -> Progress {
        Progress { epoch: self.epoch, through: self.newest() }
    }

    /// Whether all entries after this number are there; none are missing to who is past the newest.
    pub fn keeps(&self, after: u64) -> bool {
        after >= self.first - 1
    }

    /// Empties it, so that it stands at `at`.
    pub fn reset(&mut self, at: Progress) {
        *self = Log::new(at, self.most);
    }

    /// Appends one; its number. The oldest goes where it would be too long.
    pub fn append(&mut self, key: u64) -> u64 {
        if self.keys.len() >= self.most {
            self.keys.pop_front();
            self.first += 1;
        }
        self.keys.push_back(key);
        self.newest()
    }

    /// Takes the entries `after + 1` and on, passing over those that it has; how many were new.
    ///
    /// # Errors
    /// [`Missing::Gap`] if it ends before them; nothing is taken then.
    pub fn extend(&mut self, after: u64, keys: &[u64]) -> Result<usize, Missing> {
        let newest = self.newest();
        let known = newest.checked_sub(after).ok_or(Missing::Gap(newest))?;
        let new = keys.get(usize::try_from(known).unwrap_or(usize::MAX)..).unwrap_or_default();
        for key in new {
            self.append(*key);
        }
        Ok(new.len())
    }

    /// The entries after this number, at most so many.
    ///
    /// # Errors
    /// [`Missing::NoLongerKept`] if the first of them is gone.
    pub fn after(&self, after: u64, most: usize) -> Result<Vec<u64>, Missing> {
        let skip = (after + 1).checked_sub(self.first).ok_or(Missing::NoLongerKept(self.first))?;
        let skip = usize::try_from(skip).unwrap_or(usize::MAX).min(self.keys.len());
        Ok(self.keys.range(skip..).take(most).copied().collect())
    }
}

#[cfg(test)]
mod tests;
