use super::*;

#[test]
fn a_time_is_told_in_seconds_and_never_longer_than_it_is() {
    let told = |nanos| format(Duration::from_nanos(nanos));
    assert_eq!(told(480_000_000), "0.4800");
    assert_eq!(told(480_099_999), "0.4800");
    assert_eq!(told(59_999_999_999), "59.9999");
    assert_eq!(told(99_999), "0.0000");
}

/// Guards against a head that changes its length: it would no longer be the one that hyper counts.
#[test]
fn a_head_tells_the_time_left_now_in_as_many_bytes() {
    let head =
        |time: &str| format!("GET /a/b HTTP/1.1\r\nx-time-left: {time}\r\nhost: a\r\n\r\n").into_bytes();
    let replaced = |made: &str, left| replace_in_head(&head(made), Duration::from_millis(left));
    assert_eq!(replaced("0.4800", 330), Some(head("0.3300")));
    assert_eq!(replaced("10.0000", 9850), Some(head("9.85000")));
    assert_eq!(replaced("1000.0000", 7), Some(head("0.0070000")));
    // It never grows.
    assert_eq!(replaced("9.0000", 10_000), None);
    assert_eq!(replace_in_head(b"GET /x-time-left: 7 HTTP/1.1\r\nhost: a\r\n\r\n", Duration::ZERO), None);
}
