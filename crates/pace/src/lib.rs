//! Pacing: how hundreds of proxies that do not talk to each other keep the load that they cause together within bounds.
//!
//! All that a proxy knows of the others is how many there are and which of them it is ([`FleetPosition`]). From that
//! alone it computes a time slot of its own in a cycle that all share ([`slots`]). What is done in such slots only is
//! done by the whole fleet at an even rate, whatever happened before: a cold start, an outage, a burst of changes.
//!
//! - [`notification_deadline`]: by when a change of the endpoint list has to have arrived, and what follows for each call.
//! - [`watch`]: timeouts of long polls to the discovery service where calls are not paced.
//! - [`poll_schedule`]: when the discovery service is polled where calls are paced.
//! - [`connection_permits`]: when a connection to a node may be opened.
//! - [`retained_list`]: whether an endpoint list that was stored on disk may be used at a start.
//!
//! No I/O and no clock: times are passed in as nanoseconds on one monotonic clock of the caller.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod connection_permits;
pub mod notification_deadline;
pub mod poll_schedule;
pub mod retained_list;
pub mod slots;
pub mod watch;

pub use connection_permits::ConnectionPermits;
pub use poll_schedule::{PollRules, PollSchedule};
pub use slots::{FleetPosition, SlotSchedule};
pub use watch::WatchTimeouts;

/// A time or a span of time in nanoseconds.
pub type Nanos = u64;

/// One second.
pub const SECOND: Nanos = 1_000_000_000;
