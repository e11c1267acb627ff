//! Events in order of their time; those due at the same time in the order in which they were queued.

use super::SimEvent;
use aniseyoke_lab_day::clock::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The event queue of a simulation.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u64, SimEvent)>>,
    pushed: u64,
}

impl Queue {
    /// Puts something in.
    pub fn push(&mut self, at: Nanos, event: SimEvent) {
        self.pushed += 1;
        self.heap.push(Reverse((at, self.pushed, event)));
    }

    /// Takes what is due next, with its time.
    pub fn pop(&mut self) -> Option<(Nanos, SimEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }

    /// The number of events ever queued.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }
}
