use super::*;

/// The platform kills a process this long after SIGTERM and the longest deadline,
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// and counts a deadline that is longer as this.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);

/// Guards against an end that still waits for the log when the process is killed.
#[test]
fn a_process_has_to_have_ended_before_it_may_be_killed_whatever_its_deadlines() {
    for milliseconds in [0, 200, 2_999, 3_000, 3_001, 5_000, 60_000] {
        let deadline = Duration::from_millis(milliseconds);
        assert!(time_to_exit(deadline) < deadline.min(LONGEST_COUNTED) + KILL_MARGIN, "{deadline:?}");
        assert!(time_to_exit(deadline) > deadline.min(LONGEST_COUNTED) + ANSWER_MARGIN, "{deadline:?}");
    }
}
