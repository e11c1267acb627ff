//! What a cache node keeps: copies of values, the least recently used dropped first.

use aniseyoke_lab_day::clock::Nanos;
use lru::LruCache;
use std::num::NonZeroUsize;

/// A kept copy.
#[derive(Clone, Copy, Debug)]
struct Copy {
    /// The value's version; a write makes another, and with it this copy void.
    version: u32,
    stored: Nanos,
}

/// The copies of one node.
#[derive(Debug)]
pub struct Memory {
    copies: LruCache<u64, Copy>,
    ttl: Nanos,
}

impl Memory {
    /// Room for so many copies, each good for `ttl`.
    pub fn new(room: usize, ttl: Nanos) -> Self {
        Memory { copies: LruCache::new(NonZeroUsize::new(room).unwrap_or(NonZeroUsize::MIN)), ttl }
    }

    /// Stores a copy of this version.
    pub fn store(&mut self, now: Nanos, key: u64, version: u32) {
        self.copies.put(key, Copy { version, stored: now });
    }

    /// Whether a copy of the present version is kept; a void one is dropped.
    pub fn has(&mut self, now: Nanos, key: u64, present: u32) -> bool {
        let Some(copy) = self.copies.get(&key) else { return false };
        let good = copy.version == present && now.saturating_sub(copy.stored) <= self.ttl;
        if !good {
            self.copies.pop(&key);
        }
        good
    }

    /// Copies kept.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.copies.clear();
    }
}

#[cfg(test)]
mod tests;
