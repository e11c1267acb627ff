//! Processor sharing: a machine's cores divided evenly among the work in progress.

use aniseyoke_lab_day::clock::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Work in progress on some cores. Each piece gets an equal share of them, and never more than one core.
///
/// It counts the service that a piece begun at the start would have had (`served`), so that each piece is done once
/// that count reaches the piece's finish mark, whatever the rate did in between.
#[derive(Debug)]
pub struct ProcessorSharing {
    cores: f64,
    /// Speed of one core, times whatever slows it now.
    speed: f64,
    /// Service for each piece so far, in nanoseconds of work.
    served: f64,
    /// Time that cores were busy, in nanoseconds.
    busy: f64,
    last: Nanos,
    /// Finish marks and ids of the pieces.
    finish_marks: BinaryHeap<Reverse<(u64, u64)>>,
}

impl ProcessorSharing {
    /// Idle cores of this speed.
    pub fn new(cores: f64, speed: f64) -> Self {
        ProcessorSharing { cores, speed, served: 0.0, busy: 0.0, last: 0, finish_marks: BinaryHeap::new() }
    }

    /// Pieces in progress.
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

    /// Time that cores have been busy so far, in nanoseconds.
    pub fn busy(&mut self, now: Nanos) -> f64 {
        self.advance(now);
        self.busy
    }

    /// From now on a core has this speed.
    pub fn set_speed(&mut self, now: Nanos, speed: f64) {
        self.advance(now);
        self.speed = speed;
    }

    /// Begins a piece of so much work, in nanoseconds on a core of speed 1.
    pub fn begin(&mut self, now: Nanos, id: u64, work: Nanos) {
        self.advance(now);
        self.finish_marks.push(Reverse((self.served as u64 + work, id)));
    }

    /// When the next piece will be done if nothing changes.
    pub fn next_due(&self) -> Option<Nanos> {
        let Reverse((finish_mark, _)) = self.finish_marks.peek()?;
        let left = (*finish_mark as f64 - self.served).max(0.0);
        Some(self.last.saturating_add((left / self.rate()).ceil() as Nanos))
    }

    /// Takes a piece that is done.
    pub fn take_done(&mut self, now: Nanos) -> Option<u64> {
        self.advance(now);
        let Reverse((finish_mark, id)) = *self.finish_marks.peek()?;
        // A nanosecond of rounding must not leave a piece for ever.
        if finish_mark as f64 > self.served + 1.0 {
            return None;
        }
        self.finish_marks.pop();
        Some(id)
    }

    /// Drops everything.
    pub fn clear(&mut self, now: Nanos) {
        self.finish_marks.clear();
        self.last = now;
    }
}

#[cfg(test)]
mod tests;
