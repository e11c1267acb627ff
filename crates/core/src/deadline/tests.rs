use super::*;

#[test]
fn the_margin_leaves_most_of_a_short_client_timeout() {
    for (timeout_ms, max_margin_ms) in [(28, 3), (47, 4), (300, 10), (60_000, 10), (0, 0)] {
        assert!(deadline_margin(timeout_ms * 1_000_000) <= max_margin_ms * 1_000_000, "{timeout_ms}");
    }
}
