//! The fault rig: real proxies beside the site's stand-ins, a relay on every link, faults by a schedule
//! (`docs/design-rig.md`).
//!
//! - [`board`]: the ends of links, faults, and the board of the active faults; no I/O.
//! - [`handshakes`]: a listening socket that can stop answering handshakes.
//! - [`plan`]: an experiment's file and the schedule that a seed makes of it.
//! - [`play`]: one experiment from start to end.
//! - [`outcome`]: what an experiment came to.
//! - [`processes`]: the real proxies, signalled and started again.
//! - [`readiness`]: how long proxies that were started again take to be ready.
//! - [`relay`]: a relay on one link.
//! - [`relays`]: all relays of an experiment, on a thread of their own.
//! - [`report`]: the outcome as a page with plots.
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
