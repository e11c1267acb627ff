//! What keeps hundreds of proxies that do not talk to each other within bounds together.
//!
//! All that a proxy knows of the others is how many there are and which of them it is. From that alone it has slots of
//! its own in a common cycle ([`slots`]), so that whatever is done at such slots only is done by all together at an
//! even rate, whatever happened before: a cold start, an outage, a storm of changes.
//!
//! - [`polls`]: when the list service is asked.
//! - [`opens`]: when a connection to a node may be opened.
//! - [`kept`]: whether a list that was kept on disk may be used.
//!
//! No I/O and no clock: times go in as nanoseconds on one clock that never steps back.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod kept;
pub mod opens;
pub mod polls;
pub mod slots;

pub use opens::Opens;
pub use polls::Polls;
pub use slots::{Place, Slots};

/// Nanoseconds.
pub type Nanos = u64;

/// A second.
pub const SECOND: Nanos = 1_000_000_000;
