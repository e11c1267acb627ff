//! Memory budgets for buffered bodies, for the whole process.

use hyper::body::Bytes;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// A byte budget and what is reserved of it. All of its users run on one thread; it is shared as an [`Arc`] since
/// [`Bytes`], which may own a reservation, can be sent to other threads.
pub struct Budget {
    limit: AtomicUsize,
    reserved: AtomicUsize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Budget { limit: AtomicUsize::new(limit), reserved: AtomicUsize::new(0) })
    }

    /// Changes the limit; reservations beyond it stay until they are released.
    pub fn set_limit(&self, limit: usize) {
        self.limit.store(limit, Ordering::Relaxed);
    }

    /// Returns the limit.
    pub fn limit(&self) -> usize {
        self.limit.load(Ordering::Relaxed)
    }

    /// Reserves `bytes`, if that many are free.
    pub fn reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let limit = self.limit();
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|reserved| *reserved <= limit);
        self.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok()?;
        Some(Reservation { budget: self.clone(), bytes })
    }
}

/// Reserved bytes, released on drop.
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Releases all but `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        self.bytes -= surplus;
        self.budget.reserved.fetch_sub(surplus, Ordering::Relaxed);
    }

    /// Returns `data`, which keeps its part of the reservation for as long as it is held anywhere: a peer that
    /// reads slowly keeps it in a write queue.
    pub fn hold(mut self, mut data: Vec<u8>) -> Bytes {
        data.shrink_to_fit();
        self.shrink(data.len());
        Bytes::from_owner(ReservedData { data, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// Data and the reservation of its memory.
struct ReservedData {
    data: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

#[cfg(test)]
mod tests;
