//! Purges told to a whole fleet through regions and sites.
//!
//! The root numbers purges in a bounded [`log`]; a [`relay`], the root's and those at regions and sites alike, passes
//! them on in batches, replays what was missed, and gathers what its subtree has done; a [`member`] is a leaf's side:
//! it drops duplicates, asks again after a gap, and knows when it may not claim any more to have missed nothing. All of
//! it is without I/O and clock: frames and times go in, actions come out. `docs/design-fanout.md` says why it is so.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod keys;
pub mod log;
pub mod member;
pub mod publishers;
pub mod relay;

pub use keys::{Keys, Progress};
pub use log::Log;
pub use member::{Member, Told};
pub use publishers::Publishers;
pub use relay::{Action, Relay, Settings};

/// Nanoseconds from any fixed point.
pub type Nanos = u64;
