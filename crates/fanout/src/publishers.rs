//! Which publisher's calls were numbered already, so that one that is made again is not numbered twice.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Publishers that are remembered; the one that was not heard for longest goes.
const PUBLISHERS: usize = 1024;
/// Calls that are remembered of each.
const CALLS: usize = 256;
/// A publisher's name is at most this long, in bytes.
pub const NAME_MOST: usize = 256;

/// What is known of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// Nothing: it is to be numbered.
    New,
    /// It was numbered; this is the number of its last entry.
    Through(u64),
    /// It is older than all that are remembered of this publisher: whether it was numbered can't be told.
    TooOld,
}

#[derive(Default)]
struct Known {
    heard: u64,
    /// Sequence, and the number of its last entry, in the order they came.
    calls: VecDeque<(u64, u64)>,
    /// The highest sequence that is no longer remembered.
    forgotten: Option<u64>,
}

/// The publishers.
#[derive(Default)]
pub struct Publishers {
    known: FxHashMap<String, Known>,
    heard: u64,
}

impl Publishers {
    /// What is known of this call.
    pub fn seen(&self, publisher: &str, sequence: u64) -> Seen {
        let Some(known) = self.known.get(publisher) else { return Seen::New };
        match known.calls.iter().find(|(seen, _)| *seen == sequence) {
            Some((_, through)) => Seen::Through(*through),
            None if known.forgotten.is_some_and(|forgotten| sequence <= forgotten) => Seen::TooOld,
            None => Seen::New,
        }
    }

    /// Remembers that a call was numbered, and the number of its last entry.
    pub fn note(&mut self, publisher: &str, sequence: u64, through: u64) {
        self.heard += 1;
        if !self.known.contains_key(publisher) && self.known.len() >= PUBLISHERS {
            let oldest = self.known.iter().min_by_key(|(_, known)| known.heard).map(|(name, _)| name.clone());
            oldest.map(|name| self.known.remove(&name));
        }
        let known = self.known.entry(publisher.to_owned()).or_default();
        known.heard = self.heard;
        known.calls.push_back((sequence, through));
        if known.calls.len() > CALLS {
            let gone = known.calls.pop_front().map(|(sequence, _)| sequence);
            known.forgotten = known.forgotten.max(gone);
        }
    }
}

#[cfg(test)]
mod tests;
