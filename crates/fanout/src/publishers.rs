//! Deduplicates publishers' calls, so that a retried call is not numbered twice.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// The maximum number of remembered publishers. The least recently used one is evicted.
const MAX_PUBLISHERS: usize = 1024;
/// The maximum number of remembered calls of each publisher.
const MAX_CALLS: usize = 256;
/// The maximum length of a publisher's name, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// Whether a call was numbered before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// The call was not numbered yet.
    New,
    /// The call was numbered. Holds the number of its last entry.
    Numbered(u64),
    /// The call is not newer than an evicted call of this publisher, so it may have been numbered before.
    Expired,
}

/// The calls of one publisher.
#[derive(Default)]
struct PublisherHistory {
    /// The value of [`Publishers::clock`] at its latest call.
    last_used: u64,
    /// The sequence of each call and the number of its last entry, in order of arrival.
    calls: VecDeque<(u64, u64)>,
    /// The highest evicted sequence.
    evicted: Option<u64>,
}

/// The remembered calls of all publishers, bounded in number.
#[derive(Default)]
pub struct Publishers {
    histories: FxHashMap<String, PublisherHistory>,
    /// Counts calls, to find the least recently used publisher.
    clock: u64,
}

impl Publishers {
    /// Returns whether a call was numbered before.
    pub fn status(&self, publisher: &str, sequence: u64) -> CallStatus {
        let Some(history) = self.histories.get(publisher) else { return CallStatus::New };
        match history.calls.iter().find(|(known, _)| *known == sequence) {
            Some((_, through)) => CallStatus::Numbered(*through),
            None if history.evicted.is_some_and(|evicted| sequence <= evicted) => CallStatus::Expired,
            None => CallStatus::New,
        }
    }

    /// Records that a call was numbered, and the number of its last entry.
    pub fn record(&mut self, publisher: &str, sequence: u64, through: u64) {
        self.clock += 1;
        if !self.histories.contains_key(publisher) && self.histories.len() >= MAX_PUBLISHERS {
            self.evict_least_recently_used();
        }
        let history = self.histories.entry(publisher.to_owned()).or_default();
        history.last_used = self.clock;
        history.calls.push_back((sequence, through));
        if history.calls.len() > MAX_CALLS {
            let evicted = history.calls.pop_front().map(|(sequence, _)| sequence);
            history.evicted = history.evicted.max(evicted);
        }
    }

    fn evict_least_recently_used(&mut self) {
        let least_recently_used = self.histories.iter().min_by_key(|(_, history)| history.last_used);
        if let Some(name) = least_recently_used.map(|(name, _)| name.clone()) {
            self.histories.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
