use super::*;

const SECOND: Nanos = 1_000_000_000;
const HOUR: Nanos = 3600 * SECOND;
/// The core's own clock.
const OWN: Nanos = 1_000 * HOUR;

fn of(told: Nanos, wall: Nanos) -> Nanos {
    Starts::default().of(1, told, None, Clocks { own: OWN, wall })
}

#[test]
fn while_no_clock_steps_a_start_counts_as_it_is_told() {
    for wall in [OWN, OWN - SECOND / 2, OWN + SECOND / 2] {
        for told in [0, 1, OWN - HOUR, OWN - 1, OWN + SECOND / 2] {
            assert_eq!(of(told, wall), told, "{told} at {wall}");
        }
    }
}

/// Danger: a node that started 2 s ago would count as warm, or stay cold for an hour.
#[test]
fn a_node_that_has_just_started_is_cold_for_its_own_time_whichever_clock_was_stepped() {
    let started = 2 * SECOND;
    for by in [HOUR, 5 * SECOND] {
        // The step is everywhere: starts are told by the new time.
        assert_eq!(of(OWN + by - started, OWN + by), OWN - started);
        assert_eq!(of(OWN - by - started, OWN - by), OWN - started);
        // It is here alone: starts are told by the old time.
        assert_eq!(of(OWN - started, OWN + by), OWN - started);
        assert_eq!(of(OWN - started, OWN - by), OWN - started);
    }
}

#[test]
fn a_start_in_the_future_counts_as_now() {
    assert_eq!(of(OWN + HOUR, OWN), OWN);
}

/// Danger: a start that counts otherwise each time would make each list tell of a new process.
#[test]
fn the_same_start_counts_the_same_for_as_long_as_it_is_told() {
    let mut starts = Starts::default();
    let (before, after) = (Clocks { own: OWN, wall: OWN }, Clocks { own: OWN + SECOND, wall: OWN + HOUR });
    let old = starts.of(1, OWN - HOUR, None, before);
    assert_eq!(starts.of(1, OWN - HOUR, Some(old), after), old);
    let new = starts.of(1, OWN + HOUR, Some(old), after);
    assert_eq!(new, OWN + SECOND);
    let later = Clocks { own: OWN + 9 * SECOND, wall: OWN + HOUR + 8 * SECOND };
    assert_eq!(starts.of(1, OWN + HOUR, Some(new), later), new);
    assert_eq!(starts.changed.len(), 1);
    starts.retain(|_| false);
    assert!(starts.changed.is_empty());
}
