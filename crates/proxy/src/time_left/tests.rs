use super::*;

#[test]
fn a_time_is_formatted_in_seconds_and_rounded_down() {
    let formatted = |nanos| format(Duration::from_nanos(nanos));
    assert_eq!(formatted(480_000_000), "0.4800");
    assert_eq!(formatted(480_099_999), "0.4800");
    assert_eq!(formatted(59_999_999_999), "59.9999");
    assert_eq!(formatted(99_999), "0.0000");
}

/// Guards against a head whose length changes: hyper counts the written bytes against the head that it made.
#[test]
fn replacing_the_time_left_keeps_the_length_of_the_head() {
    let head =
        |time: &str| format!("GET /a/b HTTP/1.1\r\nx-time-left: {time}\r\nhost: a\r\n\r\n").into_bytes();
    let replaced = |original: &str, left_ms| replace_in_head(&head(original), Duration::from_millis(left_ms));
    assert_eq!(replaced("0.4800", 330), Some(head("0.3300")));
    assert_eq!(replaced("10.0000", 9850), Some(head("9.85000")));
    assert_eq!(replaced("1000.0000", 7), Some(head("0.0070000")));
    // A longer value is not inserted.
    assert_eq!(replaced("9.0000", 10_000), None);
    assert_eq!(replace_in_head(b"GET /x-time-left: 7 HTTP/1.1\r\nhost: a\r\n\r\n", Duration::ZERO), None);
}
