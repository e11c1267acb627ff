//! One replica of the control service's log. Three or five of them agree on one order of records; the loss of a minority
//! loses no record and stops no agreement.
//!
//! [`Replica`] combines the state machine of the `raft` crate with a [`Store`] on disk. It has no clock and no sockets: its
//! owner lets time pass, carries messages, and gets the committed records. What is written to the store is on disk before
//! anything that depends on it leaves the replica. `docs/design-commit.md` explains the design.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod replica;
mod store;

pub use replica::{Error, Event, Outcome, Output, Rejected, Replica};
pub use store::Store;
