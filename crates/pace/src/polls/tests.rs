use super::*;
use proptest::prelude::*;

const RULES: Rules =
    Rules { every: 2 * SECOND, back_off_most: 16 * SECOND, answer: SECOND, answer_most: 8 * SECOND };

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
    for _ in 0..6 {
        polls.polled(at);
        polls.failed(at);
        let next = polls.due(at + 1);
        waits.push((next - at) / SECOND);
        at = next;
    }
    assert_eq!(waits, [2, 4, 8, 16, 16, 16]);
    polls.polled(at);
    polls.refused(at, Some(30 * SECOND));
    assert_eq!((polls.due(at + 1) - at) / SECOND, 30);
    polls.answered();
    polls.polled(at);
    polls.moved(at + 1);
    assert_eq!(polls.due(at + 1), at + RULES.every, "a new address is asked at the next slot");
    // Advice without end is bounded.
    polls.refused(at, Some(Nanos::MAX));
    assert!(polls.due(at + 1) - at <= 66 * SECOND);
}

#[test]
fn a_slow_service_is_given_longer_each_time_and_then_less() {
    let mut polls = polls(0, 1);
    let mut given = vec![polls.answer_within() / SECOND];
    for _ in 0..4 {
        polls.late(0);
        given.push(polls.answer_within() / SECOND);
    }
    assert_eq!(given, [1, 2, 4, 8, 8]);
    (0..4).for_each(|_| polls.answered());
    assert_eq!(polls.answer_within(), SECOND);
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
    /// The whole point: no two calls of one proxy fall into one cycle counted from its slot, so that n proxies
    /// ask at most n times in any cycle, whatever becomes of each call.
    #[test]
    fn whatever_happens_a_proxy_asks_once_in_a_cycle_at_most(
        me in 0u32..50, fates in prop::collection::vec(fate(), 1..60)
    ) {
        let mut polls = polls(me, 50);
        let (mut now, mut last) = (0, None);
        for fate in fates {
            let at = polls.due(now);
            prop_assert!(at >= now);
            if let Some(last) = last {
                prop_assert!(at - last >= RULES.every, "{} after {last}", at);
            }
            polls.polled(at);
            last = Some(at);
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
                    now = at + polls.hold(at) + polls.answer_within();
                    polls.late(now);
                }
                Fate::Moved => polls.moved(now),
                Fate::Paused(ms) => {
                    now += ms * SECOND / 1000;
                    polls.answered();
                }
            }
        }
    }
}
