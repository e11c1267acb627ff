//! Configuration as a stream of numbered versions.
//!
//! A [`publisher`] holds versions and knows who runs which; a [`follower`] at each proxy takes the newest that it is sent,
//! has it checked and put in force, and says yes or no with reasons; a [`rollout`] decides who gets a new version
//! when, and halts where it does harm; the [`store`] keeps the last good version on disk. The first three do no I/O and
//! read no clock: frames and times go in, frames and actions come out. [`service`] and [`client`] drive them on
//! sockets. `docs/control-protocol.md` states the protocol.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod client;
pub mod commit;
pub mod follower;
pub mod frame;
pub mod hosted;
mod keeper;
pub mod publisher;
pub mod purge_log;
pub mod purges;
pub mod relay;
pub mod rollout;
pub mod sealed;
pub mod service;
pub mod store;
pub mod version;

pub use follower::Follower;
pub use frame::{FromProxy, FromService};
pub use publisher::Publisher;
pub use version::{Body, Stamp, Version};
