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
fn watches_end_just_before_renewals_that_are_evenly_spaced_over_two_cycles() {
    let mut ends = Vec::new();
    for index in 0..10 {
        let mut schedule = schedule(index, 10);
        let mut call_start = schedule.next_poll(0);
        for _ in 0..3 {
            schedule.poll_started(call_start);
            let ended = call_start + schedule.watch_duration(call_start);
            schedule.answered();
            call_start = schedule.next_poll(ended);
            assert!(call_start - ended <= 200 * SECOND / 1000, "in time to continue the watch");
        }
        ends.push(call_start % (2 * RULES.interval));
    }
    ends.sort_unstable();
    assert!(ends.windows(2).all(|pair| pair[1] - pair[0] == 2 * RULES.interval / 10), "{ends:?}");
}

#[test]
fn after_a_change_the_next_call_starts_in_the_next_slot_and_no_sooner() {
    let mut schedule = schedule(0, 4);
    let call_start = schedule.next_poll(0);
    schedule.poll_started(call_start);
    schedule.answered();
    assert_eq!(schedule.next_poll(call_start + 5), call_start + RULES.interval);
}

#[test]
fn retry_after_is_honoured_and_backoff_doubles_up_to_its_maximum() {
    let mut schedule = schedule(0, 1);
    let mut call_start = schedule.next_poll(0);
    let mut waits = Vec::new();
    for _ in 0..7 {
        schedule.poll_started(call_start);
        schedule.failed(call_start);
        let next = schedule.next_poll(call_start + 1);
        waits.push((next - call_start) * 1000 / SECOND);
        call_start = next;
    }
    // The backoff is bounded by the notification deadline, regardless of the operator's setting.
    assert_eq!(waits, [400, 800, 1600, 3200, 3600, 3600, 3600]);
    schedule.answered();
    schedule.poll_started(call_start);
    schedule.rejected(call_start, Some(2 * SECOND));
    assert_eq!(schedule.next_poll(call_start + 1) - call_start, 2 * SECOND);
    call_start = schedule.next_poll(call_start + 1);
    schedule.answered();
    schedule.poll_started(call_start);
    schedule.address_changed(call_start + 1);
    assert_eq!(
        schedule.next_poll(call_start + 1),
        call_start + RULES.interval,
        "a new address is polled in the next slot"
    );
    // A longer or unbounded Retry-After is bounded.
    for retry_after in [30 * SECOND, Nanos::MAX] {
        schedule.poll_started(call_start);
        schedule.rejected(call_start, Some(retry_after));
        assert_eq!(schedule.next_poll(call_start + 1) - call_start, MAX_CALL_INTERVAL);
    }
}

#[test]
fn an_operators_shorter_backoff_is_honoured() {
    let rules = PollRules { max_backoff: SECOND, ..RULES };
    let mut schedule = PollSchedule::new(rules, FleetPosition::new(0, 1), 1_000 * SECOND, 0);
    let mut call_start = schedule.next_poll(0);
    let waits = [(); 4].map(|()| {
        schedule.poll_started(call_start);
        schedule.failed(call_start);
        let next = schedule.next_poll(call_start + 1);
        (next - std::mem::replace(&mut call_start, next)) * 1000 / SECOND
    });
    assert_eq!(waits, [400, 800, 800, 800]);
}

#[test]
fn the_answer_timeout_grows_with_each_timeout_and_shrinks_with_each_answer() {
    let mut schedule = schedule(0, 1);
    let call_start = schedule.next_poll(0);
    let timeouts = |schedule: &PollSchedule| {
        (
            schedule.answer_timeout() / SECOND,
            schedule.call_timeout(call_start, schedule.watch_duration(call_start)),
        )
    };
    let (watch_duration, mut observed) = (schedule.watch_duration(call_start), vec![timeouts(&schedule)]);
    for _ in 0..4 {
        schedule.timed_out(call_start);
        observed.push(timeouts(&schedule));
    }
    // The call timeout is at most the time between two calls, and at least the time that a queued call takes.
    let max_timeout = MAX_CALL_INTERVAL - RULES.interval / EARLY_END_DIVISOR;
    assert_eq!(observed[0], (1, MIN_CALL_TIMEOUT));
    assert_eq!(
        observed[1..],
        [(2, watch_duration + 2 * SECOND), (3, max_timeout), (3, max_timeout), (3, max_timeout)]
    );
    (0..4).for_each(|_| schedule.answered());
    assert_eq!(schedule.answer_timeout(), SECOND);
}

#[test]
fn cycles_that_leave_no_time_for_an_answer_are_extended() {
    let bounded = |ms: u64| {
        let rules = PollRules { interval: ms * SECOND / 1000, ..RULES };
        rules.bounded().interval * 1000 / SECOND
    };
    let cycles = [100, 1800, 1801, 2000, 2500, 3600, 3601, 30_000];
    assert_eq!(cycles.map(bounded), [100, 1800, 2400, 2400, 2500, 3600, 3600, 3600]);
}

/// How a call ends.
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
    /// The call is answered, and the proxy is suspended afterwards.
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
    /// No two calls of one proxy fall into one cycle counted from its slot, so that n proxies poll at most n
    /// times in any cycle, regardless of the outcome of each call. Once the service is reachable, a change
    /// arrives before the notification deadline.
    #[test]
    fn a_proxy_polls_at_most_once_in_a_cycle_and_in_time_for_the_notification_deadline(
        index in 0u32..50, interval in 100u64..31_000, backoff in 100u64..300_000,
        max_answer in 1_000u64..60_000, late in 0u64..20,
        outcomes in prop::collection::vec(call_outcome(), 1..60)
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
            let call_start = schedule.next_poll(now);
            prop_assert!(call_start >= now);
            if let Some((slot, last, suspended)) = last {
                prop_assert!(call_start - slot >= interval, "{call_start} after {slot}");
                // Worst case: the service becomes reachable just after the last call started.
                let watching = schedule.call_timeout(call_start, schedule.watch_duration(call_start));
                let timeout = watching.min(schedule.call_timeout(call_start, 0));
                prop_assert!(timeout >= MIN_CALL_TIMEOUT, "{timeout} at {call_start}");
                let notified = call_start + MIN_CALL_TIMEOUT - last;
                prop_assert!(
                    suspended || notified <= NOTIFICATION_DEADLINE - SAFETY_MARGIN,
                    "{notified} after {last}"
                );
            }
            // Timers fire late, by less than the time between two slots.
            let slot = call_start;
            let call_start = slot + (late * ms).min(interval / 20);
            schedule.poll_started(call_start);
            last = Some((slot, call_start, false));
            now = call_start + 1;
            match outcome {
                CallOutcome::Changed => schedule.answered(),
                CallOutcome::Unchanged => {
                    now = call_start + schedule.watch_duration(call_start);
                    schedule.answered();
                }
                CallOutcome::Rejected { retry_after_ms } => {
                    schedule.rejected(now, Some(retry_after_ms * SECOND / 1000));
                }
                CallOutcome::Failed => schedule.failed(now),
                CallOutcome::TimedOut => {
                    now = call_start + schedule.call_timeout(call_start, schedule.watch_duration(call_start));
                    schedule.timed_out(now);
                }
                CallOutcome::AddressChanged => schedule.address_changed(now),
                CallOutcome::Suspended { ms } => {
                    now += ms * SECOND / 1000;
                    schedule.answered();
                    last = Some((slot, call_start, true));
                }
            }
        }
    }
}
