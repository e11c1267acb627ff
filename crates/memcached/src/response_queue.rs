//! The responses of one connection, in the order of their requests.
//!
//! Servers of this protocol respond in order, and clients that use quiet requests rely on it: the response to
//! a NOOP means that all earlier requests are done. Requests are executed concurrently, so a slow request
//! delays the responses after it but not their execution. The queue is bounded; while it is full, the
//! connection is not read.

use std::collections::VecDeque;

/// Identifies a request of a connection by its position in the order of requests. Numbers are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(u64);

/// Limits of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of requests whose response is pending, or waits for an earlier one.
    pub requests: usize,
    /// Maximum size of responses that wait for an earlier one, in bytes. A single response may exceed it.
    pub bytes: usize,
}

enum Slot<R> {
    /// There is no response yet.
    Pending,
    /// A response, and its size in bytes.
    Ready(R, usize),
    /// The request ended without a response, because it was quiet or cancelled.
    Suppressed,
}

/// The responses of one connection, returned in the order of the requests.
pub struct ResponseQueue<R> {
    limits: QueueLimits,
    slots: VecDeque<Slot<R>>,
    /// The number of the request in the first slot.
    first: u64,
    waiting_bytes: usize,
}

impl<R> ResponseQueue<R> {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        ResponseQueue { limits, slots: VecDeque::new(), first: 0, waiting_bytes: 0 }
    }

    /// Whether the limits allow another request to be read.
    pub fn has_capacity(&self) -> bool {
        self.slots.len() < self.limits.requests && self.waiting_bytes <= self.limits.bytes
    }

    /// Number of requests whose response is pending, or waits for an earlier one.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether the queue has no requests.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Size of the responses that have not been returned yet, in bytes.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a request, and returns its number.
    pub fn push_request(&mut self) -> RequestNumber {
        self.slots.push_back(Slot::Pending);
        RequestNumber(self.first + self.slots.len() as u64 - 1)
    }

    fn pending_slot(&mut self, request: RequestNumber) -> Option<&mut Slot<R>> {
        let index = usize::try_from(request.0.checked_sub(self.first)?).ok()?;
        self.slots.get_mut(index).filter(|slot| matches!(slot, Slot::Pending))
    }

    /// Adds the response to a request; `bytes` count against the limit until the response is returned.
    /// Returns false, and drops the response, if the request has already ended.
    pub fn respond(&mut self, request: RequestNumber, response: R, bytes: usize) -> bool {
        let Some(slot) = self.pending_slot(request) else { return false };
        *slot = Slot::Ready(response, bytes);
        self.waiting_bytes += bytes;
        true
    }

    /// Ends a request without a response. Returns false if the request has already ended.
    pub fn suppress(&mut self, request: RequestNumber) -> bool {
        let Some(slot) = self.pending_slot(request) else { return false };
        *slot = Slot::Suppressed;
        true
    }

    /// Removes and returns the next response, unless an earlier one is still pending.
    pub fn pop_ready(&mut self) -> Option<R> {
        loop {
            if matches!(self.slots.front()?, Slot::Pending) {
                return None;
            }
            self.first += 1;
            if let Slot::Ready(response, bytes) = self.slots.pop_front()? {
                self.waiting_bytes -= bytes;
                return Some(response);
            }
        }
    }
}

#[cfg(test)]
mod tests;
