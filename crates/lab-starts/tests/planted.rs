//! The harness reports a fault for each program with a planted fault, and none for a sound program.

use aniseyoke_lab_starts::plan::{Reader, StartPlan, Terminate};
use aniseyoke_lab_starts::run::{run, Subject};
use aniseyoke_lab_starts::verdict::{Fault, StartReport};
use std::path::Path;

/// Longer than the window over which a thread is judged.
const IDLE_MS: u64 = 1300;

/// Runs one of the programs in `tests/planted`.
fn play(name: &str) -> StartReport {
    let mut plan = StartPlan::draw(1, 0);
    plan.reader = Reader::Reads;
    plan.terminate = Terminate::AfterReady(IDLE_MS);
    plan.longest_deadline_ms = 200;
    let program = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/planted").join(name);
    let folder = tempfile::tempdir().expect("a folder");
    run(plan, &Subject { program, delay_calls: false }, folder.path()).expect("played")
}

#[test]
fn a_sound_program_has_no_fault() {
    let report = play("sound.sh");
    assert_eq!(report.faults, [], "{report:?}");
}

#[test]
fn a_planted_spin_is_found() {
    let report = play("spins.sh");
    assert!(
        matches!(&report.faults[..], [Fault::Spins(spent), ..] if spent.thread == "spins.sh"),
        "{report:?}"
    );
}

#[test]
fn a_planted_hang_is_found_with_its_threads() {
    let report = play("hangs.sh");
    assert!(matches!(report.faults[..], [Fault::EndsLate { killed: true, .. }]), "{report:?}");
    assert!(report.threads.iter().any(|thread| thread.name == "sleep" && thread.state == "S"), "{report:?}");
}

#[test]
fn a_planted_wrong_end_is_found() {
    let report = play("crashes.sh");
    assert!(matches!(report.faults[..], [Fault::WrongStatus(_)]), "{report:?}");
}
