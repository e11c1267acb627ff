//! When a proxy asks the list service. It asks in its own slots only, so that all proxies together never ask more
//! often than once each in a cycle: at a cold start, after a change that ends every watch at once, and when a service
//! that was down comes back. Of any two calls one upon the other the second goes out so soon that what the list service
//! has when it can be reached is here before it counts as told ([`told`](crate::told)): neither back-off nor advice nor
//! a slow answer is given more than that.

use super::told::{ANSWERED, CALL_WITHIN};
use super::{Nanos, Place, Slots, SECOND};

/// Cycles from one call to the next while nothing changes: a watch is held for so long.
/// Danger: proxies that a change has waked together would ask on together, in one cycle of each two; so each has one of
/// the two for its own, and its first watch after a change is held for one cycle or two, whichever ends there.
const HELD: Nanos = 2;
/// A watch ends so much before the slot of the next call, at most, as a part of a cycle and in all: the answer has
/// to be there by then, and a call that follows within 200 ms continues the watch.
const EARLY_PART: Nanos = 10;
const EARLY_MOST: Nanos = SECOND / 10;
/// The shortest wait that a watch is asked for.
const HOLD_LEAST: Nanos = SECOND / 10;
/// A cycle that is the whole time from one call to the next has to hold an answer; one of which two go into that time
/// does.
const ALONE_LEAST: Nanos = ANSWERED + EARLY_MOST + HOLD_LEAST;
/// Doublings after which a wait counts as its most, whatever that is.
const DOUBLINGS_MOST: u32 = 20;

/// How it is asked. Times that leave no room for an answer before a change counts as told are bounded, see
/// [`Rules::bounded`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rules {
    /// No two calls come closer than this.
    pub every: Nanos,
    /// After failures one upon the other, the wait doubles up to this.
    pub back_off_most: Nanos,
    /// How long an answer may take beyond what the call asks to wait, at first, and after answers came late.
    pub answer: Nanos,
    /// See `answer`.
    pub answer_most: Nanos,
}

impl Rules {
    /// The time between calls by the platform's word: one in a quarter of the time in which the list must be asked for,
    /// so that a proxy of which one call is lost still asks in time.
    pub fn every_by(must_ask_in: Nanos) -> Nanos {
        match must_ask_in {
            0 => 5 * SECOND,
            limit => (limit / 4).clamp(SECOND / 4, 10 * SECOND),
        }
    }

    /// These rules with each time at most what may lie between two calls, and no cycle that fits into that once and is
    /// too short for an answer: the next longer one that is long enough takes its place.
    pub fn bounded(self) -> Self {
        let every = match self.every.clamp(1, CALL_WITHIN) {
            every if CALL_WITHIN / every == 1 => every.max(ALONE_LEAST),
            every => every,
        };
        let [back_off_most, answer, answer_most] =
            [self.back_off_most, self.answer, self.answer_most].map(|time| time.min(CALL_WITHIN));
        Rules { every, back_off_most, answer, answer_most }
    }
}

/// When the next call may go out.
#[derive(Clone, Debug)]
pub struct Polls {
    rules: Rules,
    /// When calls may go out, and those of them at which watches are renewed while nothing changes.
    slots: Slots,
    renewals: Slots,
    /// No call goes out before.
    not_before: Nanos,
    /// The last slot in which the call after the last one may go out.
    by: Nanos,
    /// Failures since the last answer.
    failures: u32,
    /// Answers in a row that came late, so that the next may take longer.
    late: u32,
}

impl Polls {
    /// A proxy that starts at `now`, by rules that are [bounded](Rules::bounded) here; see [`Slots::new`] for `unix`.
    pub fn new(rules: Rules, place: Place, unix: Nanos, now: Nanos) -> Self {
        let rules = rules.bounded();
        let renewals = Slots::new(HELD * rules.every, place, 0.0, unix, now);
        Polls { rules, slots: renewals.halved(), renewals, not_before: now, by: now, failures: 0, late: 0 }
    }

