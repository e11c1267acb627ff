use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
/// The reading of the engine's clock.
const ENGINE: Nanos = 1_000 * HOUR;

fn resolve(reported: Nanos, wall: Nanos) -> Nanos {
    StartTimes::default().resolve(1, reported, None, ClockReadings { engine: ENGINE, wall })
}

#[test]
fn without_a_clock_step_the_reported_start_time_is_used() {
    for wall in [ENGINE, ENGINE - SECOND / 2, ENGINE + SECOND / 2] {
        for reported in [0, 1, ENGINE - HOUR, ENGINE - 1, ENGINE + SECOND / 2] {
            assert_eq!(resolve(reported, wall), reported, "{reported} at {wall}");
        }
    }
}

/// Guards against a start time taken from the wrong clock after a step: a node that started 2 s ago would
/// count as warmed up, or as warming up for an hour.
#[test]
fn a_clock_step_on_either_side_does_not_change_the_uptime_of_a_new_node() {
    let uptime = 2 * SECOND;
    for step in [HOUR, 5 * SECOND] {
        // All clocks were stepped: start times are reported by the new time.
        assert_eq!(resolve(ENGINE + step - uptime, ENGINE + step), ENGINE - uptime);
        assert_eq!(resolve(ENGINE - step - uptime, ENGINE - step), ENGINE - uptime);
        // Only the local clock was stepped: start times are reported by the old time.
        assert_eq!(resolve(ENGINE - uptime, ENGINE + step), ENGINE - uptime);
        assert_eq!(resolve(ENGINE - uptime, ENGINE - step), ENGINE - uptime);
    }
}

#[test]
fn a_start_time_in_the_future_is_replaced_by_the_current_time() {
    assert_eq!(resolve(ENGINE + HOUR, ENGINE), ENGINE);
}

/// Guards against a start time that is corrected differently on each update: each list would seem to report a
/// new process.
#[test]
fn the_correction_stays_the_same_while_the_same_start_time_is_reported() {
    let mut start_times = StartTimes::default();
    let (before, after) = (
        ClockReadings { engine: ENGINE, wall: ENGINE },
        ClockReadings { engine: ENGINE + SECOND, wall: ENGINE + HOUR },
    );
    let old = start_times.resolve(1, ENGINE - HOUR, None, before);
    assert_eq!(start_times.resolve(1, ENGINE - HOUR, Some(old), after), old);
    let new = start_times.resolve(1, ENGINE + HOUR, Some(old), after);
    assert_eq!(new, ENGINE + SECOND);
    let later = ClockReadings { engine: ENGINE + 9 * SECOND, wall: ENGINE + HOUR + 8 * SECOND };
    assert_eq!(start_times.resolve(1, ENGINE + HOUR, Some(new), later), new);
    assert_eq!(start_times.corrections.len(), 1);
    start_times.retain(|_| false);
    assert!(start_times.corrections.is_empty());
}
