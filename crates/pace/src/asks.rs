//! When a proxy asks the list service. It asks at its own moments only, so that all proxies together never ask more
//! often than once each in a cycle: at a cold start, after a change that ends every watch at once, and when a service
//! that was down comes back.

use super::{Moments, Nanos, Place, SECOND};

/// Cycles from one call to the next while nothing changes: a watch is held for so long.
/// Danger: proxies that a change has waked together would ask on together, in one cycle of each two; so each has one of
/// the two for its own, and its first watch after a change is held for one cycle or two, whichever ends there.
const HELD: Nanos = 2;
/// A watch ends so much before the moment of the next call, at most, as a part of a cycle and in all: the answer has
/// to be there by then, and a call that follows within 200 ms continues the watch.
const EARLY_PART: Nanos = 10;
const EARLY_MOST: Nanos = SECOND / 10;
/// Doublings after which a wait counts as its most, whatever that is.
const DOUBLINGS_MOST: u32 = 20;

/// How it is asked.
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
}

/// When the next call may go out.
#[derive(Clone, Debug)]
pub struct Asks {
    rules: Rules,
    /// When calls may go out, and those of them at which watches are renewed while nothing changes.
    moments: Moments,
    renewals: Moments,
    /// No call goes out before.
    not_before: Nanos,
    /// Failures since the last answer.
    failures: u32,
    /// Answers in a row that came late, so that the next may take longer.
    late: u32,
}

impl Asks {
    /// A proxy that starts at `now`; see [`Moments::new`] for `unix`.
    pub fn new(rules: Rules, place: Place, unix: Nanos, now: Nanos) -> Self {
        let renewals = Moments::new(HELD * rules.every, place, 0.0, unix, now);
        Asks { rules, moments: renewals.halved(), renewals, not_before: now, failures: 0, late: 0 }
    }

    /// When the next call may go out: at once if that is now or past.
    pub fn due(&self, now: Nanos) -> Nanos {
        // A moment that has come and was not used is past; a proxy that was paused over it waits for the next.
        self.moments.next(self.not_before.max(now))
    }

    /// A call goes out.
    pub fn asked(&mut self, now: Nanos) {
        self.not_before = now + 1;
    }

    /// For how long a watch that goes out now should be held: it ends just before this proxy's next renewal.
    pub fn hold(&self, now: Nanos) -> Nanos {
        let cycle = self.moments.cycle();
        let renewal = self.renewals.next(now.saturating_add(cycle / 2));
        (renewal - now).saturating_sub((cycle / EARLY_PART).min(EARLY_MOST))
    }

