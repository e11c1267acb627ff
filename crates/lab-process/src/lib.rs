//! Runs the proxy and other programs of this workspace as child processes: locates, builds, starts, monitors and ends
//! them.
#![deny(unsafe_code)]
#![deny(missing_docs)]

mod busy_threads;
mod descriptors;
mod error;
mod find;
mod health;
mod launcher;
mod process_log;
mod program;
mod usage;

use aniseyoke_lab_day::FileError;

pub use busy_threads::BusyThreads;
pub use descriptors::raise_descriptor_limit;
pub use error::ProcessError;
pub use find::{find_control, find_file, find_proxy};
pub use health::check_health;
pub use launcher::{ProxyLauncher, RunningProxy};
pub use process_log::ProcessLog;
pub use program::{kill_with_parent, Program};
pub use usage::Usage;
