use super::*;

#[test]
fn a_key_is_read_as_the_simulator_reads_it() {
    assert_eq!(parse_key("7f3a9c21e0b4d655"), 0x7f3a_9c21_e0b4_d655);
    assert_ne!(parse_key("boiler-7"), parse_key("boiler-8"));
}
