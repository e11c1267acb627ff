use super::*;

/// Guards against an operator's order that brings clients back to a process that is about to exit.
#[test]
fn a_shutdown_keeps_draining_when_operators_end_their_drain() {
    let drain = Drain::default();
    assert!(drain.set_ordered(true) && !drain.set_ordered(true) && drain.is_active());
    drain.begin_shutdown();
    assert!(drain.set_ordered(false) && !drain.set_ordered(false));
    assert!(drain.is_active() && drain.is_shutting_down());
}

#[test]
fn idle_connections_close_a_grace_period_after_the_later_of_last_use_and_drain_order() {
    let drain = Drain::default();
    let now = Instant::now();
    assert!(!drain.should_close_idle(now, now + 9 * GRACE_PERIOD));
    drain.set_ordered(true);
    let since = drain.since().expect("ordered");
    assert!(!drain.should_close_idle(now, since + GRACE_PERIOD));
    assert!(drain.should_close_idle(now, since + GRACE_PERIOD + Duration::from_millis(1)));
    assert!(!drain.should_close_idle(since + GRACE_PERIOD, since + 2 * GRACE_PERIOD));
}
