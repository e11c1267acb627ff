//! A leaf's side of the purges: where it stands, what is new to it, and until when it may claim to have missed nothing.

use crate::{Nanos, Progress};

/// It asks again no more often than this.
const ASK: Nanos = 1_000_000_000;

/// What is to be done with what came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told<'a> {
    /// Nothing: it is known already, or from an epoch that is over.
    Nothing,
    /// Drop the objects of these keys, then tell [`Member::progress`].
    Drop(&'a [u64]),
    /// Drop every object that was held before, then tell [`Member::progress`].
    DropAll,
    /// Something is missing: say hello again with [`Member::progress`].
    Ask,
}

/// A leaf's side. It takes 64 bytes or less; what it hands out is done before anything else comes in.
#[derive(Clone, Debug)]
pub struct Member {
    at: Progress,
    lease: Nanos,
    /// When it was last told that it has everything, by whoever had that from the root.
    renewed: Option<Nanos>,
    asked: Option<Nanos>,
}

impl Member {
    /// A member that stands at `at`: the default where it holds no object yet. For `lease` nanoseconds after it was told
    /// that it has everything it may claim to be fresh.
    pub fn new(at: Progress, lease: Nanos) -> Self {
        Member { at, lease, renewed: None, asked: None }
    }

    /// Through where it has done everything: for `hello`, for the `purged` that follows each `hello`, and for one whenever
    /// it has changed. Without the one after `hello` it counts as lacking.
    pub fn progress(&self) -> Progress {
        self.at
    }

    /// Whether it may serve what it holds as fresh. Where it may not, objects are to be checked at their origin first, or
    /// served as stale where the operator allows that.
    pub fn fresh(&self, now: Nanos) -> bool {
        self.renewed.is_some_and(|renewed| now.saturating_sub(renewed) <= self.lease)
    }

    fn ask(&mut self, now: Nanos) -> Told<'static> {
        if self.asked.is_some_and(|asked| now.saturating_sub(asked) < ASK) {
            return Told::Nothing;
        }
        self.asked = Some(now);
        Told::Ask
    }

    /// Entries `after + 1` and on have come; with no keys, word that nothing newer than `after` is known.
    pub fn purges<'a>(&mut self, now: Nanos, epoch: u64, after: u64, keys: &'a [u64]) -> Told<'a> {
        if epoch < self.at.epoch {
            return Told::Nothing;
        }
        if self.at.is_empty() || epoch > self.at.epoch {
            return self.ask(now);
        }
        // Danger: to go on over a gap would claim what was never done.
        let Some(known) = self.at.through.checked_sub(after) else { return self.ask(now) };
        if keys.is_empty() {
            if known == 0 {
                self.renewed = Some(now);
            }
            return Told::Nothing;
        }
        match keys.get(usize::try_from(known).unwrap_or(usize::MAX)..) {
            Some(new) if !new.is_empty() => {
                self.at.through = self.at.through.saturating_add(new.len() as u64);
                Told::Drop(new)
            }
            _ => Told::Nothing,
        }
    }

    /// What it lacks is no longer kept: after everything is dropped it stands at `at`.
    pub fn flush(&mut self, at: Progress) -> Told<'static> {
        let behind = (self.at.epoch, self.at.through) < (at.epoch, at.through);
        if !behind {
            return Told::Nothing;
        }
        self.at = at;
        self.asked = None;
        Told::DropAll
    }
}

#[cfg(test)]
mod tests;
