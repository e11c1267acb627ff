//! What will happen, in the order of its time; what is due at once happens in the order in which it was put in.

use super::Happening;
use aniseyoke_lab_day::clock::Nanos;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The queue of a simulation.
#[derive(Default)]
pub struct Queue {
    heap: BinaryHeap<Reverse<(Nanos, u64, Happening)>>,
    put: u64,
}

impl Queue {
    /// Puts something in.
    pub fn push(&mut self, at: Nanos, happening: Happening) {
        self.put += 1;
        self.heap.push(Reverse((at, self.put, happening)));
    }

    /// Takes what is due next, with its time.
    pub fn pop(&mut self) -> Option<(Nanos, Happening)> {
        self.heap.pop().map(|Reverse((at, _, happening))| (at, happening))
    }

    /// How much was ever put in.
    pub fn put(&self) -> u64 {
        self.put
    }
}
