use super::*;

#[test]
fn keys_of_16_hex_digits_are_parsed_and_others_are_hashed() {
    assert_eq!(parse_key("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
    assert_ne!(parse_key("boiler-7"), parse_key("boiler-8"));
}
