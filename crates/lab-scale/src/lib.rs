//! A whole fleet on one machine: real proxies beside hollow ones, before one control service or a tree of relays.
//!
//! - [`plan`]: an experiment as one TOML file, checked, and its schedule, which follows from the seed.
//! - [`layout`]: the site, zone and region of each member, and the delays of regions; no I/O, no clock.
//! - [`tally`]: when each purge or version was in force everywhere; no I/O, no clock.
//! - [`member`], [`list_polls`] and [`host`]: hollow members, hundreds of them in one process.
//! - [`descriptors`]: the descriptors that a run needs, counted before it starts.
//! - [`link`]: the links between regions, with delay and cuts.
//! - [`children`]: the child processes of a run.
//! - [`publish`]: publishers of purges and versions.
//! - [`play`]: the run; [`report`] and [`figures`]: its figures, table and plot.
//! - [`versions`]: what versions of the configuration cost a fleet of real proxies.
//!
//! `docs/design-scale.md` tells why it is built so and what hollow members leave out.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod children;
pub mod descriptors;
pub mod error;
pub mod figures;
pub mod host;
pub mod layout;
pub mod link;
pub mod list_polls;
pub mod member;
pub mod plan;
pub mod play;
pub mod publish;
pub mod report;
pub mod tally;
pub mod versions;

pub use error::ScaleError;

/// The machine's monotonic clock, in nanoseconds: the same in every process of a run.
pub fn now() -> u64 {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC)
        .map_or(0, |t| (t.tv_sec() as u64) * 1_000_000_000 + t.tv_nsec() as u64)
}
