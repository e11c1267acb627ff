//! Which requests the proxy process rejects, and how it frames the bodies that it forwards.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::io::Read;
use std::process::Command;

#[test]
fn pipelined_requests_are_answered_in_order() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&(get("read", "") + &get("read", "")));
    let mut node = r.cache.take();
    for body in ["one", "two"] {
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", body);
        assert_eq!(client.answer().body, body.as_bytes());
    }
}

#[test]
fn invalid_requests_get_one_error_answer_and_the_process_keeps_running() {
    let r = rig();
    let long_length = format!("Content-Length: {}\r\n", 65 << 10);
    let put = |class: &str, headers: &str| {
        format!("PUT /{class}/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n{headers}\r\n")
    };
    let cases = [
        (get("nosuch", ""), 404),
        ("GET / HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n\r\n".to_owned(), 404),
        (get("read", "X-Time-Left: soon\r\n"), 400),
        (get("read", "X-Time-Left: -1\r\n"), 400),
        (get("read", "X-Time-Left: NaN\r\n"), 400),
        (get("read", "X-Time-Left: \r\n"), 400),
        ("GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(), 400),
        ("DELETE /read/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\n\r\n".to_owned(), 405),
        (put("set", "Content-Length: 0\r\n"), 400),
        (get("read", &long_length), 413),
        (get("read", "Transfer-Encoding: chunked\r\n") + "10400\r\n" + &"x".repeat(0x10400), 413),
        ("nonsense\r\n\r\n".to_owned(), 400),
        (get("read", "X-Time-Left: 1\r\nX-Time-Left: 2\r\n"), 400),
        (get("read", "X-Correlation-Id: another\r\n"), 400),
        (get_as("", "read", ""), 400),
        (get_as("two words", "read", ""), 400),
        (get_as(&"9".repeat(129), "read", ""), 400),
        (get("/read", ""), 404),
        (get("read/1#part", ""), 400),
        (put("order", "Content-Length: -1\r\n"), 400),
        (put("order", "Content-Length: 99999999999999999999\r\n"), 400),
        (put("order", "Content-Length: 60000000\r\n"), 413),
        (get("read", &format!("X-Long: {}\r\n", "x".repeat(20 << 10))), 431),
    ];
    for (text, status) in cases {
        let mut client = r.proxy.client();
        client.write(&text);
        let answer = client.answer();
        assert_eq!(answer.status(), status, "{:?}", text.chars().take(90).collect::<String>());
        assert_eq!((answer.header("connection"), client.read()), (Some("close"), None));
    }
    assert_eq!(r.proxy.health(), 200);
    assert!(r.cache.no_new_connection() && r.origin.no_new_connection());
}

/// Guards against a `Connection` header that takes the id or the key of a write off the forwarded request: a
/// node can't tell a repetition without its key, and the proxy panicked without the id.
#[test]
fn the_id_and_the_key_are_forwarded_although_connection_names_them() {
    let r = rig();
    let options = [
        "Connection: Idempotency-Key\r\n",
        "Connection: X-Correlation-Id\r\n",
        "connection: keep-alive, x-correlation-id , IDEMPOTENCY-KEY\r\n",
        "Connection: Idempotency-Key\r\nX-Other: 1\r\nConnection: X-Correlation-Id, X-Other\r\n",
    ];
    for (n, options) in options.iter().enumerate() {
        let mut client = r.proxy.client();
        client.write(&format!(
            "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: named-{n}\r\nIdempotency-Key: key-{n}\r\n\
             {options}Content-Length: 1\r\n\r\nx"
        ));
        let mut node = r.origin.take();
        let request = node.request();
        assert_eq!(request.header("x-correlation-id"), Some(format!("named-{n}").as_str()), "{options}");
        assert_eq!(request.header("idempotency-key"), Some(format!("key-{n}").as_str()), "{options}");
        assert_eq!((request.header("connection"), request.header("x-other")), (None, None), "{options}");
        node.reply("200 OK", "Connection: close\r\n", "stored");
        assert_eq!(client.answer().body, b"stored", "{options}");
    }
}

/// Guards against an answer to HEAD that states its length twice and ends the client's connection unanswered.
#[test]
fn an_answer_to_head_with_a_repeated_length_is_forwarded() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&get("read", "").replace("GET ", "HEAD "));
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 70\r\nContent-Length: 70\r\n\r\n");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        client.0.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text").to_lowercase();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert_eq!(head.matches("content-length: 70").count(), 1, "{head}");
}

#[test]
fn a_stalled_body_times_out() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nX-Time-Left: 0.2\r\n\
         Content-Length: 9\r\n\r\nhalf",
    );
    assert_eq!(client.answer().status(), 408);
}

