use super::*;

#[test]
fn retry_after_is_sent_in_seconds_and_omitted_if_zero() {
    for (wait, expected) in [(1500, Some("1.500")), (0, None)] {
        let answer = to_response(Answer::Rejected(Duration::from_millis(wait)), false);
        let retry_after = answer.headers().get(header::RETRY_AFTER).and_then(|v| v.to_str().ok());
        assert_eq!((answer.status(), retry_after), (StatusCode::SERVICE_UNAVAILABLE, expected));
    }
}
