use super::*;

#[test]
fn a_signed_duration_is_a_clock_shift_and_other_text_is_an_error() {
    let three = Duration::from_secs(3);
    assert_eq!(parse_shift("+3s"), Some(Shift { ahead: three, behind: Duration::ZERO }));
    assert_eq!(parse_shift("-3s"), Some(Shift { ahead: Duration::ZERO, behind: three }));
    assert_eq!(parse_shift(""), Some(Shift::default()));
    assert!(["+", "3s", "-x", "é"].iter().all(|text| parse_shift(text).is_none()));
}
