//! The budget of descriptors that all sockets of the process share.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The descriptors that sockets may still take.
pub struct DescriptorBudget {
    used: Cell<usize>,
    limit: Cell<usize>,
    freed: Notify,
}

impl DescriptorBudget {
    /// A budget of so many.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(DescriptorBudget { used: Cell::new(0), limit: Cell::new(limit), freed: Notify::new() })
    }

    /// How many may be taken in all.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// How many are taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// From here on so many may be taken; what is held beyond that stays until it is given back.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.freed.notify_one();
    }

    /// Takes one, if any is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.limit.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// Waits until one is given back.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// A descriptor taken from the budget; it returns when this is dropped.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}