    /// When the next call may go out: at once if that is now or past.
    pub fn due(&self, now: Nanos) -> Nanos {
        // A slot that has come and was not used is past; a proxy that was paused over it waits for the next.
        self.slots.next(self.not_before.max(now))
    }

    /// A call goes out.
    pub fn polled(&mut self, now: Nanos) {
        (self.not_before, self.by) = (now + 1, self.slots.last(now.saturating_add(CALL_WITHIN)));
    }

    /// How long a call that goes out now may be silent at most: the next one has to go out in its slot.
    fn silent_most(&self, now: Nanos) -> Nanos {
        let by = self.slots.last(now.saturating_add(CALL_WITHIN));
        by.saturating_sub(now).saturating_sub(self.early())
    }

    fn early(&self) -> Nanos {
        (self.slots.cycle() / EARLY_PART).min(EARLY_MOST)
    }

    /// For how long a watch that goes out now should be held: it ends just before this proxy's next renewal, or sooner if
    /// its silence could not be noticed in time otherwise.
    pub fn hold(&self, now: Nanos) -> Nanos {
        let cycle = self.slots.cycle();
        let renewal = self.renewals.next(now.saturating_add(cycle / 2));
        let held = (renewal - now).saturating_sub(self.early());
        held.min(self.silent_most(now).saturating_sub(self.answer_within())).max(HOLD_LEAST.min(cycle / 2))
    }

    /// How long the answer should take at most beyond that.
    pub fn answer_within(&self) -> Nanos {
        doubled(self.rules.answer, self.late).min(self.rules.answer_most.max(self.rules.answer))
    }

    /// After what time a call is given up that goes out now and asks for a wait of `held`. Danger: one that is given up
    /// before its turn came is one more that waits for a turn, and nothing is ever heard.
    pub fn limit(&self, now: Nanos, held: Nanos) -> Nanos {
        held.saturating_add(self.answer_within()).max(ANSWERED).min(self.silent_most(now))
    }

    /// An answer has come.
    pub fn answered(&mut self) {
        self.failures = 0;
        // A service that is slow and well again is trusted with less time step by step.
        self.late = self.late.saturating_sub(1);
    }

    /// The service refuses: it wants no call for `after`, if it says so.
    pub fn refused(&mut self, now: Nanos, after: Option<Nanos>) {
        self.wait(now, after);
    }

    /// No answer in time: the next may take longer. Danger: to ask a slow service again as soon as it is late adds the
    /// work of the second call to that of the first, which it still does.
    pub fn late(&mut self, now: Nanos) {
        self.late = (self.late + 1).min(DOUBLINGS_MOST);
        self.wait(now, None);
    }

    /// The service can't be reached, or answers what can't be read.
    pub fn failed(&mut self, now: Nanos) {
        self.wait(now, None);
    }

    /// The service is at another address from here on: what was learned of the old one is void.
    pub fn moved(&mut self, now: Nanos) {
        (self.failures, self.late, self.not_before) = (0, 0, now);
    }

    /// The wait doubles with each failure; what the service advises counts where it is longer. Neither counts past the
    /// time at which the next call has to go out.
    fn wait(&mut self, now: Nanos, advised: Option<Nanos>) {
        let own = doubled(self.rules.every, self.failures).min(self.rules.back_off_most);
        self.failures = (self.failures + 1).min(DOUBLINGS_MOST);
        // A slot that is this call's own does not count as another.
        let wait = own.max(advised.unwrap_or(0)).saturating_sub(self.rules.every / 2);
        self.not_before = self.not_before.max(now.saturating_add(wait).min(self.by));
    }
}

fn doubled(time: Nanos, times: u32) -> Nanos {
    time.saturating_mul(1 << times.min(DOUBLINGS_MOST))
}

#[cfg(test)]
mod tests;
