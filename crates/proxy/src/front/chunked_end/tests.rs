use super::*;

/// The end is found exactly at the last byte, however the body is divided.
#[test]
fn the_end_is_reached_with_the_last_byte_and_not_before() {
    let bodies = [
        "0\r\n\r\n",
        "5\r\nhello\r\n0\r\n\r\n",
        "A;name=\"0\"\r\n0\r\n\r\n0\r\n\r\n\r\n000\r\n\r\n",
        "3\r\nabc\r\n00;last\r\nX-Sum: 1\r\nX-Other: 0\r\n\r\n",
        "10 \r\n0123456789abcdef\r\n0\r\n\r\n",
    ];
    for body in bodies.map(str::as_bytes) {
        for split in 0..body.len() {
            let mut end = ChunkedEnd::default();
            end.advance(&body[..split]);
            assert!(!end.is_reached(), "{:?}", String::from_utf8_lossy(&body[..split]));
            end.advance(&body[split..]);
            assert!(end.is_reached(), "{:?} after {split} bytes", String::from_utf8_lossy(body));
        }
        let mut bytewise = ChunkedEnd::default();
        body.iter().for_each(|byte| bytewise.advance(&[*byte]));
        assert!(bytewise.is_reached());
    }
}

#[test]
fn a_size_beyond_all_lengths_has_no_end() {
    let mut end = ChunkedEnd::default();
    end.advance(b"ffffffffffffffffffff\r\nabc\r\n0\r\n\r\n");
    assert!(!end.is_reached());
}
