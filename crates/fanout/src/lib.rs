//! Distribution of cache purges to a whole fleet through a tree of relays.
//!
//! The root appends purges to a bounded [`log`], which numbers them. A [`relay`] runs at the root and at
//! every region and site: it forwards purges in batches, replays what a child missed, and aggregates the
//! acknowledgements of its subtree. A [`member`] is a leaf of the tree: it drops duplicates, requests a
//! resync after a gap, and tracks whether it may claim to have seen every purge. The crate does no I/O and
//! reads no clock: callers pass in frames and times, and carry out the returned actions.
//! `docs/design-fanout.md` explains the design.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod keys;
pub mod log;
pub mod member;
pub mod publishers;
pub mod relay;
pub mod settings;

pub use keys::{Keys, Progress};
pub use log::Log;
pub use member::{Member, MemberAction};
pub use publishers::Publishers;
pub use relay::{Relay, RelayAction};
pub use settings::Settings;

/// Nanoseconds since an arbitrary fixed point.
pub type Nanos = u64;
