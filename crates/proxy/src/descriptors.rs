//! The budget of descriptors that all sockets of the process share.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The descriptors that sockets may still take.
pub struct Descriptors {
    used: Cell<usize>,
    most: Cell<usize>,
    freed: Notify,
}

impl Descriptors {
    /// A budget of so many.
    pub fn new(most: usize) -> Rc<Self> {
        Rc::new(Descriptors { used: Cell::new(0), most: Cell::new(most), freed: Notify::new() })
    }

    /// How many may be taken in all.
    pub fn most(&self) -> usize {
        self.most.get()
    }

    /// How many are taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// From here on so many may be taken; what is held beyond that stays until it is given back.
    pub fn limit(&self, most: usize) {
        self.most.set(most);
        self.freed.notify_one();
    }

    /// Takes one, if any is free.
    pub fn take(self: &Rc<Self>) -> Option<Permit> {
        if self.used.get() >= self.most.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(Permit(self.clone()))
    }

    /// Waits until one is given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// A descriptor taken from the budget; it returns when this is dropped.
pub struct Permit(Rc<Descriptors>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}
