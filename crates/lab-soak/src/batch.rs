//! Many seeds, several at a time.

use crate::plan::SoakPlan;
use crate::run::run;
use crate::verdict::RunReport;
use crate::SoakError;
use aniseyoke_lab_process::BusyThreads;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Runs at once at most.
pub const MAX_JOBS: usize = 64;
/// Busy threads beside the runs at most.
pub const MAX_BUSY_THREADS: usize = 256;

/// Reads `FIRST..LAST`, both included, or a single seed.
///
/// # Errors
/// If it is something else.
pub fn parse_seeds(text: &str) -> Result<RangeInclusive<u64>, SoakError> {
    let unusable = || SoakError::Seeds(text.to_owned());
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let first: u64 = first.parse().map_err(|_| unusable())?;
    let last: u64 = last.parse().map_err(|_| unusable())?;
    if first > last || last == u64::MAX {
        return Err(unusable());
    }
    Ok(first..=last)
}

/// Seeds to be played.
pub struct Batch {
    /// Which.
    pub seeds: RangeInclusive<u64>,
    /// So many at once.
    pub jobs: usize,
    /// So many busy threads beside them.
    pub busy_threads: usize,
    /// The proxy's program.
    pub program: PathBuf,
    /// Takes a folder for each run; that of a clean run is removed.
    pub folder: PathBuf,
}

/// A seed and what came of it.
pub type SeedResult = (u64, Result<RunReport, SoakError>);

impl Batch {
    /// Where the log and the report of a seed are kept.
    pub fn folder_of(&self, seed: u64) -> PathBuf {
        self.folder.join(format!("seed-{seed}"))
    }

    /// Plays all seeds; `each` is called with each result as it comes. Returns how many were not clean.
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

/// Whether a seed was played and everything held.
pub fn is_clean((_, result): &SeedResult) -> bool {
    result.as_ref().is_ok_and(RunReport::is_clean)
}

fn remove(folder: &Path) {
    // What stays behind is only in the way of nobody.
    let _ = std::fs::remove_dir_all(folder);
}
