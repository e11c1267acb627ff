use super::*;
use crate::notification_deadline::{NOTIFICATION_DEADLINE, SAFETY_MARGIN};
use proptest::prelude::*;

const RULES: PollRules = PollRules {
    interval: 2 * SECOND / 5,
    max_backoff: 16 * SECOND,
    answer_timeout: SECOND,
    max_answer_timeout: 8 * SECOND,
};

fn schedule(index: u32, size: u32) -> PollSchedule {
    PollSchedule::new(RULES, FleetPosition::new(index, size), 1_000 * SECOND, 0)
}

#[test]
fn watches_end_just_before_renewals_which_are_evenly_spaced_over_two_cycles() {
    let mut ends = Vec::new();
    for index in 0..10 {
        let mut schedule = schedule(index, 10);
        let mut at = schedule.next_poll(0);
        for _ in 0..3 {
            schedule.poll_started(at);
            let ended = at + schedule.watch_duration(at);
            schedule.answered();
            at = schedule.next_poll(ended);
            assert!(at - ended <= 200 * SECOND / 1000, "in time to continue the watch");
        }
        ends.push(at % (2 * RULES.interval));
    }
    ends.sort_unstable();
    assert!(ends.windows(2).all(|pair| pair[1] - pair[0] == 2 * RULES.interval / 10), "{ends:?}");
}

#[test]
fn after_a_change_the_next_call_starts_in_the_next_slot_and_no_sooner() {
    let mut schedule = schedule(0, 4);
    let at = schedule.next_poll(0);
    schedule.poll_started(at);
    schedule.answered();
    assert_eq!(schedule.next_poll(at + 5), at + RULES.interval);
}

#[test]
fn retry_after_is_honoured_and_backoff_doubles_up_to_its_maximum() {
    let mut schedule = schedule(0, 1);
    let mut at = schedule.next_poll(0);
    let mut waits = Vec::new();
    for _ in 0..7 {
        schedule.poll_started(at);
        schedule.failed(at);
        let next = schedule.next_poll(at + 1);
        waits.push((next - at) * 1000 / SECOND);
        at = next;
    }
    // No longer than the notification deadline leaves, whatever the operator sets.
    assert_eq!(waits, [400, 800, 1600, 3200, 3600, 3600, 3600]);
    schedule.answered();
    schedule.poll_started(at);
    schedule.rejected(at, Some(2 * SECOND));
    assert_eq!(schedule.next_poll(at + 1) - at, 2 * SECOND);
    at = schedule.next_poll(at + 1);
    schedule.answered();
    schedule.poll_started(at);
    schedule.address_changed(at + 1);
    assert_eq!(schedule.next_poll(at + 1), at + RULES.interval, "a new address is polled in the next slot");
    // A longer or unbounded Retry-After is bounded.
    for retry_after in [30 * SECOND, Nanos::MAX] {
        schedule.poll_started(at);
        schedule.rejected(at, Some(retry_after));
        assert_eq!(schedule.next_poll(at + 1) - at, MAX_CALL_INTERVAL);
    }
}

#[test]
fn an_operators_shorter_backoff_is_honoured() {
    let rules = PollRules { max_backoff: SECOND, ..RULES };
    let mut schedule = PollSchedule::new(rules, FleetPosition::new(0, 1), 1_000 * SECOND, 0);
    let mut at = schedule.next_poll(0);
    let waits = [(); 4].map(|()| {
        schedule.poll_started(at);
        schedule.failed(at);
        let next = schedule.next_poll(at + 1);
        (next - std::mem::replace(&mut at, next)) * 1000 / SECOND
    });
    assert_eq!(waits, [400, 800, 800, 800]);
}

#[test]
fn a_slow_service_is_given_more_time_with_each_timeout_and_then_less() {
    let mut schedule = schedule(0, 1);
    let at = schedule.next_poll(0);
    let given = |schedule: &PollSchedule| {
        (schedule.answer_timeout() / SECOND, schedule.call_timeout(at, schedule.watch_duration(at)))
    };
    let (watch_duration, mut all) = (schedule.watch_duration(at), vec![given(&schedule)]);
    for _ in 0..4 {
        schedule.timed_out(at);
        all.push(given(&schedule));
    }
    // In all it is never given more than there is between two calls, nor less than a queued call takes.
    let most = MAX_CALL_INTERVAL - RULES.interval / EARLY_END_FRACTION;
    assert_eq!(all[0], (1, MIN_CALL_TIMEOUT));
    assert_eq!(all[1..], [(2, watch_duration + 2 * SECOND), (3, most), (3, most), (3, most)]);
    (0..4).for_each(|_| schedule.answered());
    assert_eq!(schedule.answer_timeout(), SECOND);
}

