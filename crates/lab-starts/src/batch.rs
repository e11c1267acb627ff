//! Many starts, several at a time.

use crate::plan::StartPlan;
use crate::run::{run, Subject};
use crate::verdict::StartReport;
use crate::StartsError;
use aniseyoke_lab_process::BusyThreads;
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Starts at once at most.
pub const MAX_JOBS: usize = 48;
/// Busy threads beside them at most.
pub const MAX_BUSY_THREADS: usize = 256;
/// What came of a start, in the folder of one that failed.
const REPORT_FILE: &str = "report.json";

/// Starts to be played.
#[derive(Clone, Debug)]
pub struct Batch {
    /// What is drawn from.
    pub seed: u64,
    /// The first one's number.
    pub first: u64,
    /// How many.
    pub starts: u64,
    /// So many at once.
    pub jobs: usize,
    /// So many busy threads beside them.
    pub busy_threads: usize,
    /// What is started.
    pub subject: Subject,
    /// Takes a folder for each start; that of a clean one is removed.
    pub folder: PathBuf,
}

/// What a batch came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Starts that were played.
    pub played: u64,
    /// Starts that could not be played.
    pub not_played: u64,
    /// Starts of which something was not as it should be.
    pub failed: u64,
    /// Starts that were seen to listen before SIGTERM.
    pub ready: u64,
    /// Starts of which a call was held up.
    pub held_up: u64,
    /// Starts of which a thread starved: the machine had no processor for it.
    pub starved: u64,
    /// The longest time to be ready.
    pub longest_ready: Duration,
    /// The longest time from SIGTERM to the end.
    pub longest_end: Duration,
}

impl Totals {
    /// Counts a start.
    pub fn add(&mut self, result: &Result<StartReport, StartsError>) {
        let Ok(report) = result else {
            self.not_played += 1;
            return;
        };
        self.played += 1;
        self.failed += u64::from(!report.faults.is_empty());
        self.ready += u64::from(report.ready_after.is_some());
        self.held_up += u64::from(report.held_calls > 0);
        self.starved += u64::from(!report.starved.is_empty());
        self.longest_ready = self.longest_ready.max(report.ready_after.unwrap_or_default());
        self.longest_end = self.longest_end.max(report.ended_after.unwrap_or_default());
    }

    /// Whether every start was played and clean.
    pub fn is_clean(&self) -> bool {
        self.failed == 0 && self.not_played == 0
    }
}

impl Batch {
    /// Where the report of a start is kept.
    pub fn folder_of(&self, number: u64) -> PathBuf {
        self.folder.join(format!("start-{number}"))
    }

    /// Plays all starts; `each` is called with each result as it comes.
    pub fn play(&self, each: impl FnMut(u64, &Result<StartReport, StartsError>) + Send) -> Totals {
        let _busy = BusyThreads::start(self.busy_threads.min(MAX_BUSY_THREADS));
        let next = AtomicU64::new(self.first);
        let shared = Mutex::new((Totals::default(), each));
        std::thread::scope(|scope| {
            for _ in 0..self.jobs.clamp(1, MAX_JOBS) {
                scope.spawn(|| loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= self.first + self.starts {
                        return;
                    }
                    let result = self.play_one(number);
                    let mut shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
                    shared.0.add(&result);
                    (shared.1)(number, &result);
                });
            }
        });
        shared.into_inner().unwrap_or_else(PoisonError::into_inner).0
    }

    fn play_one(&self, number: u64) -> Result<StartReport, StartsError> {
        let folder = self.folder_of(number);
        let report = run(StartPlan::draw(self.seed, number), &self.subject, &folder)?;
        if report.faults.is_empty() {
            remove(&folder);
        } else {
            let text = serde_json::to_vec_pretty(&report).unwrap_or_default();
            // A full disk loses the report, not the batch.
            let _ = std::fs::write(folder.join(REPORT_FILE), text);
        }
        Ok(report)
    }
}

fn remove(folder: &Path) {
    // What stays behind is in nobody's way.
    let _ = std::fs::remove_dir_all(folder);
}
