//! The responses of one connection, in the order of their requests.
//!
//! Servers of this protocol respond in order, and a client that uses quiet requests depends on it: the response to its NOOP
//! says that all requests before it are done. Requests are carried out concurrently, so that one slow key delays the
//! responses behind it and not the work. What waits is bounded, and no more is read from a connection without capacity.

use std::collections::VecDeque;

/// Identifies a request of a connection, by its place in the order. It is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestNumber(u64);

/// How much one connection may have in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests without a response, or whose response waits for one before it.
    pub requests: usize,
    /// Bytes of responses that wait for one before them. One response may exceed it.
    pub bytes: usize,
}

enum Slot<R> {
    /// The response is still to come.
    Pending,
    /// A response, and how many bytes it takes.
    Ready(R, usize),
    /// There will be no response, since the request was quiet.
    Suppressed,
}

/// The responses of one connection.
pub struct ResponseQueue<R> {
    limits: QueueLimits,
    slots: VecDeque<Slot<R>>,
    /// The number of the first slot's request.
    first: u64,
    waiting_bytes: usize,
}

impl<R> ResponseQueue<R> {
    /// A queue without requests.
    pub fn new(limits: QueueLimits) -> Self {
        ResponseQueue { limits, slots: VecDeque::new(), first: 0, waiting_bytes: 0 }
    }

    /// Whether another request may be read.
    pub fn has_capacity(&self) -> bool {
        self.slots.len() < self.limits.requests && self.waiting_bytes <= self.limits.bytes
    }

    /// Requests without a response, or whose response waits.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes of responses that wait.
    pub fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a request that has been read.
    pub fn push_request(&mut self) -> RequestNumber {
        self.slots.push_back(Slot::Pending);
        RequestNumber(self.first + self.slots.len() as u64 - 1)
    }

    fn pending_slot(&mut self, request: RequestNumber) -> Option<&mut Slot<R>> {
        let index = usize::try_from(request.0.checked_sub(self.first)?).ok()?;
        self.slots.get_mut(index).filter(|slot| matches!(slot, Slot::Pending))
    }

    /// Adds the response to a request, which takes so many bytes until it is written. Returns false, and drops the response,
    /// if there was one before.
    pub fn respond(&mut self, request: RequestNumber, response: R, bytes: usize) -> bool {
        let Some(slot) = self.pending_slot(request) else { return false };
        *slot = Slot::Ready(response, bytes);
        self.waiting_bytes += bytes;
        true
    }

    /// Ends a request without a response. Returns false if there was one.
    pub fn suppress(&mut self, request: RequestNumber) -> bool {
        let Some(slot) = self.pending_slot(request) else { return false };
        *slot = Slot::Suppressed;
        true
    }

    /// The next response that may be written now.
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
