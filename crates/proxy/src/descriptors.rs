//! The budget of file descriptors that all sockets of the process share.

use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;

/// The limit on descriptors for sockets, and how many are in use.
pub struct DescriptorBudget {
    used: Cell<usize>,
    limit: Cell<usize>,
    freed: Notify,
}

impl DescriptorBudget {
    /// Creates a budget of `limit` descriptors.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(DescriptorBudget { used: Cell::new(0), limit: Cell::new(limit), freed: Notify::new() })
    }

    /// Returns how many descriptors may be in use at once.
    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Returns how many descriptors are in use.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Changes the limit; permits beyond it stay valid until they are dropped.
    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
        self.freed.notify_one();
    }

    /// Returns a permit for one descriptor, if one is free.
    pub fn try_acquire(self: &Rc<Self>) -> Option<DescriptorPermit> {
        if self.used.get() >= self.limit.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        Some(DescriptorPermit(self.clone()))
    }

    /// Waits until a permit is dropped or the limit changes.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }
}

/// A permit for one descriptor, returned to the budget on drop.
pub struct DescriptorPermit(Rc<DescriptorBudget>);

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        self.0.used.set(self.0.used.get().saturating_sub(1));
        self.0.freed.notify_one();
    }
}
