//! The preload library aborts a process whose threads are faulty, and lets a correct process finish.

use aniseyoke_turns::{configure_preload, ThreadSchedule};
use std::ops::Range;
use std::process::{Command, Output};

const SEEDS: Range<u64> = 0..40;
/// Fewer seeds, because a run with that many calls is slow.
const FEW_SEEDS: Range<u64> = 0..6;

fn run(fault: &str, seed: u64) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_aniseyoke-turns-planted"));
    command.env_clear().arg(fault);
    configure_preload(&mut command, &ThreadSchedule { seed, signals: Vec::new() }).expect("armed");
    command.output().expect("run")
}

/// Returns how many seeds expose the planted fault. Each run succeeds or reports the fault in one line with
/// the seed.
fn count_exposing_seeds(fault: &str, seeds: Range<u64>, message: &str) -> usize {
    let exposes_fault = |seed: &u64| {
        let output = run(fault, *seed);
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        if output.status.success() {
            assert_eq!(output.stdout, b"done\n", "seed {seed}: {log}");
            return false;
        }
        assert!(log.starts_with("turns: thread "), "seed {seed}: {:?}, {log:?}", output.status);
        assert!(log.contains(&format!(", seed {seed}: {message}")), "seed {seed}: {log:?}");
        assert_eq!(log.lines().count(), 1, "seed {seed}: {log:?}");
        true
    };
    seeds.filter(exposes_fault).count()
}

#[test]
fn program_without_a_fault_succeeds_with_every_seed() {
    assert_eq!(count_exposing_seeds("none", SEEDS, "nothing"), 0);
}

#[test]
fn planted_spin_is_detected() {
    assert!(count_exposing_seeds("spin", SEEDS, "spins: ") > 0);
}

#[test]
fn planted_lost_wakeup_is_detected() {
    assert!(count_exposing_seeds("lost-wakeup", SEEDS, "all threads wait for each other") > 0);
}

#[test]
fn planted_thread_that_never_waits_is_detected() {
    assert!(count_exposing_seeds("never-waits", FEW_SEEDS, "never waits: ") > 0);
}
