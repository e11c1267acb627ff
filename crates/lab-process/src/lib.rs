//! Proxies, and other programs of this workspace, as child processes: found and built, started, looked at, ended.

mod descriptors;
mod health;
mod subject;
mod usage;

pub use descriptors::raise_descriptors;
pub use health::health;
pub use subject::{find_control, find_file, find_proxy, tie, Log, Program, Running, Subject};
pub use usage::Usage;
