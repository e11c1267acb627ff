//! A replica of the control service's log. A group of three or five replicas agrees on one order of records; the failure
//! of a minority loses no record and does not stop new records from being committed.
//!
//! [`Replica`] combines the state machine of the `raft` crate with a [`Store`] on disk. It has no clock and no sockets: the
//! caller drives its ticks, transfers its messages and receives the committed records. Data is synced to disk before any
//! message that depends on it is sent. `docs/design-commit.md` explains the design.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod replica;
mod store;

pub use replica::{Error, Event, Outcome, Output, Rejected, Replica};
pub use store::Store;
