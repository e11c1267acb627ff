//! Client of the discovery service, from which the proxy learns its endpoint list (the cache nodes).
//!
//! - `watcher` keeps a watch open and renews it after each answer, or polls in this proxy's own slots where the operator's
//!   file limits polls;
//! - `connection` is the HTTP connection on which one poll goes out after another;
//! - `polling` holds the poll schedule and what follows each answer;
//! - `kept` caches the list on disk over restarts;
//! - `status` is what the admin endpoint shows of the list;
//! - `error` tells why a poll brought no list.

mod connection;
mod error;
mod kept;
mod polling;
mod status;
mod watcher;

pub use connection::DESCRIPTORS;
pub use kept::restore;
pub use polling::{poll_schedule, ListPolling};
pub use status::ListStatus;
pub use watcher::{EndpointWatcher, WatchTriggers};
