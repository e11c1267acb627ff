//! The bytes that bodies held whole may take, for the whole process.

use std::cell::Cell;
use std::rc::Rc;

pub struct Budget {
    most: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Budget { most: Cell::new(most), held: Cell::new(0) })
    }

    /// From here on so much may be taken; what is held beyond that stays until it is given back.
    pub fn limit(&self, most: usize) {
        self.most.set(most);
    }

    /// Books so many bytes, if they are free.
    pub fn take(self: &Rc<Self>, bytes: usize) -> Option<Held> {
        let held = self.held.get().checked_add(bytes).filter(|held| *held <= self.most.get())?;
        self.held.set(held);
        Some(Held { budget: self.clone(), bytes })
    }
}

/// Bytes that are booked until this is dropped.
pub struct Held {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Held {
    /// Gives back what is more than this.
    pub fn shrink(&mut self, bytes: usize) {
        let more = self.bytes.saturating_sub(bytes);
        self.bytes -= more;
        self.budget.held.set(self.budget.held.get() - more);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn no_more_is_held_than_there_is_room_for() {
        let budget = Budget::new(100);
        let mut first = budget.take(80).expect("room");
        assert!(budget.take(21).is_none() && budget.take(usize::MAX).is_none());
        first.shrink(30);
        let second = budget.take(70).expect("room");
        assert!(budget.take(1).is_none());
        drop(first);
        budget.limit(70);
        assert!(budget.take(1).is_none());
        drop(second);
        assert!(budget.take(70).is_some());
    }
}
