//! The event queue. Events are ordered by time, and events due at the same time by the order in which they
//! were queued.

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
    /// Queues an event.
    pub fn push(&mut self, at: Nanos, event: SimEvent) {
        self.pushed += 1;
        self.heap.push(Reverse((at, self.pushed, event)));
    }

    /// Removes the event that is due next and returns it with its time.
    pub fn pop(&mut self) -> Option<(Nanos, SimEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }

    /// The number of events queued since the start.
    pub fn pushed(&self) -> u64 {
        self.pushed
    }
}
