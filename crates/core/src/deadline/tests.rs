use super::*;

#[test]
fn an_impatient_client_keeps_most_of_its_time() {
    for (patience_ms, most_ms) in [(28, 3), (47, 4), (300, 10), (60_000, 10), (0, 0)] {
        assert!(deadline_margin(patience_ms * 1_000_000) <= most_ms * 1_000_000, "{patience_ms}");
    }
}