    /// How long the answer may take beyond that.
    pub fn answer_within(&self) -> Nanos {
        doubled(self.rules.answer, self.late).min(self.rules.answer_most.max(self.rules.answer))
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

    /// The wait doubles with each failure; what the service advises counts where it is longer.
    fn wait(&mut self, now: Nanos, advised: Option<Nanos>) {
        let own = doubled(self.rules.every, self.failures).min(self.rules.back_off_most);
        self.failures = (self.failures + 1).min(DOUBLINGS_MOST);
        // Advice without end would part a proxy from the list for good.
        let advised = advised.unwrap_or(0).min(self.rules.back_off_most.saturating_mul(4));
        // A moment that is this call's own does not count as another.
        let wait = own.max(advised).saturating_sub(self.rules.every / 2);
        self.not_before = self.not_before.max(now.saturating_add(wait));
    }
}

fn doubled(time: Nanos, times: u32) -> Nanos {
    time.saturating_mul(1 << times.min(DOUBLINGS_MOST))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULES: Rules =
        Rules { every: 2 * SECOND, back_off_most: 16 * SECOND, answer: SECOND, answer_most: 8 * SECOND };

    fn asks(me: u32, of: u32) -> Asks {
        Asks::new(RULES, Place::new(me, of), 1_000 * SECOND, 0)
    }

    #[test]
    fn watches_end_just_before_renewals_which_lie_evenly_over_two_cycles() {
        let mut ends = Vec::new();
        for me in 0..10 {
            let mut asks = asks(me, 10);
            let mut at = asks.due(0);
            for _ in 0..3 {
                asks.asked(at);
                let ended = at + asks.hold(at);
                asks.answered();
                at = asks.due(ended);
                assert!(at - ended <= 200 * SECOND / 1000, "in time to continue the watch");
            }
            ends.push(at % (2 * RULES.every));
        }
        ends.sort_unstable();
        assert!(ends.windows(2).all(|w| w[1] - w[0] == 2 * RULES.every / 10), "{ends:?}");
    }

    #[test]
    fn news_is_followed_at_the_next_moment_and_no_sooner() {
        let mut asks = asks(0, 4);
        let at = asks.due(0);
        asks.asked(at);
        asks.answered();
        assert_eq!(asks.due(at + 5), at + RULES.every);
    }

    #[test]
    fn refusals_are_heeded_and_waits_double_up_to_their_most() {
        let mut asks = asks(0, 1);
        let mut at = asks.due(0);
        let mut waits = Vec::new();
        for _ in 0..6 {
            asks.asked(at);
            asks.failed(at);
            let next = asks.due(at + 1);
            waits.push((next - at) / SECOND);
            at = next;
        }
        assert_eq!(waits, [2, 4, 8, 16, 16, 16]);
        asks.asked(at);
        asks.refused(at, Some(30 * SECOND));
        assert_eq!((asks.due(at + 1) - at) / SECOND, 30);
        asks.answered();
        asks.asked(at);
        asks.moved(at + 1);
        assert_eq!(asks.due(at + 1), at + RULES.every, "a new address is asked at the next moment");
        // Advice without end is bounded.
        asks.refused(at, Some(Nanos::MAX));
        assert!(asks.due(at + 1) - at <= 66 * SECOND);
    }

    #[test]
    fn a_slow_service_is_given_longer_each_time_and_then_less() {
        let mut asks = asks(0, 1);
        let mut given = vec![asks.answer_within() / SECOND];
        for _ in 0..4 {
            asks.late(0);
            given.push(asks.answer_within() / SECOND);
        }
        assert_eq!(given, [1, 2, 4, 8, 8]);
        (0..4).for_each(|_| asks.answered());
        assert_eq!(asks.answer_within(), SECOND);
    }

    /// What may happen to a call, over and over, in an order of the test's choosing.
    #[derive(Clone, Copy, Debug)]
    enum Fate {
        News,
        Held,
        Refused(u64),
        Failed,
        Late,
        Moved,
        Paused(u64),
    }

    fn fate() -> impl Strategy<Value = Fate> {
        prop_oneof![
            Just(Fate::News),
            Just(Fate::Held),
            (0u64..5_000).prop_map(Fate::Refused),
            Just(Fate::Failed),
            Just(Fate::Late),
            Just(Fate::Moved),
            (0u64..20_000).prop_map(Fate::Paused),
        ]
    }

    proptest! {
        /// The whole point: no two calls of one proxy fall into one cycle counted from its moment, so that n proxies
        /// ask at most n times in any cycle, whatever becomes of each call.
        #[test]
        fn whatever_happens_a_proxy_asks_once_in_a_cycle_at_most(
            me in 0u32..50, fates in prop::collection::vec(fate(), 1..60)
        ) {
            let mut asks = asks(me, 50);
            let (mut now, mut last) = (0, None);
            for fate in fates {
                let at = asks.due(now);
                prop_assert!(at >= now);
                if let Some(last) = last {
                    prop_assert!(at - last >= RULES.every, "{} after {last}", at);
                }
                asks.asked(at);
                last = Some(at);
                now = at + 1;
                match fate {
                    Fate::News => asks.answered(),
                    Fate::Held => {
                        now = at + asks.hold(at);
                        asks.answered();
                    }
                    Fate::Refused(ms) => asks.refused(now, Some(ms * SECOND / 1000)),
                    Fate::Failed => asks.failed(now),
                    Fate::Late => {
                        now = at + asks.hold(at) + asks.answer_within();
                        asks.late(now);
                    }
                    Fate::Moved => asks.moved(now),
                    Fate::Paused(ms) => {
                        now += ms * SECOND / 1000;
                        asks.answered();
                    }
                }
            }
        }
    }
}
