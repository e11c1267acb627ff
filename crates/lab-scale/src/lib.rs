//! Runs a large fleet on one machine: real proxies and many simulated ("hollow") members, connected to one control
//! service or to a tree of relays.
//!
//! - [`plan`]: an experiment as one TOML file, its validation, and its schedule, which the seed determines.
//! - [`layout`]: the site, zone and region of each member, and the network delays of regions; no I/O, no clock.
//! - [`tally`]: when each purge or version was in force at all members; no I/O, no clock.
//! - [`member`], [`list_polls`] and [`host`]: hollow members, hundreds of them in one process.
//! - [`descriptors`]: the file descriptors that a run needs, computed before it starts.
//! - [`link`]: the links between regions, with delays and network partitions.
//! - [`children`]: the child processes of a run.
//! - [`publish`]: the publishers of purges and versions.
//! - [`play`]: executes a run; [`report`] and [`figures`]: its figures, table and plot.
//! - [`versions`]: measures the cost of configuration versions in a fleet of real proxies.
//!
//! `docs/design-scale.md` describes the design and what hollow members don't simulate.
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

/// Reads the machine's monotonic clock, in nanoseconds. All processes of a run share this clock.
pub fn now() -> u64 {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC)
        .map_or(0, |t| (t.tv_sec() as u64) * 1_000_000_000 + t.tv_nsec() as u64)
}
