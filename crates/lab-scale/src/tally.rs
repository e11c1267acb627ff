//! Records when each purge or version, identified by its number, was in force at all members. Does no I/O and reads no
//! clock.

use serde::{Deserialize, Serialize};

/// The maximum number that is recorded. Higher ones are only counted, in [`CompletionTally::beyond`].
pub const MAX_NUMBER: u64 = 1_000_000;

/// The progress of each of a set of members, and when each number was in force at all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CompletionTally {
    /// The highest number that each member has.
    progress: Vec<u64>,
    /// At index `n - 1`, for number `n`: how many members have it, and when the last of them got it, in nanoseconds.
    done: Vec<(u32, u64)>,
    /// How often a number above [`MAX_NUMBER`] was reported.
    pub beyond: u64,
}

impl CompletionTally {
    /// Creates a tally of members that are numbered from 0 and have nothing yet.
    pub fn new(members: usize) -> Self {
        CompletionTally { progress: vec![0; members], ..CompletionTally::default() }
    }

    /// The number of members.
    pub fn members(&self) -> usize {
        self.progress.len()
    }

    fn advance(&mut self, member: usize, through: u64, at: u64) {
        let Some(progress) = self.progress.get_mut(member) else { return };
        if through > MAX_NUMBER {
            self.beyond += 1;
            return;
        }
        if self.done.len() < through as usize {
            self.done.resize(through as usize, (0, 0));
        }
        let from = *progress as usize;
        if (through as usize) > from {
            for (count, last) in &mut self.done[from..through as usize] {
                *count += 1;
                *last = (*last).max(at);
            }
            *progress = through;
        }
    }

    /// Records that a member has everything through a number since `at`.
    pub fn record(&mut self, member: usize, through: u64, at: u64) {
        self.advance(member, through, at);
    }

    /// Records that everything through a number does not apply to a member, because it started after their publication.
    pub fn record_not_applicable(&mut self, member: usize, through: u64) {
        self.advance(member, through, 0);
    }

    /// Returns the number through which all members have everything.
    pub fn reached_by_all(&self) -> u64 {
        self.progress.iter().copied().min().unwrap_or(u64::MAX)
    }

    /// Returns the highest number that any member has.
    pub fn newest(&self) -> u64 {
        self.done.len() as u64
    }

    /// Returns when the last member got `number`, or `None` if a member does not have it.
    pub fn completed_at(&self, number: u64) -> Option<u64> {
        let (count, last) = *self.done.get(usize::try_from(number.checked_sub(1)?).ok()?)?;
        (count as usize == self.progress.len()).then_some(last)
    }

    /// Returns the members that don't have everything through `newest`, each with the number that it has.
    pub fn lacking(&self, newest: u64) -> impl Iterator<Item = (usize, u64)> + '_ {
        self.progress.iter().copied().enumerate().filter(move |(_, progress)| *progress < newest)
    }

    /// Adds the tally of other members, which are numbered after these.
    pub fn merge(&mut self, other: CompletionTally) {
        if self.done.len() < other.done.len() {
            self.done.resize(other.done.len(), (0, 0));
        }
        for (own, others) in self.done.iter_mut().zip(other.done) {
            *own = (own.0 + others.0, own.1.max(others.1));
        }
        self.progress.extend(other.progress);
        self.beyond += other.beyond;
    }
}

#[cfg(test)]
mod tests;
