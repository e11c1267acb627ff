//! The memory budget for buffered bodies, for the whole process.

use std::cell::Cell;
use std::rc::Rc;

/// A byte budget and what is reserved of it.
pub struct Budget {
    limit: Cell<usize>,
    reserved: Cell<usize>,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Budget { limit: Cell::new(limit), reserved: Cell::new(0) })
    }

    /// Changes the limit; reservations beyond it stay until they are released.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// Reserves `bytes`, if that many are free.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let reserved =
            self.reserved.get().checked_add(bytes).filter(|reserved| *reserved <= self.limit.get())?;
        self.reserved.set(reserved);
        Some(Reservation { budget: self.clone(), bytes })
    }
}

/// Reserved bytes, released on drop.
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Releases all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.reserved.set(self.budget.reserved.get() - surplus);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

#[cfg(test)]
mod tests;
