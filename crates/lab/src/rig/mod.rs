//! The fault rig: real proxies beside the site's stand-ins, a relay of ours on every link, faults by a schedule
//! (`docs/design-rig.md`).
//!
//! - [`board`]: parties, faults and the board of those in force; no I/O.
//! - [`handshakes`]: a listening socket that may stop answering handshakes.
//! - [`mesh`]: the relays of an experiment, on a thread of their own.
//! - [`plan`]: an experiment's file and the schedule that a seed makes of it.
//! - [`play`]: one experiment from start to end.
//! - [`procs`]: the real proxies, signalled and started again.
//! - [`ready`]: how long proxies that were started again take until they are ready.
//! - [`relay`]: a relay on one link.
//! - [`report`]: what came of an experiment, as a page with plots.

pub mod board;
pub mod handshakes;
pub mod mesh;
pub mod plan;
pub mod play;
pub mod procs;
pub mod ready;
pub mod relay;
pub mod report;

#[cfg(test)]
mod tests;
