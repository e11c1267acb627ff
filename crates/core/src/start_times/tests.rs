use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
/// The engine's own clock.
const ENGINE: Nanos = 1_000 * HOUR;

fn resolve(reported: Nanos, wall: Nanos) -> Nanos {
    StartTimes::default().resolve(1, reported, None, ClockReadings { engine: ENGINE, wall })
}

#[test]
fn while_no_clock_steps_a_start_time_counts_as_it_is_reported() {
    for wall in [ENGINE, ENGINE - SECOND / 2, ENGINE + SECOND / 2] {
        for reported in [0, 1, ENGINE - HOUR, ENGINE - 1, ENGINE + SECOND / 2] {
            assert_eq!(resolve(reported, wall), reported, "{reported} at {wall}");
        }
    }
}

/// Danger: a node that started 2 s ago would count as warmed up, or warm up for an hour.
#[test]
fn a_node_that_has_just_started_warms_up_for_its_own_time_whichever_clock_was_stepped() {
    let started = 2 * SECOND;
    for by in [HOUR, 5 * SECOND] {
        // The step is everywhere: start_times are reported by the new time.
        assert_eq!(resolve(ENGINE + by - started, ENGINE + by), ENGINE - started);
        assert_eq!(resolve(ENGINE - by - started, ENGINE - by), ENGINE - started);
        // It is here alone: start_times are reported by the old time.
        assert_eq!(resolve(ENGINE - started, ENGINE + by), ENGINE - started);
        assert_eq!(resolve(ENGINE - started, ENGINE - by), ENGINE - started);
    }
}

#[test]
fn a_start_in_the_future_counts_as_now() {
    assert_eq!(resolve(ENGINE + HOUR, ENGINE), ENGINE);
}

/// Danger: a start that counts otherwise each time would make each list report a new process.
#[test]
fn the_same_start_counts_the_same_for_as_long_as_it_is_reported() {
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
