//! One machine, a cache node or the ledger: slots, waiting room, cold start, and the fall under too much work.

use super::budget::{warmth, Window};
use super::share::Share;
use super::Ticket;
use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// What a machine is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cores.
    pub cores: f64,
    /// Speed of each.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait.
    pub room: usize,
    /// Waiting work is dropped when given up.
    pub drops_queued: bool,
    /// It is warm after this time.
    pub cold: Nanos,
    /// Part of its capacity that it starts with.
    pub cold_from: f64,
    /// It falls when sent more than this multiple of its capacity...
    pub fall_multiple: f64,
    /// ...within this time.
    pub fall: Nanos,
    /// Whether that holds for a warm machine too.
    pub falls_warm: bool,
}

/// A node tells of its load anew after this time.
const REPORT_EVERY: Nanos = 250 * aniseyoke_lab_day::clock::MS;

/// What has become of new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// It is in work.
    Begun,
    /// It waits.
    Waits,
    /// It was turned away: slots and room are full.
    Full,
    /// The machine fell under it.
    Fell,
}

/// A machine at work.
#[derive(Debug)]
pub struct Machine {
    spec: Spec,
    share: Share,
    queue: VecDeque<(Ticket, Nanos)>,
    /// When it started; none: long ago.
    born: Option<Nanos>,
    /// What slows it now.
    slowed: f64,
    window: Window,
    /// Its last report: when, the busy time and the work done by then, and what was told.
    report: (Nanos, f64, u64, Option<(f64, f64)>),
    done: u64,
    /// Counts what makes an earlier forecast of its next event void.
    pub forecast: u64,
}

impl Machine {
    /// A machine that has been running for long.
    pub fn new(spec: Spec) -> Self {
        let (share, window) = (Share::new(spec.cores, spec.speed), Window::new(spec.fall));
        Machine {
            spec,
            share,
            queue: VecDeque::new(),
            born: None,
            slowed: 1.0,
            window,
            report: (0, 0.0, 0, None),
            done: 0,
            forecast: 0,
        }
    }

    /// The process starts anew, cold and empty.
    pub fn restart(&mut self, now: Nanos) {
        self.stop(now);
        self.born = Some(now);
        self.retune(now);
    }

    /// The process ends with all that it had.
    pub fn stop(&mut self, now: Nanos) {
        self.share.clear(now);
        self.queue.clear();
        self.window.clear();
    }

    /// Whether it is still warming.
    pub fn is_cold(&self, now: Nanos) -> bool {
        self.born.is_some_and(|born| now < born + self.spec.cold)
    }

    /// Its last start and the work that it may be sent now within the rule's span, while it is warming.
    pub fn ramp(&self, now: Nanos) -> Option<(Nanos, f64)> {
        let born = self.born.filter(|_| self.is_cold(now))?;
        Some((born, self.spec.fall_multiple * self.capacity(now) * self.spec.fall as f64))
    }

    /// Cores times speed, as far as it is warm, without passing troubles.
    fn capacity(&self, now: Nanos) -> f64 {
        let age = self.born.map_or(Nanos::MAX, |born| now.saturating_sub(born));
        self.spec.cores * self.spec.speed * warmth(age, self.spec.cold, self.spec.cold_from)
    }

    /// The part of its cores that was busy lately, and requests done a second: taken anew each [`REPORT_EVERY`].
    pub fn report(&mut self, now: Nanos) -> Option<(f64, f64)> {
        let (at, busy, done, told) = self.report;
        let span = now.saturating_sub(at);
        if span < REPORT_EVERY {
            return told;
        }
        let (busy_now, done_now) = (self.share.busy(now), self.done);
        let seconds = span as f64 / aniseyoke_lab_day::clock::SECOND as f64;
        let part = (busy_now - busy) / span as f64 / self.spec.cores;
        let told = Some((part.clamp(0.0, 1.0), (done_now - done) as f64 / seconds));
        self.report = (now, busy_now, done_now, told);
        told
    }

    /// Runs at this part of its speed from now on.
    pub fn slow(&mut self, now: Nanos, part: f64) {
        self.slowed = part;
        self.retune(now);
    }

    /// Takes its present warmth into account.
    pub fn retune(&mut self, now: Nanos) {
        let speed = self.capacity(now) / self.spec.cores * self.slowed;
        self.share.set_speed(now, speed);
    }

    /// Requests in work and waiting.
    #[cfg(test)]
    pub fn held(&self) -> usize {
        self.share.len() + self.queue.len()
    }

    /// The part of the work sent lately that misses at cold nodes caused.
    pub fn cold_part(&self) -> f64 {
        self.window.cold_part()
    }

    /// Takes new work; `from_cold`: a miss at a cold node caused it.
    pub fn admit(&mut self, now: Nanos, ticket: Ticket, work: Nanos, from_cold: bool) -> Admitted {
        self.window.book(now, work, from_cold);
        let may_fall = self.spec.falls_warm || self.is_cold(now);
        if may_fall && self.window.over(self.spec.fall_multiple, self.capacity(now)) {
            return Admitted::Fell;
        }
        if self.share.len() < self.spec.slots {
            self.share.begin(now, ticket, work);
            return Admitted::Begun;
        }
        if self.queue.len() < self.spec.room {
            self.queue.push_back((ticket, work));
            return Admitted::Waits;
        }
        Admitted::Full
    }

    /// A proxy no longer waits; true if the work was dropped. What is in work goes on.
    pub fn give_up(&mut self, ticket: Ticket) -> bool {
        if !self.spec.drops_queued {
            return false;
        }
        let before = self.queue.len();
        self.queue.retain(|(t, _)| *t != ticket);
        self.queue.len() < before
    }

    /// Takes work that is done; `begun` is told of what begins in its place.
    pub fn take_done(&mut self, now: Nanos, mut begun: impl FnMut(Ticket)) -> Option<Ticket> {
        let done = self.share.take_done(now)?;
        self.done += 1;
        if let Some((ticket, work)) = self.queue.pop_front() {
            self.share.begin(now, ticket, work);
            begun(ticket);
        }
        Some(done)
    }

    /// When something next happens to it by itself: work is done, or it has warmed a little.
    pub fn next_due(&self, now: Nanos) -> Option<Nanos> {
        /// Steps in which a rise of capacity is played.
        const STEP: Nanos = 100 * aniseyoke_lab_day::clock::MS;
        let done = self.share.next_due()?;
        Some(if self.is_cold(now) { done.min(now + STEP) } else { done })
    }
}

#[cfg(test)]
mod tests;
