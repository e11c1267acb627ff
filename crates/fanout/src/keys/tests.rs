use super::*;
use proptest::prelude::*;

#[test]
fn a_key_is_encoded_as_eight_bytes_in_big_endian_order() {
    let text = serde_json::to_string(&Keys(vec![1, 0xffee_ddcc_bbaa_9988])).expect("JSON");
    assert_eq!(
        text,
        format!("\"{}\"", STANDARD.encode(b"\0\0\0\0\0\0\0\x01\xff\xee\xdd\xcc\xbb\xaa\x99\x88"))
    );
}

#[test]
fn malformed_keys_are_rejected_with_a_clear_error() {
    for (text, expected) in [("\"AAAA\"", "no multiple of 8"), ("\"*\"", "keys: "), ("7", "string")] {
        let error = serde_json::from_str::<Keys>(text).expect_err("rejected").to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

proptest! {
    #[test]
    fn keys_survive_a_serialization_round_trip(keys in prop::collection::vec(any::<u64>(), 0..50)) {
        let keys = Keys(keys);
        let text = serde_json::to_string(&keys).expect("JSON");
        prop_assert_eq!(serde_json::from_str::<Keys>(&text).expect("read"), keys);
    }
}
