//! The replicated log of records, and the state that results from it at every control service.

use super::Change;
use crate::version::Stamp;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of aborted changes whose reasons are kept.
const MAX_ABORTED: usize = 64;
/// Maximum length of a stored reason, in bytes; longer ones are truncated.
const MAX_REASON_BYTES: usize = 2000;

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Record {
    /// The preparation of a change begins.
    Begin {
        /// The change.
        change: Change,
    },
    /// The pending change is committed.
    Commit {
        /// The stamp of the change.
        stamp: Stamp,
    },
    /// The pending change is aborted.
    Abort {
        /// The stamp of the change.
        stamp: Stamp,
        /// The reason.
        #[serde(rename = "why")]
        reason: String,
    },
}

/// Why a record has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// Another change is pending.
    #[error("version {stamp} lost to version {winner}, which was published first and is not decided yet")]
    Conflict {
        /// The stamp of the record's change.
        stamp: Stamp,
        /// The stamp of the pending change.
        winner: Stamp,
    },
    /// A change with this stamp or a later one has begun before.
    #[error("version {stamp} is no newer than version {newest}, which was published before")]
    Outdated {
        /// The stamp of the record's change.
        stamp: Stamp,
        /// The stamp of the newest change that has begun.
        newest: Stamp,
    },
    /// The change is not pending; it may have been decided before.
    #[error("version {0} is not pending, and nothing is left to decide")]
    NotPending(Stamp),
}

/// The state that results from all records so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Log {
    committed: Option<Change>,
    pending: Option<Change>,
    newest: Option<Stamp>,
    aborted: VecDeque<(Stamp, String)>,
}

impl Log {
    /// The last committed change.
    pub fn committed(&self) -> Option<&Change> {
        self.committed.as_ref()
    }

    /// The change that has begun and is neither committed nor aborted.
    pub fn pending(&self) -> Option<&Change> {
        self.pending.as_ref()
    }

    /// The stamp of the newest change that has begun.
    pub fn newest(&self) -> Option<Stamp> {
        self.newest
    }

    /// Why a change was aborted, if it is among the last `MAX_ABORTED` aborted ones.
    pub fn abort_reason(&self, stamp: Stamp) -> Option<&str> {
        self.aborted.iter().find(|(aborted, _)| *aborted == stamp).map(|(_, reason)| reason.as_str())
    }

    /// Checks whether a record would have an effect.
    ///
    /// # Errors
    /// Why it would not.
    pub fn check(&self, record: &Record) -> Result<(), RecordError> {
        match record {
            Record::Begin { change } => {
                let stamp = change.stamp;
                if let Some(pending) = &self.pending {
                    return Err(RecordError::Conflict { stamp, winner: pending.stamp });
                }
                match self.newest.filter(|newest| *newest >= stamp) {
                    Some(newest) => Err(RecordError::Outdated { stamp, newest }),
                    None => Ok(()),
                }
            }
            Record::Commit { stamp } | Record::Abort { stamp, .. } => {
                let is_pending = self.pending.as_ref().is_some_and(|pending| pending.stamp == *stamp);
                is_pending.then_some(()).ok_or(RecordError::NotPending(*stamp))
            }
        }
    }

    /// Applies the next record of the log. The first commit or abort of a change decides it; later ones have
    /// no effect.
    ///
    /// # Errors
    /// Why the record has no effect; the same at every service.
    pub fn apply(&mut self, record: Record) -> Result<(), RecordError> {
        self.check(&record)?;
        match record {
            Record::Begin { change } => {
                self.newest = Some(change.stamp);
                self.pending = Some(change);
            }
            Record::Commit { .. } => self.committed = self.pending.take(),
            Record::Abort { stamp, mut reason } => {
                let max = MAX_REASON_BYTES.min(reason.len());
                let end = (0..=max).rev().find(|n| reason.is_char_boundary(*n));
                reason.truncate(end.unwrap_or(0));
                self.pending = None;
                self.aborted.push_back((stamp, reason));
                if self.aborted.len() > MAX_ABORTED {
                    self.aborted.pop_front();
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
