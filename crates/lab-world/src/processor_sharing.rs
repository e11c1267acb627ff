//! Processor sharing: a machine's cores are divided evenly among the jobs in progress.

use aniseyoke_lab_day::clock::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Jobs in progress on a set of cores. Each job gets an equal share of the cores, and never more than one core.
///
/// `served` is the service that a job running since the beginning would have received. A job is complete when `served`
/// reaches the job's finish mark, so changes of the rate need no update of each job.
#[derive(Debug)]
pub struct ProcessorSharing {
    cores: f64,
    /// Speed of one core, including slowdowns.
    speed: f64,
    /// Service per job so far, in nanoseconds of work.
    served: f64,
    /// Accumulated busy time of the cores, in nanoseconds.
    busy: f64,
    last: Nanos,
    /// Finish marks and ids of the jobs in progress.
    finish_marks: BinaryHeap<Reverse<(u64, u64)>>,
}

impl ProcessorSharing {
    /// Creates idle cores of this speed.
    pub fn new(cores: f64, speed: f64) -> Self {
        ProcessorSharing { cores, speed, served: 0.0, busy: 0.0, last: 0, finish_marks: BinaryHeap::new() }
    }

    /// Number of jobs in progress.
    pub fn len(&self) -> usize {
        self.finish_marks.len()
    }

    fn rate(&self) -> f64 {
        self.speed * (self.cores / self.finish_marks.len().max(1) as f64).min(1.0)
    }

    fn advance(&mut self, now: Nanos) {
        if !self.finish_marks.is_empty() {
            let span = now.saturating_sub(self.last) as f64;
            self.served += span * self.rate();
            self.busy += span * self.cores.min(self.finish_marks.len() as f64);
        }
        self.last = now;
    }

    /// The accumulated busy time of the cores, in nanoseconds.
    pub fn busy(&mut self, now: Nanos) -> f64 {
        self.advance(now);
        self.busy
    }

    /// Sets the speed of a core from now on.
    pub fn set_speed(&mut self, now: Nanos, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Starts a job with this amount of work, in nanoseconds on a core of speed 1.
    pub fn begin(&mut self, now: Nanos, id: u64, work: Nanos) {
        self.advance(now);
        self.finish_marks.push(Reverse((self.served as u64 + work, id)));
    }

    /// The time at which the next job completes if nothing changes.
    pub fn next_due(&self) -> Option<Nanos> {
        let Reverse((finish_mark, _)) = self.finish_marks.peek()?;
        let remaining = (*finish_mark as f64 - self.served).max(0.0);
        Some(self.last.saturating_add((remaining / self.rate()).ceil() as Nanos))
    }

    /// Removes and returns a completed job.
    pub fn pop_completed(&mut self, now: Nanos) -> Option<u64> {
        self.advance(now);
        let Reverse((finish_mark, id)) = *self.finish_marks.peek()?;
        // Tolerates a rounding error of one nanosecond, which could otherwise keep a job from ever completing.
        if finish_mark as f64 > self.served + 1.0 {
            return None;
        }
        self.finish_marks.pop();
        Some(id)
    }

    /// Drops all jobs.
    pub fn clear(&mut self, now: Nanos) {
        self.finish_marks.clear();
        self.last = now;
    }
}

#[cfg(test)]
mod tests;
