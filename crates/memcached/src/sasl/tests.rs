use super::*;

#[test]
fn user_and_password_are_parsed_and_malformed_credentials_rejected() {
    assert_eq!(parse_plain(b"\0acme\0secret"), Some(PlainCredentials { user: "acme", password: "secret" }));
    assert_eq!(parse_plain(b"acme\0acme\0"), Some(PlainCredentials { user: "acme", password: "" }));
    let long = [b"\0".to_vec(), vec![b'a'; 256], b"\0p".to_vec()].concat();
    for invalid in [&b""[..], b"\0", b"\0\0p", b"other\0acme\0p", b"\0acme\0p\0", b"\0ac\xffme\0p", &long] {
        assert_eq!(parse_plain(invalid), None, "{invalid:?}");
    }
}

#[test]
fn the_password_is_not_logged() {
    assert!(!format!("{:?}", parse_plain(b"\0acme\0secret")).contains("secret"));
}
