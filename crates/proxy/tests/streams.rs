//! Request bodies and answers that are forwarded while they are still being received.

mod rig;

use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;

/// The length of a large body, in bytes.
const LARGE_BYTES: usize = 32 << 20;
/// The memory limit of the proxy in these tests, in megabytes.
const MEMORY_MB: usize = 48;
const PART_BYTES: usize = 64 << 10;

/// The byte at an offset of a body; lost, duplicated or moved parts differ from it.
fn byte(offset: usize) -> u8 {
    (offset % 251) as u8
}

fn body_part(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(byte).collect()
}

/// Writes a body of this length, or as much of it as the peer reads.
fn write_body(stream: &mut TcpStream, length: usize, chunked: bool) {
    let mut offset = 0;
    while offset < length {
        let bytes = body_part(offset, PART_BYTES.min(length - offset));
        let frame = if chunked { format!("{:x}\r\n", bytes.len()) } else { String::new() };
        let end = if chunked { "\r\n" } else { "" };
        let chunk = [frame.as_bytes(), &bytes, end.as_bytes()].concat();
        if stream.write_all(&chunk).is_err() {
            return;
        }
        offset += bytes.len();
    }
    if chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// Reads the head of a message, line by line.
fn read_head(peer: &mut Peer) -> Vec<String> {
    use std::io::BufRead;
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        peer.0.read_line(&mut line).expect("a line");
        match line.trim_end() {
            "" => return lines,
            line => lines.push(line.to_lowercase()),
        }
    }
}

/// Reads `length` bytes of a body from offset `from` on and checks each.
fn expect_body(peer: &mut Peer, from: usize, length: usize) {
    let mut offset = 0;
    let mut bytes = vec![0; PART_BYTES];
    while offset < length {
        let count = PART_BYTES.min(length - offset);
        peer.0.read_exact(&mut bytes[..count]).expect("a body");
        assert!(bytes[..count] == body_part(from + offset, count), "wrong bytes near offset {offset}");
        offset += count;
    }
}

/// Reads a chunked body to its end and checks each byte. Returns its length, or `None` if it ends early.
fn expect_chunked_body(peer: &mut Peer) -> Option<usize> {
    use std::io::BufRead;
    let mut offset = 0;
    loop {
        let mut size = String::new();
        peer.0.read_line(&mut size).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(size.trim(), 16).expect("a size");
        let mut bytes = vec![0; size + 2];
        peer.0.read_exact(&mut bytes).ok()?;
        if size == 0 {
            return Some(offset);
        }
        assert!(bytes[..size] == body_part(offset, size), "wrong bytes near offset {offset}");
        offset += size;
    }
}

/// Returns the peak memory of the proxy, in megabytes.
fn peak_memory_mb(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") >> 10
}

fn rig_with_memory_limit() -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let listed = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &listed);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    Rig { proxy: Proxy::new(&config), cache, origin, discovery }
}

fn send_answer(mut node: Peer, length: usize, chunked: bool) -> JoinHandle<Peer> {
    std::thread::spawn(move || {
        let framing = match chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {length}"),
        };
        node.write(&format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{framing}\r\n\r\n"));
        write_body(node.0.get_mut(), length, chunked);
        node
    })
}

/// Guards against answers that are buffered completely, which would exceed the memory limit.
#[test]
fn large_answers_are_forwarded_unchanged_within_the_memory_limit() {
    let r = rig_with_memory_limit();
    let mut answers = Vec::new();
    for n in 0..6 {
        let mut client = r.proxy.client();
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        answers.push((n % 2 == 0, send_answer(node, LARGE_BYTES, n % 2 == 0), client));
    }
    for (chunked, node, mut client) in answers {
        let lines = read_head(&mut client);
        assert!(lines[0].contains("200"), "{lines:?}");
        if chunked {
            assert_eq!(expect_chunked_body(&mut client), Some(LARGE_BYTES));
        } else {
            assert!(lines.contains(&format!("content-length: {LARGE_BYTES}")), "{lines:?}");
            expect_body(&mut client, 0, LARGE_BYTES);
        }
        node.join().expect("poured");
    }
    assert!(peak_memory_mb(&r.proxy) < MEMORY_MB, "{} MB", peak_memory_mb(&r.proxy));
}

