//! What became of requests, counted where they are answered and looked at from other threads.

use std::sync::atomic::{AtomicU64, Ordering};

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It had an answer from a node.
    Served,
    /// It was refused.
    Refused,
    /// It failed.
    Failed,
}

/// Counts of requests by their fate.
#[derive(Debug, Default)]
pub struct Tally([AtomicU64; 3]);

impl Tally {
    /// One more.
    pub fn count(&self, fate: Fate) {
        self.0[fate as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Requests served, refused and failed since the last call.
    pub fn take(&self) -> [u64; 3] {
        [0, 1, 2].map(|n: usize| self.0[n].swap(0, Ordering::Relaxed))
    }
}
