//! Deduplication of publishers' calls, so that a call that is retried is not numbered twice.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// How many publishers are remembered; the least recently used one is evicted.
const MAX_PUBLISHERS: usize = 1024;
/// How many calls of each publisher are remembered.
const MAX_CALLS: usize = 256;
/// The longest name of a publisher, in bytes.
pub const MAX_NAME_BYTES: usize = 256;

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallStatus {
    /// It was not numbered yet.
    New,
    /// It was numbered; this is the number of its last entry.
    Numbered(u64),
    /// It is older than every call that is remembered of this publisher, so that it may have been numbered before.
    Expired,
}

/// The calls of one publisher.
#[derive(Default)]
struct PublisherHistory {
    /// The value of [`Publishers::clock`] at its latest call.
    last_used: u64,
    /// The sequence of each call and the number of its last entry, in the order of their arrival.
    calls: VecDeque<(u64, u64)>,
    /// The highest sequence that was evicted.
    evicted: Option<u64>,
}

/// The calls of all publishers, bounded in number.
#[derive(Default)]
pub struct Publishers {
    histories: FxHashMap<String, PublisherHistory>,
    /// Counts calls, to find the least recently used publisher.
    clock: u64,
}

impl Publishers {
    /// What is known of a call.
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
            self.evict_oldest();
        }
        let history = self.histories.entry(publisher.to_owned()).or_default();
        history.last_used = self.clock;
        history.calls.push_back((sequence, through));
        if history.calls.len() > MAX_CALLS {
            let evicted = history.calls.pop_front().map(|(sequence, _)| sequence);
            history.evicted = history.evicted.max(evicted);
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.histories.iter().min_by_key(|(_, history)| history.last_used);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.histories.remove(&name);
        }
    }
}

#[cfg(test)]
mod tests;
