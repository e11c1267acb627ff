//! Distribution of the configuration as numbered versions.
//!
//! A [`publisher`] keeps the history of versions and tracks which version each proxy runs. A [`follower`] at
//! each proxy has the newest version checked and put in force, and acknowledges or rejects it. A [`rollout`]
//! determines which proxies get a new version at which stage, and halts if responses get worse. These three
//! do no I/O and read no clock: the caller passes messages and the time, and gets frames and actions back.
//! [`service`], [`operators`] and [`client`] run them on TCP sockets. The [`store`] keeps the last known good
//! version on disk. A [`relay`] is a client of its upstream and a service to its children, and forwards
//! versions and purges. [`commit`] implements a protocol by which a version is put in force either everywhere
//! or nowhere. `docs/control-protocol.md` specifies the wire protocol.
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