#[test]
fn ambiguous_body_lengths_that_may_hide_another_request_are_rejected() {
    let r = rig();
    let put = |id: &str, lengths: &str| {
        format!("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n{lengths}\r\n")
    };
    let hidden_request = "0\r\n\r\n".to_owned() + &get("order", "");
    for lengths in [
        "Content-Length: 99\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 99\r\n",
        "transfer-encoding: chunked\r\nX-Between: 1\r\ncontent-length: 99\r\n",
        "Content-Length: 5\r\nContent-Length: 99\r\n",
        "Transfer-Encoding: gzip\r\n",
    ] {
        let mut client = r.proxy.client();
        client.write(&(put("hides-1", lengths) + &hidden_request));
        assert_eq!(client.answer().status(), 400, "{lengths}");
        assert_eq!(client.read(), None);
        // The same after a valid request on the connection.
        let mut client = r.proxy.client();
        client.write(
            &("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_owned()
                + &put("hides-2", lengths)
                + &hidden_request),
        );
        assert_eq!(client.answer().status(), 200);
        assert_eq!(client.answer().status(), 400, "{lengths}");
        assert_eq!(client.read(), None);
    }
    assert!(r.cache.no_new_connection() && r.origin.no_new_connection());
}

#[test]
fn bodies_are_forwarded_with_new_framing() {
    let r = rig();
    for (id, framing, body) in [
        (1, "Transfer-Encoding: chunked\r\n", "2\r\n20\r\n2\r\n.0\r\n0\r\n\r\n"),
        (2, "Content-Length: 4\r\nContent-Length: 4\r\n", "20.0"),
    ] {
        let mut client = r.proxy.client();
        let head = format!("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n");
        client.write(&format!("{head}{framing}\r\n{body}"));
        let mut node = r.origin.take();
        let request = node.request();
        let length_headers: Vec<_> =
            request.headers.iter().filter(|(n, _)| n.contains("length") || n.contains("encod")).collect();
        assert_eq!(length_headers, [&("content-length".to_owned(), "4".to_owned())]);
        assert_eq!(request.body, b"20.0");
        node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: x-a\r\nConnection: close\r\n\r\n3\r\nyes\r\n0\r\nX-A: 1\r\n\r\n");
        let answer = client.answer();
        assert_eq!((answer.body.as_slice(), answer.header("content-length")), (b"yes".as_slice(), Some("3")));
        assert_eq!((answer.header("transfer-encoding"), answer.header("trailer")), (None, None));
        drop(node);
    }
}

#[test]
fn a_second_request_with_an_id_in_use_is_rejected() {
    let r = rig();
    let mut first = r.proxy.client();
    first.write(&get_as("taken", "read", ""));
    let mut node = r.cache.take();
    node.request();
    let mut second = r.proxy.client();
    second.write(&get_as("taken", "read", ""));
    assert_eq!(second.answer().status(), 409);
    assert_eq!(second.read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\n", "for the first");
    assert_eq!(first.answer().body, b"for the first");
    // The ID is free again once its request was answered or its client has disconnected.
    let mut third = r.proxy.client();
    third.write(&get_as("taken", "read", ""));
    node.request();
    drop(third);
    assert_eq!(node.read(), None);
    first.write(&get_as("taken", "read", ""));
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "again");
    assert_eq!(first.answer().body, b"again");
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let addr = Server::new().addr;
    let with_value = |path: &[&str], value: Value| {
        let mut config = config(addr, &[]);
        *path.iter().fold(&mut config, |value_at, name| &mut value_at[*name]) = value;
        config.to_string()
    };
    let cases = [
        ("{".to_owned(), "not JSON"),
        (with_value(&["listen"], json!(null)), "PROXY_LISTEN"),
        (with_value(&["discovery"], json!("nowhere")), "PROXY_DISCOVERY"),
        (with_value(&["mgmt"], json!("nowhere")), "PROXY_MGMT"),
        (with_value(&["mgmt"], json!(10250)), "mgmt"),
        (with_value(&["settings"], json!(null)), "settings"),
        (with_value(&["settings", "categories"], json!([])), "settings.categories"),
        (with_value(&["settings", "categories"], json!([{"deadline_ns": 1}])), "settings.categories.0.name"),
        (with_value(&["settings", "categories"], json!([{"name": "a"}])), "categories.0.deadline_ns"),
        (with_value(&["settings", "caps", "attempts_cap"], json!("many")), "caps.attempts_cap"),
        (with_value(&["known"], json!({"servers": 3})), "known"),
        (with_value(&["limits", "sockets"], json!("all")), "limits.sockets"),
    ];
    for (text, expected) in cases {
        let (child, file) = start(&text);
        let ended = child.wait_with_output().expect("ended");
        let _ = std::fs::remove_file(file);
        let log = String::from_utf8(ended.stderr).expect("text");
        assert!(log.contains(expected) && log.lines().count() == 1, "{expected}: {log:?}");
        assert_eq!(ended.status.code(), Some(1));
    }
    let unset = Command::new(env!("CARGO_BIN_EXE_aniseyoke")).env_clear().output().expect("run");
    assert!(!unset.status.success() && String::from_utf8_lossy(&unset.stderr).contains("PROXY_CONFIG"));
}
