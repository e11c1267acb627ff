//! One machine, a cache node or the origin: slots, queue, warm-up, and going down under overload.

use super::processor_sharing::ProcessorSharing;
use super::work_window::{capacity_fraction, WorkWindow};
use super::AttemptId;
use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// The size and speed of a machine, and its limits.
#[derive(Clone, Debug)]
pub struct MachineSpec {
    /// Cores.
    pub cores: f64,
    /// Speed of each.
    pub speed: f64,
    /// Requests processed at once.
    pub slots: usize,
    /// Requests queued.
    pub queue_capacity: usize,
    /// Queued work is dropped when cancelled.
    pub cancels_queued: bool,
    /// It has its whole capacity after this time.
    pub warm_up: Nanos,
    /// Fraction of its capacity that it starts with.
    pub initial_capacity: f64,
    /// It goes down when sent more than this multiple of its capacity...
    pub overload_multiple: f64,
    /// ...within this time.
    pub overload_window: Nanos,
    /// Whether that holds for a warm machine too.
    pub overloads_when_warm: bool,
}

/// A load report is made anew after this time.
const REPORT_INTERVAL: Nanos = 250 * aniseyoke_lab_day::clock::MILLISECOND;

/// Whether new work was admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It is being processed.
    Started,
    /// It is queued.
    Queued,
    /// It was rejected: slots and queue are full.
    Rejected,
    /// The machine went down under it.
    Overloaded,
}

/// A machine at work.
#[derive(Debug)]
pub struct Machine {
    spec: MachineSpec,
    processor: ProcessorSharing,
    queue: VecDeque<(AttemptId, Nanos)>,
    /// When it started; none: long ago.
    started: Option<Nanos>,
    /// Its present speed as a fraction of its normal one.
    speed_factor: f64,
    window: WorkWindow,
    /// Its last report: when, the busy time and the work done by then, and what was reported.
    last_report: (Nanos, f64, u64, Option<(f64, f64)>),
    done: u64,
    /// Counts what makes an earlier forecast of its next event void.
    pub forecast: u64,
}

impl Machine {
    /// A machine that has been running for long.
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

    /// The process starts anew, cold and empty.
    pub fn restart(&mut self, now: Nanos) {
        self.stop(now);
        self.started = Some(now);
        self.update_speed(now);
    }

    /// The process ends and loses its work.
    pub fn stop(&mut self, now: Nanos) {
        self.processor.clear(now);
        self.queue.clear();
        self.window.clear();
    }

    /// Whether it is still warming up.
    pub fn is_cold(&self, now: Nanos) -> bool {
        self.started.is_some_and(|started| now < started + self.spec.warm_up)
    }

    /// Its last start and the work that it may be sent now within the overload window, while it is warming up.
    pub fn slow_start_budget(&self, now: Nanos) -> Option<(Nanos, f64)> {
        let started = self.started.filter(|_| self.is_cold(now))?;
        Some((started, self.spec.overload_multiple * self.capacity(now) * self.spec.overload_window as f64))
    }

    /// Cores times speed, as far as it has warmed up, passing faults not counted.
    fn capacity(&self, now: Nanos) -> f64 {
        let age = self.started.map_or(Nanos::MAX, |started| now.saturating_sub(started));
        self.spec.cores
            * self.spec.speed
            * capacity_fraction(age, self.spec.warm_up, self.spec.initial_capacity)
    }

    /// The fraction of its cores that was busy lately, and requests done a second, taken anew each [`REPORT_INTERVAL`].
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

    /// Runs at this fraction of its speed from now on.
    pub fn set_speed_factor(&mut self, now: Nanos, fraction: f64) {
        self.speed_factor = fraction;
        self.update_speed(now);
    }

    /// Adapts the speed to how far it has warmed up.
    pub fn update_speed(&mut self, now: Nanos) {
        let speed = self.capacity(now) / self.spec.cores * self.speed_factor;
        self.processor.set_speed(now, speed);
    }

    /// Requests being processed and queued.
    #[cfg(test)]
    pub fn pending(&self) -> usize {
        self.processor.len() + self.queue.len()
    }

    /// The fraction of the work sent lately that misses at cold nodes caused.
    pub fn cold_fraction(&self) -> f64 {
        self.window.cold_fraction()
    }

    /// Takes new work; `from_cold`: a miss at a cold node caused it.
    pub fn admit(&mut self, now: Nanos, attempt_id: AttemptId, work: Nanos, from_cold: bool) -> Admitted {
        self.window.record(now, work, from_cold);
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

    /// Cancels work; true if it was queued and is dropped. What is being processed goes on.
    pub fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        if !self.spec.cancels_queued {
            return false;
        }
        let before = self.queue.len();
        self.queue.retain(|(t, _)| *t != attempt_id);
        self.queue.len() < before
    }

    /// Takes work that is done; `started` is called with what starts in its place.
    pub fn take_done(&mut self, now: Nanos, mut started: impl FnMut(AttemptId)) -> Option<AttemptId> {
        let done = self.processor.take_done(now)?;
        self.done += 1;
        if let Some((attempt_id, work)) = self.queue.pop_front() {
            self.processor.begin(now, attempt_id, work);
            started(attempt_id);
        }
        Some(done)
    }

    /// When its next event is due: work is done, or it has warmed up a little.
    pub fn next_due(&self, now: Nanos) -> Option<Nanos> {
        /// Steps in which capacity rises.
        const WARM_UP_STEP: Nanos = 100 * aniseyoke_lab_day::clock::MILLISECOND;
        let done = self.processor.next_due()?;
        Some(if self.is_cold(now) { done.min(now + WARM_UP_STEP) } else { done })
    }
}

#[cfg(test)]
mod tests;