#[test]
fn cycles_that_leave_no_time_for_an_answer_are_bounded() {
    let bounded = |ms: u64| {
        let rules = PollRules { interval: ms * SECOND / 1000, ..RULES };
        rules.bounded().interval * 1000 / SECOND
    };
    let cycles = [100, 1800, 1801, 2000, 2500, 3600, 3601, 30_000];
    assert_eq!(cycles.map(bounded), [100, 1800, 2400, 2400, 2500, 3600, 3600, 3600]);
}

/// How a call may end.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Changed,
    Unchanged,
    Rejected {
        retry_after_ms: u64,
    },
    Failed,
    TimedOut,
    AddressChanged,
    /// Answered, and the proxy is suspended.
    Suspended {
        ms: u64,
    },
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        Just(CallOutcome::Changed),
        Just(CallOutcome::Unchanged),
        (0u64..100_000).prop_map(|retry_after_ms| CallOutcome::Rejected { retry_after_ms }),
        Just(CallOutcome::Failed),
        Just(CallOutcome::TimedOut),
        Just(CallOutcome::AddressChanged),
        (0u64..20_000).prop_map(|ms| CallOutcome::Suspended { ms }),
    ]
}

proptest! {
    /// The purpose of the schedule: no two calls of one proxy fall into one cycle counted from its slot, so that n proxies
    /// poll at most n times in any cycle, whatever becomes of each call. And what the service has when it can be reached
    /// arrives before the notification deadline.
    #[test]
    fn whatever_happens_a_proxy_polls_once_in_a_cycle_at_most_and_in_time(
        index in 0u32..50, interval in 100u64..31_000, backoff in 100u64..300_000,
        max_answer in 1_000u64..60_000, late in 0u64..20, outcomes in prop::collection::vec(call_outcome(), 1..60)
    ) {
        let ms = SECOND / 1000;
        let rules = PollRules {
            interval: interval * ms,
            max_backoff: backoff * ms,
            answer_timeout: 1200 * ms,
            max_answer_timeout: max_answer * ms,
        };
        let mut schedule = PollSchedule::new(rules, FleetPosition::new(index, 50), 1_000 * SECOND, 0);
        let interval = rules.bounded().interval;
        prop_assert!(interval >= rules.interval.min(MAX_CALL_INTERVAL));
        let (mut now, mut last) = (0, None);
        for outcome in outcomes {
            let at = schedule.next_poll(now);
            prop_assert!(at >= now);
            if let Some((slot, last, suspended)) = last {
                prop_assert!(at - slot >= interval, "{at} after {slot}");
                // Worst case: the service becomes reachable just after the last call started.
                let watching = schedule.call_timeout(at, schedule.watch_duration(at));
                let timeout = watching.min(schedule.call_timeout(at, 0));
                prop_assert!(timeout >= MIN_CALL_TIMEOUT, "{timeout} at {at}");
                let notified = at + MIN_CALL_TIMEOUT - last;
                prop_assert!(suspended || notified <= NOTIFICATION_DEADLINE - SAFETY_MARGIN, "{notified} after {last}");
            }
            // Timers fire late, by less than there is between two slots.
            let slot = at;
            let at = slot + (late * ms).min(interval / 20);
            schedule.poll_started(at);
            last = Some((slot, at, false));
            now = at + 1;
            match outcome {
                CallOutcome::Changed => schedule.answered(),
                CallOutcome::Unchanged => {
                    now = at + schedule.watch_duration(at);
                    schedule.answered();
                }
                CallOutcome::Rejected { retry_after_ms } => {
                    schedule.rejected(now, Some(retry_after_ms * SECOND / 1000));
                }
                CallOutcome::Failed => schedule.failed(now),
                CallOutcome::TimedOut => {
                    now = at + schedule.call_timeout(at, schedule.watch_duration(at));
                    schedule.timed_out(now);
                }
                CallOutcome::AddressChanged => schedule.address_changed(now),
                CallOutcome::Suspended { ms } => {
                    now += ms * SECOND / 1000;
                    schedule.answered();
                    last = Some((slot, at, true));
                }
            }
        }
    }
}