#[test]
fn large_bodies_are_forwarded_unchanged_within_the_memory_limit() {
    let r = rig_with_memory_limit();
    for chunked in [true, false] {
        let mut client = r.proxy.client();
        let framing = if chunked {
            "Transfer-Encoding: chunked".into()
        } else {
            format!("Content-Length: {LARGE_BYTES}")
        };
        let upload = std::thread::spawn(move || {
            client.write(&format!(
                "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up-{chunked}\r\n{framing}\r\n\r\n"
            ));
            write_body(client.0.get_mut(), LARGE_BYTES, chunked);
            client.answer().status()
        });
        let mut node = r.origin.take();
        let lines = read_head(&mut node);
        if chunked {
            assert!(lines.contains(&"transfer-encoding: chunked".to_owned()), "{lines:?}");
            assert_eq!(expect_chunked_body(&mut node), Some(LARGE_BYTES));
        } else {
            assert!(lines.contains(&format!("content-length: {LARGE_BYTES}")), "{lines:?}");
            expect_body(&mut node, 0, LARGE_BYTES);
        }
        node.reply("200 OK", "Connection: close\r\n", "stored");
        assert_eq!(upload.join().expect("poured"), 200);
    }
    assert!(peak_memory_mb(&r.proxy) < MEMORY_MB, "{} MB", peak_memory_mb(&r.proxy));
}

/// Guards against bytes that are held back until more arrive, which may never happen.
#[test]
fn received_bytes_are_forwarded_before_the_node_sends_more() {
    let r = rig();
    for framing in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let mut client = r.proxy.client();
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        node.write(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"));
        let chunked = framing.contains("chunked");
        let send_half = |node: &mut Peer, from: usize| {
            let bytes = body_part(from, 100_000);
            let (before, after) = if chunked { ("186a0\r\n", "\r\n") } else { ("", "") };
            let framed = [before.as_bytes(), &bytes, after.as_bytes()].concat();
            node.0.get_mut().write_all(&framed).expect("written");
        };
        send_half(&mut node, 0);
        read_head(&mut client);
        // In either framing, more than the first 64 KiB arrive while the node sends no more.
        let mut first = vec![0; 80_000];
        client.0.read_exact(&mut first).expect("the first half");
        send_half(&mut node, 100_000);
        let mut rest = vec![0; 110_000];
        client.0.read_exact(&mut rest).expect("the second half");
        drop(node);
    }
}

/// Guards against an answer that was cut off by its node and ends like a complete one.
#[test]
fn an_answer_cut_off_by_its_node_is_visibly_incomplete() {
    let r = rig();
    for chunked in [true, false] {
        let mut client = r.proxy.client();
        client.ask("order", "");
        let mut node = r.cache.take();
        node.request();
        let framing = if chunked { "Transfer-Encoding: chunked" } else { "Content-Length: 300000" };
        node.write(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"));
        if chunked {
            node.write("249f0\r\n");
        }
        node.0.get_mut().write_all(&body_part(0, 140_000)).expect("written");
        read_head(&mut client);
        drop(node);
        if chunked {
            assert_eq!(expect_chunked_body(&mut client), None);
        } else {
            let mut bytes = Vec::new();
            let _ = client.0.read_to_end(&mut bytes);
            assert!((1..300_000).contains(&bytes.len()) && bytes == body_part(0, bytes.len()));
        }
    }
    assert_eq!(r.proxy.health(), 200);
}

/// Guards against an answer that was cut off by its node and looks whole to an HTTP/1.0 client, for whom the end of
/// the connection is the end of an answer of unknown length.
#[test]
fn an_answer_cut_off_by_its_node_ends_with_a_reset_for_an_http_1_0_client() {
    let r = rig();
    for is_whole in [false, true] {
        let mut client = r.proxy.client();
        client.write(&get("order", "").replace("HTTP/1.1", "HTTP/1.0"));
        let mut node = r.cache.take();
        node.request();
        node.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n249f0\r\n");
        node.0.get_mut().write_all(&body_part(0, 140_000)).expect("written");
        read_head(&mut client);
        if is_whole {
            node.0.get_mut().write_all(&body_part(140_000, 10_000)).expect("written");
            node.write("\r\n0\r\n\r\n");
        }
        drop(node);
        let mut bytes = Vec::new();
        let ended = client.0.read_to_end(&mut bytes);
        if is_whole {
            ended.expect("an orderly end");
            assert!(bytes == body_part(0, 150_000));
        } else {
            assert_eq!(ended.expect_err("a reset").kind(), std::io::ErrorKind::ConnectionReset);
        }
    }
}

/// Guards against another attempt with an upload of which a part is lost.
#[test]
fn an_upload_whose_node_disconnects_is_not_retried() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nIdempotency-Key: 1\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
    ));
    let mut stream = client.0.get_ref().try_clone().expect("a copy");
    let upload = std::thread::spawn(move || write_body(&mut stream, LARGE_BYTES / 2, false));
    let mut node = r.origin.take();
    read_head(&mut node);
    expect_body(&mut node, 0, 1 << 20);
    drop(node);
    // The request never ran, so a repetition is harmless.
    assert_eq!(client.answer().status(), 503);
    drop(client);
    upload.join().expect("poured");
    assert!(r.origin.no_new_connection());
}

