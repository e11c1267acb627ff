//! Runs of many seeds, several at a time.

use crate::plan::SoakPlan;
use crate::run::run;
use crate::verdict::RunReport;
use crate::SoakError;
use aniseyoke_lab_process::BusyThreads;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Limit of concurrent runs.
pub const MAX_JOBS: usize = 64;
/// Limit of the busy threads in addition to the runs.
pub const MAX_BUSY_THREADS: usize = 256;

/// Parses `FIRST..LAST`, both inclusive, or a single seed.
///
/// # Errors
/// If the text has another format, or the range is empty.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, SoakError> {
    let invalid = || SoakError::Seeds(text.to_owned());
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first: u64 = first.parse().map_err(|_| invalid())?;
    let last: u64 = last.parse().map_err(|_| invalid())?;
    if first > last || last == u64::MAX {
        return Err(invalid());
    }
    Ok(first..=last)
}

/// A batch of seeds to run.
pub struct Batch {
    /// The seeds.
    pub seeds: RangeInclusive<u64>,
    /// Number of concurrent runs.
    pub jobs: usize,
    /// Number of busy threads in addition to the runs.
    pub busy_threads: usize,
    /// The executable of the proxy.
    pub program: PathBuf,
    /// Parent of the folders of the runs; the folder of a clean run is removed.
    pub folder: PathBuf,
}

/// A seed and the result of its run.
pub type SeedResult = (u64, Result<RunReport, SoakError>);

impl Batch {
    /// Returns the folder with the log and the report of a seed.
    pub fn folder_of(&self, seed: u64) -> PathBuf {
        self.folder.join(format!("seed-{seed}"))
    }

    /// Runs all seeds, and calls `each` with each result once the run has ended. Returns how many results were not
    /// clean.
    pub fn play(&self, each: impl FnMut(&SeedResult) + Send) -> u64 {
        let _busy = BusyThreads::start(self.busy_threads.min(MAX_BUSY_THREADS));
        let next = AtomicU64::new(*self.seeds.start());
        let failed = AtomicU64::new(0);
        let each = Mutex::new(each);
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, MAX_JOBS) {
                scope.spawn(|| loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if !self.seeds.contains(&seed) {
                        return;
                    }
                    let result = (seed, self.play_seed(seed));
                    failed.fetch_add(u64::from(!is_clean(&result)), Ordering::Relaxed);
                    let mut each = each.lock().unwrap_or_else(PoisonError::into_inner);
                    each(&result);
                });
            }
        });
        failed.into_inner()
    }

    fn play_seed(&self, seed: u64) -> Result<RunReport, SoakError> {
        let folder = self.folder_of(seed);
        let report = run(SoakPlan::draw(seed), &self.program, &folder)?;
        if report.is_clean() {
            remove(&folder);
        }
        Ok(report)
    }
}

/// Returns whether the run of a seed completed and was clean.
pub fn is_clean((_, result): &SeedResult) -> bool {
    result.as_ref().is_ok_and(RunReport::is_clean)
}

fn remove(folder: &Path) {
    // A folder that can't be removed does no harm.
    let _ = std::fs::remove_dir_all(folder);
}
