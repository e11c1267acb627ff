//! A whole fleet on one machine: real proxies beside hollow ones, before one control service or a tree of relays.
//!
//! - [`plan`]: an experiment as one TOML file, checked with places, and its schedule, which follows from the seed.
//! - [`layout`]: who stands at which site, zone and region, and how far regions are; no I/O, no clock.
//! - [`tally`]: when each number was in force everywhere; no I/O, no clock.
//! - [`member`], [`lists`] and [`host`]: hollow members, hundreds of them in one process.
//! - [`need`]: what a run needs of descriptors, counted before it starts.
//! - [`link`]: the links between regions, with delay and cuts.
//! - [`procs`]: all children of the rig.
//! - [`publish`]: purges and changes, as operators make them.
//! - [`play`]: the run; [`report`]: its figures, table and plot.
//!
//! `docs/design-scale.md` tells why it is built so and what hollow members leave out.

pub mod host;
pub mod layout;
pub mod link;
pub mod lists;
pub mod member;
pub mod need;
pub mod plan;
pub mod play;
pub mod procs;
pub mod publish;
pub mod report;
pub mod tally;
pub mod versions;

/// The machine's monotonic clock, in nanoseconds: the same in every process of a run.
pub fn now() -> u64 {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC)
        .map_or(0, |t| (t.tv_sec() as u64) * 1_000_000_000 + t.tv_nsec() as u64)
}
