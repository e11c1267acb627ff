//! Runs many starts, several at a time.

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

/// Maximum number of starts at a time.
pub const MAX_JOBS: usize = 48;
/// Maximum number of busy threads that run alongside.
pub const MAX_BUSY_THREADS: usize = 256;
/// File name of the report in the folder of a failed start.
const REPORT_FILE: &str = "report.json";

/// A batch of starts.
#[derive(Clone, Debug)]
pub struct Batch {
    /// The seed that the starts are drawn from.
    pub seed: u64,
    /// The number of the first start.
    pub first: u64,
    /// The number of starts.
    pub starts: u64,
    /// The number of starts that run at a time.
    pub jobs: usize,
    /// The number of busy threads that run alongside.
    pub busy_threads: usize,
    /// The program under test.
    pub subject: Subject,
    /// Parent of the folders of the starts. The folder of a start without faults is removed.
    pub folder: PathBuf,
}

/// The totals of a batch.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Totals {
    /// Starts that were run.
    pub played: u64,
    /// Starts that could not be run.
    pub not_played: u64,
    /// Starts with at least one fault.
    pub failed: u64,
    /// Starts that were ready before SIGTERM.
    pub ready: u64,
    /// Starts in which a call was delayed.
    pub held_up: u64,
    /// Starts in which a thread starved because the machine had no free processor.
    pub starved: u64,
    /// The longest time from the start to readiness.
    pub longest_ready: Duration,
    /// The longest time from SIGTERM to the exit.
    pub longest_end: Duration,
}

impl Totals {
    /// Adds the result of a start.
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

    /// Whether every start was run and had no fault.
    pub fn is_clean(&self) -> bool {
        self.failed == 0 && self.not_played == 0
    }
}

impl Batch {
    /// The folder of a start, which contains its report if it failed.
    pub fn folder_of(&self, number: u64) -> PathBuf {
        self.folder.join(format!("start-{number}"))
    }

    /// Runs all starts and calls `each` with every result as soon as it is available.
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
            // If the report cannot be written, for example because the disk is full, the batch continues.
            let _ = std::fs::write(folder.join(REPORT_FILE), text);
        }
        Ok(report)
    }
}

fn remove(folder: &Path) {
    // A folder that cannot be removed does no harm.
    let _ = std::fs::remove_dir_all(folder);
}
