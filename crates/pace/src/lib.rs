//! Paces hundreds of proxies that do not communicate, so that the load they cause together stays bounded.
//!
//! A proxy knows only the size of the fleet and its own index in it ([`FleetPosition`]). From these it
//! computes its own time slot in a cycle that all proxies share ([`slots`]). Operations that are limited to
//! these slots are performed by the fleet at an even rate, also after a cold start, an outage or a burst of
//! changes.
//!
//! - [`notification_deadline`]: the deadline for a change of the endpoint list to arrive, and the call
//!   timeouts that follow.
//! - [`watch`]: timeouts of long polls to the discovery service, where calls are not paced.
//! - [`poll_schedule`]: when the discovery service is polled, where calls are paced.
//! - [`connection_permits`]: when a connection to a node may be opened.
//! - [`retained_list`]: whether an endpoint list that was stored on disk may be used at startup.
//!
//! The crate does no I/O and reads no clock: the caller passes times as nanoseconds of one monotonic clock.
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