#[test]
fn a_client_that_disconnects_during_its_upload_ends_the_attempt() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nContent-Length: 900000\r\n\r\n");
    write_body(client.0.get_mut(), 300_000, false);
    let mut node = r.origin.take();
    read_head(&mut node);
    expect_body(&mut node, 0, 100_000);
    drop(client);
    let mut bytes = Vec::new();
    let _ = node.0.read_to_end(&mut bytes);
    assert!(bytes.len() < 800_000);
    assert_eq!(r.proxy.health(), 200);
}

#[test]
fn a_client_that_disconnects_during_an_answer_ends_it_at_the_node() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    let answer = send_answer(node, LARGE_BYTES, false);
    read_head(&mut client);
    expect_body(&mut client, 0, 100_000);
    drop(client);
    // The node could not have written everything if its connection had stayed open and unread.
    assert_eq!(answer.join().expect("ended").read(), None);
}

#[test]
fn an_answer_delimited_by_its_connection_close_is_forwarded() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall there is");
    drop(node);
    assert_eq!(client.answer().body, b"all there is");
}

#[test]
fn a_head_request_is_forwarded_and_answered_without_a_body() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&get("read", "").replace("GET ", "HEAD "));
    let mut node = r.cache.take();
    assert!(node.request().line.starts_with("HEAD "));
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 70000\r\n\r\n");
    let lines = read_head(&mut client);
    assert!(lines[0].contains("200") && lines.contains(&"content-length: 70000".to_owned()), "{lines:?}");
    // No body follows, so the connection serves the next request.
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_client_that_expects_100_continue_gets_it() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nExpect: 100-continue\r\n\
         Content-Length: 100000\r\n\r\n",
    );
    assert!(read_head(&mut client)[0].contains("100"));
    write_body(client.0.get_mut(), 100_000, false);
    let mut node = r.origin.take();
    let lines = read_head(&mut node);
    assert!(!lines.iter().any(|l| l.starts_with("expect")), "{lines:?}");
    expect_body(&mut node, 0, 100_000);
    node.reply("200 OK", "", "stored");
    assert_eq!(client.answer().body, b"stored");
}

/// Guards against an answer of unknown length that is buffered to its end: it may be large, and its client
/// waits for the first bytes.
#[test]
fn an_answer_of_unknown_length_is_not_buffered_until_it_ends() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n");
    node.0.get_mut().write_all(&[&body_part(0, 4)[..], b"\r\n"].concat()).expect("written");
    assert!(read_head(&mut client)[0].contains("200"));
    node.write("0\r\n\r\n");
    assert_eq!(expect_chunked_body(&mut client), Some(4));
}
