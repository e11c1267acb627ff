//! What will happen, in the order of its time; what is due at once happens in the order in which it was put in.

use super::SimEvent;
use aniseyoke_lab_day::clock::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The queue of a simulation.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u64, SimEvent)>>,
    put: u64,
}

impl Queue {
    /// Puts something in.
    pub fn push(&mut self, at: Nanos, event: SimEvent) {
        self.put += 1;
        self.heap.push(Reverse((at, self.put, event)));
    }

    /// Takes what is due next, with its time.
    pub fn pop(&mut self) -> Option<(Nanos, SimEvent)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }

    /// How much was ever put in.
    pub fn put(&self) -> u64 {
        self.put
    }
}
