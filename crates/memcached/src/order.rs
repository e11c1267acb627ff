//! The answers of one connection, in the order of their requests.
//!
//! Servers of this protocol answer in order, and a client that uses quiet forms relies on it: the answer to its NOOP tells
//! that all before it is over. Requests are carried out side by side, so that one slow key holds back the answers behind
//! it and not the work; what is held back is bounded, and no more is read from a connection that has no room.

use std::collections::VecDeque;

/// A request's place in the order. No two requests of a connection have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(u64);

/// How much one connection may have open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Requests that lack their answer or whose answer waits for one before it.
    pub requests: usize,
    /// Bytes of answers that wait for one before them. One answer may go beyond it.
    pub bytes: usize,
}

enum Slot<A> {
    /// Its answer is still to come.
    Open,
    /// An answer, and how many bytes it holds.
    Answered(A, usize),
    /// It is left unanswered, as its quiet form says.
    Silent,
}

/// The order of one connection.
pub struct Order<A> {
    bounds: Bounds,
    slots: VecDeque<Slot<A>>,
    /// The place of the first slot.
    first: u64,
    held: usize,
}

impl<A> Order<A> {
    /// Nothing is open.
    pub fn new(bounds: Bounds) -> Self {
        Order { bounds, slots: VecDeque::new(), first: 0, held: 0 }
    }

    /// Whether another request may be read.
    pub fn has_room(&self) -> bool {
        self.slots.len() < self.bounds.requests && self.held <= self.bounds.bytes
    }

    /// Requests that lack their answer or whose answer waits.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether all has been answered.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Bytes of answers that wait.
    pub fn held(&self) -> usize {
        self.held
    }

    /// A request has been read.
    pub fn open(&mut self) -> Place {
        self.slots.push_back(Slot::Open);
        Place(self.first + self.slots.len() as u64 - 1)
    }

    fn slot(&mut self, place: Place) -> Option<&mut Slot<A>> {
        let at = usize::try_from(place.0.checked_sub(self.first)?).ok()?;
        self.slots.get_mut(at).filter(|slot| matches!(slot, Slot::Open))
    }

    /// The answer to a request has come, and holds so many bytes until it is written. False, and the answer is dropped, if
    /// it had one before.
    pub fn answer(&mut self, place: Place, answer: A, bytes: usize) -> bool {
        let open = self.slot(place);
        let counts = open.is_some();
        if let Some(slot) = open {
            *slot = Slot::Answered(answer, bytes);
            self.held += bytes;
        }
        counts
    }

    /// A request is over without an answer, as its quiet form says. False if it had been answered.
    pub fn silence(&mut self, place: Place) -> bool {
        let open = self.slot(place);
        let counts = open.is_some();
        if let Some(slot) = open {
            *slot = Slot::Silent;
        }
        counts
    }

    /// The next answer that may be written now.
    pub fn release(&mut self) -> Option<A> {
        loop {
            match self.slots.front()? {
                Slot::Open => return None,
                Slot::Silent => {
                    self.slots.pop_front();
                    self.first += 1;
                }
                Slot::Answered(..) => {
                    let Some(Slot::Answered(answer, bytes)) = self.slots.pop_front() else { return None };
                    self.first += 1;
                    self.held -= bytes;
                    return Some(answer);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn order() -> Order<u32> {
        Order::new(Bounds { requests: 1000, bytes: 100 })
    }

    /// Danger: one slow key of a thousand would hold up the work behind it, or answers without end would be kept.
    #[test]
    fn a_slow_one_holds_back_answers_and_no_work_and_what_waits_is_bounded() {
        let mut order = order();
        let slow = order.open();
        let others: Vec<Place> = (0..998).map(|_| order.open()).collect();
        assert!(order.has_room());
        assert!(others.iter().enumerate().all(|(n, place)| order.answer(*place, n as u32, 0)));
        assert_eq!((order.release(), order.len()), (None, 999));
        let last = order.open();
        assert!(!order.has_room(), "a thousand are open");
        assert!(order.answer(last, 9999, 101));
        assert!(order.answer(slow, 7, 0));
        assert_eq!(order.release(), Some(7));
        let rest: Vec<u32> = std::iter::from_fn(|| order.release()).collect();
        assert_eq!((rest.len(), rest[0], rest[998]), (999, 0, 9999));
        assert!(order.is_empty() && order.held() == 0);
    }

    #[test]
    fn bytes_that_wait_shut_the_connection_until_they_are_written() {
        let mut order = order();
        let (first, second) = (order.open(), order.open());
        assert!(order.answer(second, 2, 101) && !order.has_room());
        assert!(order.answer(first, 1, 1));
        assert_eq!((order.release(), order.release(), order.has_room()), (Some(1), Some(2), true));
    }

    #[test]
    fn a_second_answer_is_dropped() {
        let mut order = order();
        let (quiet, loud) = (order.open(), order.open());
        assert!(order.silence(quiet) && !order.answer(quiet, 1, 5) && !order.silence(quiet));
        assert!(order.answer(loud, 2, 5) && !order.answer(loud, 3, 5));
        assert_eq!((order.release(), order.release(), order.held()), (Some(2), None, 0));
        assert!(!order.answer(loud, 4, 5), "it has been written");
    }

    proptest! {
        #[test]
        fn answers_come_in_the_order_of_requests_and_each_once(
            ends in prop::collection::vec((0usize..20, prop::option::of(0usize..30)), 0..60),
        ) {
            let mut order = Order::new(Bounds { requests: 20, bytes: 1 << 20 });
            let (mut open, mut wanted, mut got) = (Vec::new(), Vec::new(), Vec::new());
            let mut next = 0;
            for (which, bytes) in ends {
                while order.has_room() && open.len() < 10 {
                    open.push((next, order.open()));
                    wanted.push((next, true));
                    next += 1;
                }
                let (number, place) = open.remove(which % open.len());
                match bytes {
                    Some(bytes) => prop_assert!(order.answer(place, number, bytes)),
                    None => {
                        prop_assert!(order.silence(place));
                        wanted[number as usize].1 = false;
                    }
                }
                got.extend(std::iter::from_fn(|| order.release()));
            }
            for (number, place) in open {
                prop_assert!(order.answer(place, number, 1));
            }
            got.extend(std::iter::from_fn(|| order.release()));
            let wanted: Vec<u32> = wanted.into_iter().filter(|w| w.1).map(|w| w.0).collect();
            prop_assert_eq!(got, wanted);
            prop_assert!(order.is_empty() && order.held() == 0);
        }
    }
}
