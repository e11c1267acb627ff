//! The soak: seeded restarts of real proxies under load (`docs/lab.md`).
//!
//! A seed decides everything of a run: how many proxies, what clients send, which nodes hang, when each process gets which
//! signals, whether a crowd of clients fills the descriptors, how its successor starts. Clients go on using the connections
//! that stay open, and a process is killed at the earliest time that the platform allows. What must hold is what the
//! platform's pages ask; see [`verdict`].
//!
//! - [`plan`]: what a seed decides; no I/O.
//! - [`connection_ends`]: what proxies log of the ends of their connections.
//! - [`restart`]: one process told to stop, its successor, and the kill.
//! - [`run`]: one run from start to end.
//! - [`verdict`]: what a run came to.
//! - [`batch`]: many seeds, several at a time.
#![forbid(unsafe_code)]

pub mod batch;
pub mod connection_ends;
mod error;
pub mod plan;
pub mod restart;
pub mod run;
pub mod verdict;

pub use error::SoakError;

#[cfg(test)]
mod tests;
