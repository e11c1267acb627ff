//! Client of the discovery service, from which the proxy learns its endpoint list (the cache nodes).
//!
//! - `watcher` keeps a watch open and renews it after each answer, or polls in this proxy's own slots if the
//!   operator's file limits polls;
//! - `connection` is the HTTP connection that successive polls share;
//! - `polling` holds the poll schedule, and updates the status and the cache after each poll;
//! - `kept` caches the list on disk across restarts;
//! - `current_list` is the list in force, with `shared_list`, the lists of the other processes of this proxy;
//! - `merged_list` is a list with the changes to it, and `list_file` a file with a list;
//! - `status` is the state of the list that the admin endpoint shows;
//! - `error` has the errors of a poll.

mod connection;
mod current_list;
mod error;
mod kept;
mod list_file;
mod merged_list;
mod polling;
mod shared_list;
mod status;
mod watcher;

pub use connection::DESCRIPTORS;
pub use current_list::CurrentList;
pub use kept::restore;
pub use polling::{poll_schedule, ListPolling};
pub use shared_list::SharedList;
pub use status::ListStatus;
pub use watcher::{EndpointWatcher, WatchTriggers};
