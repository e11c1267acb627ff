//! The value cache of a node, with eviction of the least recently used value.

use aniseyoke_lab_day::clock::Nanos;
use lru::LruCache;
use std::num::NonZeroUsize;

/// The version and age of a cached value.
#[derive(Clone, Copy, Debug)]
struct CachedValue {
    /// The stored version; a write creates a new version, which invalidates this one.
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
    /// Creates a cache for `capacity` values, which expire after `ttl`.
    pub fn new(capacity: usize, ttl: Nanos) -> Self {
        ValueCache { values: LruCache::new(NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN)), ttl }
    }

    /// Caches this version of a key's value.
    pub fn store(&mut self, now: Nanos, key: u64, version: u32) {
        self.values.put(key, CachedValue { version, stored: now });
    }

    /// Whether the current version is cached; a stale or expired value is removed.
    pub fn contains(&mut self, now: Nanos, key: u64, current: u32) -> bool {
        let Some(value) = self.values.get(&key) else { return false };
        let valid = value.version == current && now.saturating_sub(value.stored) <= self.ttl;
        if !valid {
            self.values.pop(&key);
        }
        valid
    }

    /// Number of cached values.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Removes all values.
    pub fn clear(&mut self) {
        self.values.clear();
    }
}

#[cfg(test)]
mod tests;
