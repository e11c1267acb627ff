//! The preload library ends a process whose threads are at fault, and leaves one alone whose threads are not.

use aniseyoke_turns::{arm, Order};
use std::ops::Range;
use std::process::{Command, Output};

const SEEDS: Range<u64> = 0..40;
/// Fewer, for a run of so many calls takes long.
const FEW_SEEDS: Range<u64> = 0..6;

fn run(fault: &str, seed: u64) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-turns-planted"));
    command.env_clear().arg(fault);
    arm(&mut command, &Order { seed, signals: Vec::new() }).expect("armed");
    command.output().expect("run")
}

/// How many seeds show the planted fault. Each run ends well or tells of it in one line that names the seed.
fn shown(fault: &str, seeds: Range<u64>, told: &str) -> usize {
    let shows = |seed: &u64| {
        let output = run(fault, *seed);
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        if output.status.success() {
            assert_eq!(output.stdout, b"done\n", "seed {seed}: {log}");
            return false;
        }
        assert!(log.starts_with("turns: thread "), "seed {seed}: {:?}, {log:?}", output.status);
        assert!(log.contains(&format!(", seed {seed}: {told}")), "seed {seed}: {log:?}");
        assert_eq!(log.lines().count(), 1, "seed {seed}: {log:?}");
        true
    };
    seeds.filter(shows).count()
}

#[test]
fn a_program_without_a_fault_ends_well_by_every_seed() {
    assert_eq!(shown("none", SEEDS, "nothing"), 0);
}

#[test]
fn a_planted_spin_is_shown() {
    assert!(shown("spin", SEEDS, "spins: ") > 0);
}

#[test]
fn a_planted_lost_wakeup_is_shown() {
    assert!(shown("lost-wakeup", SEEDS, "all threads wait for each other") > 0);
}

#[test]
fn a_planted_thread_that_never_waits_is_shown() {
    assert!(shown("never-waits", FEW_SEEDS, "never waits: ") > 0);
}
