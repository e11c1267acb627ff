//! The values that a cache node has cached, the least recently used evicted first.

use aniseyoke_lab_day::clock::Nanos;
use lru::LruCache;
use std::num::NonZeroUsize;

/// A cached value.
#[derive(Clone, Copy, Debug)]
struct CachedValue {
    /// The version that was stored; a write makes another, which invalidates this.
    version: u32,
    stored: Nanos,
}

/// The cached values of one node.
#[derive(Debug)]
pub struct ValueCache {
    values: LruCache<u64, CachedValue>,
    ttl: Nanos,
}

impl ValueCache {
    /// A cache of this capacity, whose values expire after `ttl`.
    pub fn new(capacity: usize, ttl: Nanos) -> Self {
        ValueCache { values: LruCache::new(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN)), ttl }
    }

    /// Stores this version of a key's value.
    pub fn store(&mut self, now: Nanos, key: u64, version: u32) {
        self.values.put(key, CachedValue { version, stored: now });
    }

    /// Whether the current version is cached; a stale one is dropped.
    pub fn contains(&mut self, now: Nanos, key: u64, current: u32) -> bool {
        let Some(value) = self.values.get(&key) else { return false };
        let good = value.version == current && now.saturating_sub(value.stored) <= self.ttl;
        if !good {
            self.values.pop(&key);
        }
        good
    }

    /// Values cached.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.values.clear();
    }
}

#[cfg(test)]
mod tests;
