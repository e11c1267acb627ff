//! What keeps hundreds of proxies that do not talk to each other within bounds together.
//!
//! All that a proxy knows of the others is how many there are and which of them it is. From that alone it has slots of
//! its own in a common cycle ([`slots`]), so that whatever is done at such slots only is done by all together at an
//! even rate, whatever happened before: a cold start, an outage, a storm of changes.
//!
//! - [`told`]: by when a change of the list has to be here.
//! - [`watch`]: how long a call is held and given, and by when the next goes out, where calls are not paced.
//! - [`polls`]: when the list service is asked, where calls are paced.
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
pub mod told;
pub mod watch;

pub use opens::Opens;
pub use polls::Polls;
pub use slots::{Place, Slots};
pub use watch::Watch;

/// Nanoseconds.
pub type Nanos = u64;

/// A second.
pub const SECOND: Nanos = 1_000_000_000;
