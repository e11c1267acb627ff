use super::*;

#[test]
fn the_number_of_a_version_is_parsed_from_a_log_line_of_a_proxy() {
    let line = "aniseyoke: version 1796183001.12 is in force, swapped in 21.647\u{b5}s";
    assert_eq!(version_in_force(line), Some(12));
    assert_eq!(version_in_force("aniseyoke: version 3.x is in force"), None);
    assert_eq!(version_in_force("aniseyoke: listening on 127.0.0.1:1"), None);
}
