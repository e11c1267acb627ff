//! One replica of the control service's log. Three or five of them agree on one order of records; a minority may be lost
//! without a record lost or agreement stopped.
//!
//! [`Replica`] wraps the `raft` crate's state machine around a [`Store`] on disk. It has no clock and no socket: whoever
//! drives it lets time pass, carries messages, and is handed what was agreed on. What is written to the store is on disk
//! before anything that follows from it leaves the replica. `docs/design-commit.md` tells why it is built so.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod replica;
mod store;

pub use replica::{Error, Event, NotDone, Out, Replica};
pub use store::Store;
