//! One below a relay, and one that was.

use crate::{Nanos, Progress};

/// One below.
#[derive(Clone, Debug)]
pub(super) struct Below {
    pub name: String,
    /// A number drawn at its start.
    pub boot: u64,
    /// Where it was when it said hello.
    pub at: Progress,
    /// What it said is done.
    pub done: Progress,
    /// It has said so on this connection. Danger: a relay's hello says nothing of those below it that lack something, so
    /// that one that has just come counts as lacking until it has told how far they are.
    pub told: bool,
    /// Through where the log was sent; none: it was not found yet where it joins.
    pub sent: Option<u64>,
    /// When it is told to drop everything.
    pub flush: Option<Nanos>,
    /// When it last said something of purges, or had nothing to say.
    pub heard: Nanos,
    /// How many below it lack something, and some of their names.
    pub lacking: (u64, Vec<String>),
    /// Entries of one frame, at most.
    pub frame: usize,
}

impl Below {
    /// Whether it has done everything through there.
    pub fn done_through(&self, at: Progress) -> bool {
        self.done.epoch == at.epoch && self.done.through >= at.through
    }

    /// Its name, with what it stands at.
    pub fn named(&self) -> String {
        format!("{}@{}", self.name, self.done.through)
    }
}

/// One that has gone.
#[derive(Clone, Debug)]
pub(super) struct Absent {
    pub since: Nanos,
    pub done: Progress,
    pub lacking: (u64, Vec<String>),
}
