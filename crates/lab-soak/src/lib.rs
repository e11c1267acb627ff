//! The soak: restarts of real proxies under load, determined by seeds (`docs/lab.md`).
//!
//! A seed determines all parameters of a run: the number of proxies, the requests of the clients, the nodes that hang,
//! the signals for each process and their times, whether a crowd of idle clients uses up the descriptors, and how the
//! successor of a process starts. Clients continue to use the connections that stay open, and a process is killed at
//! the earliest time that the platform allows. The checked requirements are those in the documentation of the platform;
//! see [`verdict`].
//!
//! - [`plan`]: the plan of a run, generated from its seed without I/O.
//! - [`connection_ends`]: the ends of connections in the log of the proxies.
//! - [`restart`]: the restart of one proxy: the signals to the process, its successor, and the kill.
//! - [`run`]: one run from start to end.
//! - [`verdict`]: the results of a run.
//! - [`batch`]: runs of many seeds, several at a time.
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
