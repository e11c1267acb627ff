//! A short batch of starts of the real proxy. Long batches are run manually (`docs/lab.md`).

use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_starts::batch::Batch;
use aniseyoke_lab_starts::run::Subject;

/// The seed that the starts are drawn from.
const SEED: u64 = 49;
/// The number of starts. Every second start delays a call of the start phase, the others one of the end
/// phase, and each phase cycles through 105 calls.
const STARTS: u64 = 210;
/// Starts that run at a time.
const JOBS: usize = 8;

/// Guards against a process that spins, hangs, exits late or exits with the wrong status during its start or
/// shutdown.
#[test]
fn starts_and_ends_with_calls_held_up_and_a_log_that_is_not_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = find_proxy(None).expect("the proxy");
    let subject = Subject { program, delay_calls: true };
    let batch = Batch {
        seed: SEED,
        first: 0,
        starts: STARTS,
        jobs: JOBS,
        busy_threads: 0,
        subject,
        folder: folder.path().to_owned(),
    };
    let mut faults = Vec::new();
    let totals = batch.play(|number, result| match result {
        Ok(report) => {
            let descriptions =
                report.faults.iter().map(|fault| format!("start {number}: {fault}; {:?}", report.plan));
            faults.extend(descriptions);
        }
        Err(error) => faults.push(format!("start {number} could not be run: {error}")),
    });
    println!("{totals:?}");
    assert!(
        totals.is_clean(),
        "reproduce with aniseyoke-lab starts --seed {SEED} --first N --starts 1:\n{}",
        faults.join("\n")
    );
    assert!(
        totals.held_up > STARTS / 4 && totals.ready > STARTS / 4,
        "too few starts were ready or delayed: {totals:?}"
    );
}
