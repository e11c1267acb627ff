use super::*;

fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

#[test]
fn complete_calls_are_parsed_with_any_framing() {
    let chunked = "POST /api/include HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n\
                   5\r\n{\"id\"\r\n5;x=1\r\n:\"a\"}\r\n0\r\n\r\n";
    let cases = [
        ("GET /api/ready HTTP/1.1\r\n\r\n".to_owned(), Call::Ready),
        ("GET /api/version HTTP/1.1\r\n\r\n".to_owned(), Call::Version),
        ("GET /api/ready?now HTTP/1.0\r\nHost: a\r\n\r\n".to_owned(), Call::Ready),
        (post("/api/exclude", "{\"id\":\"a b\",\"more\":1}"), Call::Exclude("a b".into())),
        (chunked.to_owned(), Call::Include("a".into())),
        (post("/api/evacuate", ""), Call::Evacuate),
        ("POST /api/rejoin HTTP/1.1\r\n\r\n".to_owned(), Call::Rejoin),
    ];
    for (text, call) in cases {
        assert_eq!(parse(text.as_bytes()), Some(Ok(call)), "{text}");
        let end = text.len() - if text.contains("chunked") { 4 } else { 1 };
        assert_eq!(parse(&text.as_bytes()[..end]), None, "{text}");
    }
}

#[test]
fn malformed_calls_are_rejected_with_the_matching_status() {
    let long = format!("GET /api/ready HTTP/1.1\r\nX: {}\r\n", "x".repeat(MAX_CALL_BYTES));
    let head = "POST /api/exclude HTTP/1.1\r\n";
    let chunks = "a\r\n{\"id\":\"a\"}\r\n0\r\n\r\n";
    let cases = [
        (long, "BadCall"),
        ("noise\r\n\r\n".to_owned(), "BadCall"),
        (post("/api/exclude", "{\"id\":7}"), "BadCall"),
        (post("/api/exclude", "{\"id\":"), "BadCall"),
        (post("/api/exclude", ""), "BadCall"),
        (format!("{head}Content-Length: -1\r\n\r\n"), "BadCall"),
        (format!("{head}Content-Length: +1\r\n\r\n1"), "BadCall"),
        (format!("{head}Content-Length: 60000000\r\n\r\n"), "BadCall"),
        (format!("{head}Content-Length: 1\r\nContent-Length: 1\r\n\r\n1"), "BadCall"),
        (format!("{head}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), "BadCall"),
        (format!("{head}Transfer-Encoding: gzip\r\n\r\n"), "BadCall"),
        (format!("{head}Transfer-Encoding: gzip, chunked\r\n\r\n{chunks}"), "BadCall"),
        (format!("{head}Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n{chunks}"), "BadCall"),
        (format!("POST /api/exclude HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}"), "BadCall"),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\nffffffff\r\n"), "BadCall"),
        (format!("{head}Transfer-Encoding: chunked\r\n\r\n1\r\nxx\r\n"), "BadCall"),
        ("GET /api/nothing HTTP/1.1\r\n\r\n".to_owned(), "NotFound"),
        ("POST /api/ready HTTP/1.1\r\n\r\n".to_owned(), "MethodNotAllowed"),
        ("GET /api/exclude HTTP/1.1\r\n\r\n".to_owned(), "MethodNotAllowed"),
    ];
    for (text, kind) in cases {
        let found = parse(text.as_bytes()).expect("decided").expect_err("rejected");
        assert!(format!("{found:?}").starts_with(kind), "{found:?}: {text:.80}");
    }
}
