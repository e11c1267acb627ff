//! The machine of a cache node or the origin: slots, queue, warm-up, and failure under overload.

use super::processor_sharing::ProcessorSharing;
use super::work_window::{capacity_fraction, WorkWindow};
use super::AttemptId;
use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// The size and speed of a machine, and its limits.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core.
    pub speed: f64,
    /// Maximum number of requests processed concurrently.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue_capacity: usize,
    /// Whether cancelled work is removed from the queue.
    pub cancels_queued: bool,
    /// Time after a start until the machine has its full capacity.
    pub warm_up: Nanos,
    /// Fraction of its capacity right after a start.
    pub initial_capacity: f64,
    /// The machine goes down when sent more than this multiple of its capacity within `overload_window`.
    pub overload_multiple: f64,
    /// Length of the window over which sent work is summed.
    pub overload_window: Nanos,
    /// Whether a warm machine can go down too.
    pub overloads_when_warm: bool,
}

/// Interval at which the load report is refreshed.
const REPORT_INTERVAL: Nanos = 250 * aniseyoke_lab_day::clock::MILLISECOND;

/// The outcome of admitting new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// Processing has started.
    Started,
    /// The work is queued.
    Queued,
    /// The work was rejected because slots and queue are full.
    Rejected,
    /// The machine went down under the load.
    Overloaded,
}

/// The state of one machine.
#[derive(Debug)]
pub struct Machine {
    spec: MachineSpec,
    processor: ProcessorSharing,
    queue: VecDeque<(AttemptId, Nanos)>,
    /// The last start; `None` if the machine was running before the day began.
    started: Option<Nanos>,
    /// The present speed as a fraction of the normal one, set by faults.
    speed_factor: f64,
    window: WorkWindow,
    /// The last load report: its time, busy time and completed requests until then, and the reported values.
    last_report: (Nanos, f64, u64, Option<(f64, f64)>),
    done: u64,
    /// Generation of the forecast of the next event; a scheduled event of an earlier generation is ignored.
    pub forecast: u64,
}

impl Machine {
    /// Creates a warm machine.
    pub fn new(spec: MachineSpec) -> Self {
        let (processor, window) =
            (ProcessorSharing::new(spec.cores, spec.speed), WorkWindow::new(spec.overload_window));
        Machine {
            spec,
            processor,
            queue: VecDeque::new(),
            started: None,
            speed_factor: 1.0,
            window,
            last_report: (0, 0.0, 0, None),
            done: 0,
            forecast: 0,
        }
    }

    /// Restarts the process, cold and without work.
    pub fn restart(&mut self, now: Nanos) {
        self.stop(now);
        self.started = Some(now);
        self.update_speed(now);
    }

    /// Ends the process, which loses its work.
    pub fn stop(&mut self, now: Nanos) {
        self.processor.clear(now);
        self.queue.clear();
        self.window.clear();
    }

    /// Whether the machine is still warming up.
    pub fn is_cold(&self, now: Nanos) -> bool {
        self.started.is_some_and(|started| now < started + self.spec.warm_up)
    }

    /// The last start and the work that the machine may be sent within the overload window; `None` for a warm machine.
    pub fn slow_start_budget(&self, now: Nanos) -> Option<(Nanos, f64)> {
        let started = self.started.filter(|_| self.is_cold(now))?;
        Some((started, self.spec.overload_multiple * self.capacity(now) * self.spec.overload_window as f64))
    }

    /// Cores times speed times the warmed-up fraction, without the effect of faults.
    fn capacity(&self, now: Nanos) -> f64 {
        let age = self.started.map_or(Nanos::MAX, |started| now.saturating_sub(started));
        self.spec.cores
            * self.spec.speed
            * capacity_fraction(age, self.spec.warm_up, self.spec.initial_capacity)
    }

    /// The busy fraction of the cores and the requests completed per second, refreshed every [`REPORT_INTERVAL`].
    pub fn load_report(&mut self, now: Nanos) -> Option<(f64, f64)> {
        let (at, busy, done, reported) = self.last_report;
        let span = now.saturating_sub(at);
        if span < REPORT_INTERVAL {
            return reported;
        }
        let (busy_now, done_now) = (self.processor.busy(now), self.done);
        let seconds = span as f64 / aniseyoke_lab_day::clock::SECOND as f64;
        let fraction = (busy_now - busy) / span as f64 / self.spec.cores;
        let reported = Some((fraction.clamp(0.0, 1.0), (done_now - done) as f64 / seconds));
        self.last_report = (now, busy_now, done_now, reported);
        reported
    }

    /// Sets the speed to this fraction of the normal one.
    pub fn set_speed_factor(&mut self, now: Nanos, fraction: f64) {
        self.speed_factor = fraction;
        self.update_speed(now);
    }

    /// Adapts the speed to the current capacity during warm-up.
    pub fn update_speed(&mut self, now: Nanos) {
        let speed = self.capacity(now) / self.spec.cores * self.speed_factor;
        self.processor.set_speed(now, speed);
    }

    /// Number of requests in processing or queued.
    #[cfg(test)]
    pub fn pending(&self) -> usize {
        self.processor.len() + self.queue.len()
    }

    /// The fraction of the work in the overload window that misses at cold nodes caused.
    pub fn cold_fraction(&self) -> f64 {
        self.window.cold_fraction()
    }

    /// Admits new work; `from_cold_node` says whether a miss at a cold node caused it.
    pub fn admit(
        &mut self,
        now: Nanos,
        attempt_id: AttemptId,
        work: Nanos,
        from_cold_node: bool,
    ) -> Admitted {
        self.window.record(now, work, from_cold_node);
        let may_overload = self.spec.overloads_when_warm || self.is_cold(now);
        if may_overload && self.window.exceeds(self.spec.overload_multiple, self.capacity(now)) {
            return Admitted::Overloaded;
        }
        if self.processor.len() < self.spec.slots {
            self.processor.begin(now, attempt_id, work);
            return Admitted::Started;
        }
        if self.queue.len() < self.spec.queue_capacity {
            self.queue.push_back((attempt_id, work));
            return Admitted::Queued;
        }
        Admitted::Rejected
    }

    /// Cancels work; returns true if it was removed from the queue. Work in processing continues.
    pub fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        if !self.spec.cancels_queued {
            return false;
        }
        let before = self.queue.len();
        self.queue.retain(|(t, _)| *t != attempt_id);
        self.queue.len() < before
    }

    /// Removes and returns completed work; `started` is called with the queued work that starts in its place.
    pub fn pop_completed(&mut self, now: Nanos, mut started: impl FnMut(AttemptId)) -> Option<AttemptId> {
        let done = self.processor.pop_completed(now)?;
        self.done += 1;
        if let Some((attempt_id, work)) = self.queue.pop_front() {
            self.processor.begin(now, attempt_id, work);
            started(attempt_id);
        }
        Some(done)
    }

    /// The time of the next event: work completes, or the capacity rises by one warm-up step.
    pub fn next_due(&self, now: Nanos) -> Option<Nanos> {
        /// Interval between updates of the speed during warm-up.
        const WARM_UP_STEP: Nanos = 100 * aniseyoke_lab_day::clock::MILLISECOND;
        let done = self.processor.next_due()?;
        Some(if self.is_cold(now) { done.min(now + WARM_UP_STEP) } else { done })
    }
}

#[cfg(test)]
mod tests;
