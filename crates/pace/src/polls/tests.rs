use super::*;
use crate::told::{MARGIN, TOLD_AFTER};
use proptest::prelude::*;

const RULES: Rules =
    Rules { every: 2 * SECOND / 5, back_off_most: 16 * SECOND, answer: SECOND, answer_most: 8 * SECOND };

fn polls(me: u32, of: u32) -> Polls {
    Polls::new(RULES, Place::new(me, of), 1_000 * SECOND, 0)
}

#[test]
fn watches_end_just_before_renewals_which_lie_evenly_over_two_cycles() {
    let mut ends = Vec::new();
    for me in 0..10 {
        let mut polls = polls(me, 10);
        let mut at = polls.due(0);
        for _ in 0..3 {
            polls.polled(at);
            let ended = at + polls.hold(at);
            polls.answered();
            at = polls.due(ended);
            assert!(at - ended <= 200 * SECOND / 1000, "in time to continue the watch");
        }
        ends.push(at % (2 * RULES.every));
    }
    ends.sort_unstable();
    assert!(ends.windows(2).all(|w| w[1] - w[0] == 2 * RULES.every / 10), "{ends:?}");
}

#[test]
fn news_is_followed_at_the_next_slot_and_no_sooner() {
    let mut polls = polls(0, 4);
    let at = polls.due(0);
    polls.polled(at);
    polls.answered();
    assert_eq!(polls.due(at + 5), at + RULES.every);
}

#[test]
fn refusals_are_heeded_and_waits_double_up_to_their_most() {
    let mut polls = polls(0, 1);
    let mut at = polls.due(0);
    let mut waits = Vec::new();
    for _ in 0..7 {
        polls.polled(at);
        polls.failed(at);
        let next = polls.due(at + 1);
        waits.push((next - at) * 1000 / SECOND);
        at = next;
    }
    // No longer than a change may take to be here, whatever the operator sets.
    assert_eq!(waits, [400, 800, 1600, 3200, 3600, 3600, 3600]);
    polls.answered();
    polls.polled(at);
    polls.refused(at, Some(2 * SECOND));
    assert_eq!(polls.due(at + 1) - at, 2 * SECOND);
    at = polls.due(at + 1);
    polls.answered();
    polls.polled(at);
    polls.moved(at + 1);
    assert_eq!(polls.due(at + 1), at + RULES.every, "a new address is asked at the next slot");
    // Advice for longer, or without end, is bounded.
    for advice in [30 * SECOND, Nanos::MAX] {
        polls.polled(at);
        polls.refused(at, Some(advice));
        assert_eq!(polls.due(at + 1) - at, CALL_WITHIN);
    }
}

#[test]
fn an_operators_shorter_back_off_counts() {
    let rules = Rules { back_off_most: SECOND, ..RULES };
    let mut polls = Polls::new(rules, Place::new(0, 1), 1_000 * SECOND, 0);
    let mut at = polls.due(0);
    let waits = [(); 4].map(|()| {
        polls.polled(at);
        polls.failed(at);
        let next = polls.due(at + 1);
        (next - std::mem::replace(&mut at, next)) * 1000 / SECOND
    });
    assert_eq!(waits, [400, 800, 800, 800]);
}

#[test]
fn a_slow_service_is_given_longer_each_time_and_then_less() {
    let mut polls = polls(0, 1);
    let at = polls.due(0);
    let given = |polls: &Polls| (polls.answer_within() / SECOND, polls.limit(at, polls.hold(at)));
    let (held, mut all) = (polls.hold(at), vec![given(&polls)]);
    for _ in 0..4 {
        polls.late(at);
        all.push(given(&polls));
    }
    // What it is given in all is never more than what lies between two calls, nor less than a turn takes.
    let most = CALL_WITHIN - RULES.every / EARLY_PART;
    assert_eq!(all[0], (1, ANSWERED));
    assert_eq!(all[1..], [(2, held + 2 * SECOND), (3, most), (3, most), (3, most)]);
    (0..4).for_each(|_| polls.answered());
    assert_eq!(polls.answer_within(), SECOND);
}

#[test]
fn cycles_that_leave_no_room_for_an_answer_are_bounded() {
    let every = |ms: u64| {
        let rules = Rules { every: ms * SECOND / 1000, ..RULES };
        rules.bounded().every * 1000 / SECOND
    };
    let cycles = [100, 1800, 1801, 2000, 2500, 3600, 3601, 30_000];
    assert_eq!(cycles.map(every), [100, 1800, 2400, 2400, 2500, 3600, 3600, 3600]);
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
        (0u64..100_000).prop_map(Fate::Refused),
        Just(Fate::Failed),
        Just(Fate::Late),
        Just(Fate::Moved),
        (0u64..20_000).prop_map(Fate::Paused),
    ]
}

proptest! {
    /// The whole point: no two calls of one proxy fall into one cycle counted from its slot, so that n proxies
    /// ask at most n times in any cycle, whatever becomes of each call. And the other: what the service has from the
    /// moment on at which it can be reached is here before it counts as told.
    #[test]
    fn whatever_happens_a_proxy_asks_once_in_a_cycle_at_most_and_in_time(
        me in 0u32..50, every in 100u64..31_000, back_off in 100u64..300_000, answer_most in 1_000u64..60_000,
        late in 0u64..20, fates in prop::collection::vec(fate(), 1..60)
    ) {
        let ms = SECOND / 1000;
        let rules = Rules {
            every: every * ms, back_off_most: back_off * ms, answer: 1200 * ms, answer_most: answer_most * ms,
        };
        let mut polls = Polls::new(rules, Place::new(me, 50), 1_000 * SECOND, 0);
        let every = rules.bounded().every;
        prop_assert!(every >= rules.every.min(CALL_WITHIN));
        let (mut now, mut last) = (0, None);
        for fate in fates {
            let at = polls.due(now);
            prop_assert!(at >= now);
            if let Some((slot, last, paused)) = last {
                prop_assert!(at - slot >= every, "{at} after {slot}");
                // Worst: the service can be reached from just after the last call went out on.
                let given = polls.limit(at, polls.hold(at)).min(polls.limit(at, 0));
                prop_assert!(given >= ANSWERED, "{given} at {at}");
                let told = at + ANSWERED - last;
                prop_assert!(paused || told <= TOLD_AFTER - MARGIN, "{told} after {last}");
            }
            // Timers run late, by less than lies between two slots.
            let slot = at;
            let at = slot + (late * ms).min(every / 20);
            polls.polled(at);
            last = Some((slot, at, false));
            now = at + 1;
            match fate {
                Fate::News => polls.answered(),
                Fate::Held => {
                    now = at + polls.hold(at);
                    polls.answered();
                }
                Fate::Refused(ms) => polls.refused(now, Some(ms * SECOND / 1000)),
                Fate::Failed => polls.failed(now),
                Fate::Late => {
                    now = at + polls.limit(at, polls.hold(at));
                    polls.late(now);
                }
                Fate::Moved => polls.moved(now),
                Fate::Paused(ms) => {
                    now += ms * SECOND / 1000;
                    polls.answered();
                    last = Some((slot, at, true));
                }
            }
        }
    }
}
