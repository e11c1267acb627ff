use super::*;
use crate::notification_deadline::{NOTIFICATION_DEADLINE, SAFETY_MARGIN};
use proptest::prelude::*;

#[test]
fn a_call_that_timed_out_is_followed_by_one_with_more_grace_and_a_shorter_watch() {
    let mut watch = WatchTimeouts::new(10 * SECOND);
    let timeouts = |watch: &WatchTimeouts| (watch.watch_duration(), watch.call_timeout(false));
    assert_eq!(timeouts(&watch), (2600 * SECOND / 1000, MAX_CALL_INTERVAL));
    watch.call_started(0);
    assert!(watch.timed_out(), "the next call starts at once after a first timeout");
    assert_eq!(timeouts(&watch), (1600 * SECOND / 1000, MAX_CALL_INTERVAL));
    watch.call_started(MAX_CALL_INTERVAL);
    assert!(!watch.timed_out());
    assert_eq!(watch.retry_deadline(), Some(2 * MAX_CALL_INTERVAL));
    watch.call_started(2 * MAX_CALL_INTERVAL);
    // The answer comes after the watch, and later than from a discovery service that is not slow.
    watch.answered(2 * MAX_CALL_INTERVAL + 2700 * SECOND / 1000);
    assert_eq!((watch.retry_deadline(), watch.watch_duration()), (None, 1600 * SECOND / 1000));
    watch.call_started(4 * MAX_CALL_INTERVAL);
    watch.answered(4 * MAX_CALL_INTERVAL + SECOND);
    assert_eq!(watch.watch_duration(), 2600 * SECOND / 1000);
}

#[test]
fn the_first_call_for_the_full_list_at_a_new_address_has_a_short_timeout() {
    let mut watch = WatchTimeouts::new(0);
    watch.call_started(0);
    watch.timed_out();
    watch.address_changed();
    assert_eq!((watch.call_timeout(true), watch.retry_deadline()), (FIRST_FULL_LIST_TIMEOUT, None));
    watch.timed_out();
    assert_eq!(watch.call_timeout(true), MIN_CALL_TIMEOUT);
}

/// How a call ends: after which fraction of its timeout, and how long a caller would otherwise wait before
/// the next one.
#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    Answered { fraction: f64 },
    Failed { fraction: f64, wait_ms: u64 },
    TimedOut { wait_ms: u64 },
    AddressChanged { fraction: f64 },
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    let fraction = || 0.0f64..1.0;
    prop_oneof![
        fraction().prop_map(|fraction| CallOutcome::Answered { fraction }),
        (fraction(), 0u64..100_000).prop_map(|(fraction, wait_ms)| CallOutcome::Failed { fraction, wait_ms }),
        (0u64..100_000).prop_map(|wait_ms| CallOutcome::TimedOut { wait_ms }),
        fraction().prop_map(|fraction| CallOutcome::AddressChanged { fraction }),
    ]
}

proptest! {
    /// Regardless of the outcomes of calls and of longer waits between them, a discovery service that is
    /// reachable from any moment on is called, and given the time to answer, before the notification
    /// deadline.
    #[test]
    fn from_any_moment_on_a_call_is_answered_before_the_notification_deadline(
        must_poll_within in 0u64..100, full_list in any::<bool>(),
        outcomes in prop::collection::vec(call_outcome(), 1..60)
    ) {
        let mut watch = WatchTimeouts::new(must_poll_within * SECOND);
        let (mut now, mut last, mut full_list) = (0u64, None::<(u64, bool)>, full_list);
        for outcome in outcomes {
            if let Some((last, first_at_address)) = last {
                // The discovery service becomes reachable just after the last call started. The first call at
                // an address may time out early; the one after it may not.
                let timeout = watch.call_timeout(full_list);
                prop_assert!(timeout >= MIN_CALL_TIMEOUT || first_at_address, "{timeout} at {now}");
                let early = if timeout >= MIN_CALL_TIMEOUT { 0 } else { timeout };
                let notified = now + early + MIN_CALL_TIMEOUT;
                prop_assert!(
                    notified - last <= NOTIFICATION_DEADLINE - SAFETY_MARGIN,
                    "{} after {last}", notified - last
                );
            }
            let (timeout, start) = (watch.call_timeout(full_list), now);
            watch.call_started(now);
            prop_assert!(timeout <= MAX_CALL_INTERVAL);
            let mut first_at_address = false;
            match outcome {
                CallOutcome::Answered { fraction } => {
                    now += (timeout as f64 * fraction) as u64;
                    watch.answered(now);
                    full_list = false;
                }
                CallOutcome::Failed { fraction, wait_ms } => {
                    now += (timeout as f64 * fraction) as u64;
                    watch.failed();
                    let next = now + wait_ms * SECOND / 1000;
                    now = next.min(watch.retry_deadline().expect("a time")).max(now);
                }
                CallOutcome::TimedOut { wait_ms } => {
                    now += timeout;
                    if !watch.timed_out() {
                        let next = now + wait_ms * SECOND / 1000;
                        now = next.min(watch.retry_deadline().expect("a time")).max(now);
                    }
                }
                CallOutcome::AddressChanged { fraction } => {
                    now += (timeout as f64 * fraction) as u64;
                    watch.address_changed();
                    (full_list, first_at_address) = (true, true);
                }
            }
            // A change at a new address counts from the change of the address.
            last = Some((if first_at_address { now } else { start }, first_at_address));
        }
    }
}
