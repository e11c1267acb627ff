//! What the control services agree on: a log of records, the same at each of them, and what it comes to.

use super::Change;
use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fmt;

/// Changes that were aborted are remembered so far back.
const ABORTED_MOST: usize = 64;
/// A reason is kept up to this length, in bytes.
const WHY_MOST: usize = 2000;

/// One entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// A change is to be prepared.
    Begin {
        /// Which.
        change: Change,
    },
    /// It is committed.
    Commit {
        /// Which.
        stamp: Stamp,
    },
    /// It is aborted.
    Abort {
        /// Which.
        stamp: Stamp,
        /// Why.
        why: String,
    },
}

/// Why a record changes nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unfit {
    /// Another change was begun first and is not decided yet.
    Lost {
        /// The change that lost.
        stamp: Stamp,
        /// The one that won.
        to: Stamp,
    },
    /// A change with that stamp or a later one was begun before.
    Old {
        /// The change.
        stamp: Stamp,
        /// The newest that was begun.
        newest: Stamp,
    },
    /// It is not the change that is open, and may have been decided before.
    NotOpen(Stamp),
}

impl fmt::Display for Unfit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Unfit::Lost { stamp, to } => {
                write!(
                    f,
                    "version {stamp} lost to version {to}, which was published first and is not decided yet"
                )
            }
            Unfit::Old { stamp, newest } => {
                write!(f, "version {stamp} is no newer than version {newest}, which was published before")
            }
            Unfit::NotOpen(stamp) => write!(f, "version {stamp} is not open, and nothing is left to decide"),
        }
    }
}

/// What the records so far come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    committed: Option<Change>,
    open: Option<Change>,
    newest: Option<Stamp>,
    aborted: VecDeque<(Stamp, String)>,
}

impl Log {
    /// The change that holds: the last one committed.
    pub fn committed(&self) -> Option<&Change> {
        self.committed.as_ref()
    }

    /// The change that is being prepared.
    pub fn open(&self) -> Option<&Change> {
        self.open.as_ref()
    }

    /// The newest that was begun.
    pub fn newest(&self) -> Option<Stamp> {
        self.newest
    }

    /// Why a change was aborted, if it was lately.
    pub fn aborted(&self, stamp: Stamp) -> Option<&str> {
        self.aborted.iter().find(|(s, _)| *s == stamp).map(|(_, why)| why.as_str())
    }

    /// Whether a record would change anything.
    ///
    /// # Errors
    /// Why it would not.
    pub fn fits(&self, record: &Record) -> Result<(), Unfit> {
        match record {
            Record::Begin { change } => {
                let stamp = change.stamp;
                if let Some(open) = &self.open {
                    return Err(Unfit::Lost { stamp, to: open.stamp });
                }
                match self.newest.filter(|newest| *newest >= stamp) {
                    Some(newest) => Err(Unfit::Old { stamp, newest }),
                    None => Ok(()),
                }
            }
            Record::Commit { stamp } | Record::Abort { stamp, .. } => {
                let open = self.open.as_ref().is_some_and(|open| open.stamp == *stamp);
                open.then_some(()).ok_or(Unfit::NotOpen(*stamp))
            }
        }
    }

    /// Takes the next record of the log. The first commit or abort of a change decides it; another one is passed over.
    ///
    /// # Errors
    /// Why it changes nothing, alike at every service.
    pub fn apply(&mut self, record: Record) -> Result<(), Unfit> {
        self.fits(&record)?;
        match record {
            Record::Begin { change } => {
                self.newest = Some(change.stamp);
                self.open = Some(change);
            }
            Record::Commit { .. } => self.committed = self.open.take(),
            Record::Abort { stamp, mut why } => {
                let end = (0..=WHY_MOST.min(why.len())).rev().find(|n| why.is_char_boundary(*n));
                why.truncate(end.unwrap_or(0));
                self.open = None;
                self.aborted.push_back((stamp, why));
                if self.aborted.len() > ABORTED_MOST {
                    self.aborted.pop_front();
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn stamp(number: u64) -> Stamp {
        Stamp { epoch: 1, number }
    }

    fn begin(number: u64) -> Record {
        Record::Begin { change: Change { stamp: stamp(number), digest: "d".into() } }
    }

    #[test]
    fn of_two_that_are_published_at_once_one_wins_and_the_other_hears_to_whom_it_lost() {
        let mut log = Log::default();
        assert_eq!(log.apply(begin(1)), Ok(()));
        let lost = log.apply(begin(2)).expect_err("one is open");
        assert_eq!(lost, Unfit::Lost { stamp: stamp(2), to: stamp(1) });
        assert!(lost.to_string().contains("version 1.2 lost to version 1.1"));
        assert_eq!(log.apply(Record::Commit { stamp: stamp(1) }), Ok(()));
        assert_eq!(log.apply(begin(1)), Err(Unfit::Old { stamp: stamp(1), newest: stamp(1) }));
    }

    #[test]
    fn what_is_decided_stays_so() {
        let mut log = Log::default();
        log.apply(begin(1)).expect("fits");
        log.apply(Record::Commit { stamp: stamp(1) }).expect("fits");
        let abort = |number| Record::Abort { stamp: stamp(number), why: "é".repeat(WHY_MOST) };
        assert_eq!(log.apply(abort(1)), Err(Unfit::NotOpen(stamp(1))));
        assert_eq!(log.committed().map(|c| c.stamp), Some(stamp(1)));
        log.apply(begin(2)).expect("fits");
        log.apply(abort(2)).expect("fits");
        assert_eq!(log.apply(Record::Commit { stamp: stamp(2) }), Err(Unfit::NotOpen(stamp(2))));
        assert_eq!(log.committed().map(|c| c.stamp), Some(stamp(1)));
        assert!(log.aborted(stamp(2)).is_some_and(|why| why.len() <= WHY_MOST));
        for number in 3..200 {
            log.apply(begin(number)).expect("fits");
            log.apply(abort(number)).expect("fits");
        }
        assert_eq!(log.aborted.len(), ABORTED_MOST);
    }
}
