use super::*;

#[test]
fn places_are_found_in_any_text() {
    assert_eq!(line_and_column("a\nbé c", 5), (2, 3));
    // Within a character, or past the end: the place of what comes before.
    assert_eq!(line_and_column("é", 1), (1, 1));
    assert_eq!(line_and_column("ab", 99), (1, 3));
}
