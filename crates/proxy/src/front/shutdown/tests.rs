use super::*;

/// The platform kills a process once the longest deadline and this time have passed since SIGTERM.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The platform counts a longer deadline as this.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);

/// Guards against a shutdown that still waits for the log when the platform kills the process.
#[test]
fn the_process_exits_after_the_last_answer_and_before_the_kill_for_every_deadline() {
    for milliseconds in [0, 200, 2_999, 3_000, 3_001, 5_000, 60_000] {
        let deadline = Duration::from_millis(milliseconds);
        assert!(
            max_shutdown_time(deadline) < deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN,
            "{deadline:?}"
        );
        assert!(
            max_shutdown_time(deadline) > deadline.min(MAX_COUNTED_DEADLINE) + ANSWER_MARGIN,
            "{deadline:?}"
        );
    }
}
