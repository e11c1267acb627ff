use super::*;

#[test]
fn line_and_column_handle_multibyte_text_and_any_offset() {
    assert_eq!(line_and_column("a\nbé c", 5), (2, 3));
    // An offset within a character or past the end yields the position of the preceding boundary.
    assert_eq!(line_and_column("é", 1), (1, 1));
    assert_eq!(line_and_column("ab", 99), (1, 3));
}
