//! The fault rig: runs real proxies against a simulated site, with a relay on each link from a proxy, and injects faults on
//! links and processes by a schedule (`docs/design-rig.md`).
//!
//! - [`board`]: link ends, link faults, and the set of active faults; no I/O.
//! - [`handshakes`]: a listening socket that can stop answering handshakes.
//! - [`plan`]: the fault plan of an experiment, and the schedule derived from it and a seed.
//! - [`play`]: runs one experiment from start to end.
//! - [`outcome`]: the results of an experiment.
//! - [`processes`]: starts, signals and restarts the real proxies.
//! - [`readiness`]: measures how long restarted proxies take to become ready.
//! - [`relay`]: a relay on one link.
//! - [`relays`]: all relays of an experiment, on a separate thread.
//! - [`report`]: the outcome as an HTML page with plots.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod board;
pub mod error;
pub mod handshakes;
pub mod outcome;
pub mod plan;
pub mod play;
pub mod processes;
pub mod readiness;
pub mod relay;
pub mod relays;
pub mod report;

#[cfg(test)]
mod tests;
