//! The fault rig: real proxies beside the site's stand-ins, a relay of ours on every link, faults by a schedule
//! (`docs/design-rig.md`).
//!
//! - [`board`]: parties, faults and the board of those in force; no I/O.
//! - [`relay`]: a relay on one link.

pub mod board;
pub mod relay;

#[cfg(test)]
mod tests;
