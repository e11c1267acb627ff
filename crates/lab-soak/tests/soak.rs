//! A short soak: a few seeds with both kinds of restart, with and without a crowd of idle clients, hanging nodes and
//! draining nodes. The long soak is started manually (`docs/lab.md`).

use aniseyoke_lab_process::{find_proxy, raise_descriptor_limit};
use aniseyoke_lab_soak::batch::Batch;

/// The seeds of the short soak.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=16;
/// Number of concurrent runs.
const JOBS: usize = 4;

#[test]
fn each_request_gets_one_response_during_restarts_under_load() {
    raise_descriptor_limit();
    let folder = tempfile::tempdir().expect("a temporary folder");
    let program = find_proxy(None).expect("the executable of the proxy");
    let batch =
        Batch { seeds: SEEDS, jobs: JOBS, busy_threads: 0, program, folder: folder.path().to_owned() };
    let mut checked = 0;
    let mut failures = Vec::new();
    let failed = batch.play(|(seed, result)| match result {
        Ok(report) => {
            println!("{report}");
            checked += report.verdict.requests;
            failures.extend(report.failures().into_iter().map(|failure| format!("seed {seed}: {failure}")));
        }
        Err(error) => failures.push(format!("seed {seed} could not be run: {error}")),
    });
    assert!(
        failures.is_empty() && failed == 0,
        "to repeat: aniseyoke-lab soak --seeds N\n{}",
        failures.join("\n")
    );
    assert!(checked > 1000, "only {checked} requests were checked");
}
