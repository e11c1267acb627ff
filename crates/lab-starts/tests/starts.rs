//! A short batch of starts of the real proxy. The long one is started by hand (`docs/lab.md`).

use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_starts::batch::Batch;
use aniseyoke_lab_starts::run::Subject;

/// What the starts are drawn from.
const SEED: u64 = 49;
/// How many: each second one has a call held up, and 105 kinds of calls and places take turns.
const STARTS: u64 = 210;
/// Starts at once.
const JOBS: usize = 8;

/// Guards against a process that spins, hangs, ends late or with the wrong status at its start or at its end.
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
            let told =
                report.faults.iter().map(|fault| format!("start {number}: {fault}; {:?}", report.plan));
            faults.extend(told);
        }
        Err(error) => faults.push(format!("start {number} could not be played: {error}")),
    });
    println!("{totals:?}");
    assert!(
        totals.is_clean(),
        "again with aniseyoke-lab starts --seed {SEED} --first N --starts 1:\n{}",
        faults.join("\n")
    );
    assert!(totals.held_up > STARTS / 4 && totals.ready > STARTS / 4, "too little was tried: {totals:?}");
}
