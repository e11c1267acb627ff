//! A short soak: a few seeds of both kinds of restart, with and without a crowd, hanging and draining nodes. The long one is
//! started by hand (`docs/lab.md`).

use aniseyoke_lab_process::{find_proxy, raise_descriptor_limit};
use aniseyoke_lab_soak::batch::Batch;

/// The seeds of the short soak.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Runs at once.
const JOBS: usize = 4;

#[test]
fn restarts_under_load_cost_no_request_its_one_answer() {
    raise_descriptor_limit();
    let folder = tempfile::tempdir().expect("a folder");
    let program = find_proxy(None).expect("the proxy");
    let batch =
        Batch { seeds: SEEDS, jobs: JOBS, busy_threads: 0, program, folder: folder.path().to_owned() };
    let mut judged = 0;
    let mut faults = Vec::new();
    let failed = batch.play(|(seed, result)| match result {
        Ok(report) => {
            println!("{report}");
            judged += report.verdict.requests;
            faults.extend(report.failures().into_iter().map(|fault| format!("seed {seed}: {fault}")));
        }
        Err(error) => faults.push(format!("seed {seed} could not be played: {error}")),
    });
    assert!(
        faults.is_empty() && failed == 0,
        "again with aniseyoke-lab soak --seeds N:\n{}",
        faults.join("\n")
    );
    assert!(judged > 1000, "only {judged} requests were judged");
}
