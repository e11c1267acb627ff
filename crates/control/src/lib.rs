//! Distribution of the configuration as numbered versions.
//!
//! A [`publisher`] keeps the history of versions and knows which proxy runs which; a [`follower`] at each proxy has the
//! newest version checked and put in force, and acknowledges or rejects it; a [`rollout`] decides which proxies get a new
//! version when, and halts where responses get worse; the [`store`] holds the last known good version on disk. The first
//! three do no I/O and read no clock: messages and times go in, frames and actions come out. [`service`], [`operators`]
//! and [`client`] drive them on sockets. A [`relay`] is a client of its upstream and a service to its children, and
//! forwards versions and purges. [`commit`] holds the protocol by which a version is put in force everywhere or nowhere.
//! `docs/control-protocol.md` specifies the wire protocol.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod checksummed_file;
pub mod client;
mod clock;
pub mod commit;
mod connections;
pub mod epoch;
pub mod follower;
pub mod frame;
pub mod hosted;
mod latency;
pub mod operators;
pub mod outgoing;
pub mod publisher;
pub mod purge_log;
mod purge_queue;
mod purge_writer;
pub mod purges;
pub mod relay;
pub mod rollout;

pub mod service;
pub mod store;
pub mod version;

pub use follower::Follower;
pub use frame::{ProxyMessage, ServiceMessage};
pub use publisher::Publisher;
pub use version::{CanonicalJson, Stamp, Version};
