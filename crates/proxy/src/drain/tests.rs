use super::*;

/// Danger: an operator's order must not bring clients back to a process that is about to end.
#[test]
fn a_process_that_shuts_down_goes_on_draining_when_the_order_is_lifted() {
    let drain = Drain::default();
    assert!(drain.set_ordered(true) && !drain.set_ordered(true) && drain.is_active());
    drain.begin_shutdown();
    assert!(drain.set_ordered(false) && !drain.set_ordered(false));
    assert!(drain.is_active() && drain.is_shutting_down());
}

#[test]
fn idle_connections_stay_for_the_grace_period_after_both_their_last_use_and_the_order() {
    let drain = Drain::default();
    let now = Instant::now();
    assert!(!drain.closes_idle(now, now + 9 * GRACE_PERIOD));
    drain.set_ordered(true);
    let since = drain.since().expect("ordered");
    assert!(!drain.closes_idle(now, since + GRACE_PERIOD));
    assert!(drain.closes_idle(now, since + GRACE_PERIOD + Duration::from_millis(1)));
    assert!(!drain.closes_idle(since + GRACE_PERIOD, since + 2 * GRACE_PERIOD));
}
