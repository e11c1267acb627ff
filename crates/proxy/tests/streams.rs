//! Bodies and answers that are passed on while they still come.

mod rig;

use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::JoinHandle;

/// As large as anything that is to pass.
const LARGE: usize = 32 << 20;
/// What the proxy may hold in these tests, in megabytes.
const MEMORY_MB: usize = 48;
const PART: usize = 64 << 10;

/// The byte at a place of a body, so that a part that is lost, doubled or moved is seen.
fn byte(at: usize) -> u8 {
    (at % 251) as u8
}

fn part(from: usize, length: usize) -> Vec<u8> {
    (from..from + length).map(byte).collect()
}

/// Writes a body of this length from the start on, or as far as the other side reads.
fn pour(stream: &mut TcpStream, length: usize, chunked: bool) {
    let mut at = 0;
    while at < length {
        let bytes = part(at, PART.min(length - at));
        let frame = if chunked { format!("{:x}\r\n", bytes.len()) } else { String::new() };
        let end = if chunked { "\r\n" } else { "" };
        let whole = [frame.as_bytes(), &bytes, end.as_bytes()].concat();
        if stream.write_all(&whole).is_err() {
            return;
        }
        at += bytes.len();
    }
    if chunked {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
}

/// Reads the head of a message, line by line.
fn head(peer: &mut Peer) -> Vec<String> {
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

/// Reads so many bytes of a body and checks each.
fn drink(peer: &mut Peer, from: usize, length: usize) {
    let mut at = 0;
    let mut bytes = vec![0; PART];
    while at < length {
        let most = PART.min(length - at);
        peer.0.read_exact(&mut bytes[..most]).expect("a body");
        assert!(bytes[..most] == part(from + at, most), "other bytes near {at}");
        at += most;
    }
}

/// Reads a chunked body to its end; its length, or none if it broke off.
fn drink_chunks(peer: &mut Peer) -> Option<usize> {
    use std::io::BufRead;
    let mut at = 0;
    loop {
        let mut size = String::new();
        peer.0.read_line(&mut size).ok().filter(|n| *n > 0)?;
        let size = usize::from_str_radix(size.trim(), 16).expect("a size");
        let mut bytes = vec![0; size + 2];
        peer.0.read_exact(&mut bytes).ok()?;
        if size == 0 {
            return Some(at);
        }
        assert!(bytes[..size] == part(at, size), "other bytes near {at}");
        at += size;
    }
}

/// The most memory that the proxy has held, in megabytes.
fn peak(proxy: &Proxy) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", proxy.child.id())).expect("a status");
    let line = status.lines().find(|l| l.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<usize>().ok()).expect("a number") >> 10
}

fn small_rig() -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let listed = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &listed);
    config["limits"]["memory_mb"] = json!(MEMORY_MB);
    Rig { proxy: Proxy::new(&config), cache, origin, discovery }
}

fn answering(mut node: Peer, length: usize, chunked: bool) -> JoinHandle<Peer> {
    std::thread::spawn(move || {
        let told = match chunked {
            true => "Transfer-Encoding: chunked".to_owned(),
            false => format!("Content-Length: {length}"),
        };
        node.write(&format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{told}\r\n\r\n"));
        pour(node.0.get_mut(), length, chunked);
        node
    })
}

/// Danger: answers held whole would take more memory than there is.
#[test]
fn large_answers_pass_unchanged_within_the_memory() {
    let r = small_rig();
    let mut running = Vec::new();
    for n in 0..6 {
        let mut client = r.proxy.client();
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        running.push((n % 2 == 0, answering(node, LARGE, n % 2 == 0), client));
    }
    for (chunked, node, mut client) in running {
        let lines = head(&mut client);
        assert!(lines[0].contains("200"), "{lines:?}");
        if chunked {
            assert_eq!(drink_chunks(&mut client), Some(LARGE));
        } else {
            assert!(lines.contains(&format!("content-length: {LARGE}")), "{lines:?}");
            drink(&mut client, 0, LARGE);
        }
        node.join().expect("poured");
    }
    assert!(peak(&r.proxy) < MEMORY_MB, "{} MB", peak(&r.proxy));
}

#[test]
fn large_bodies_pass_unchanged_within_the_memory() {
    let r = small_rig();
    for chunked in [true, false] {
        let mut client = r.proxy.client();
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LARGE}") };
        let pouring = std::thread::spawn(move || {
            client.write(&format!(
                "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: up-{chunked}\r\n{framing}\r\n\r\n"
            ));
            pour(client.0.get_mut(), LARGE, chunked);
            client.answer().status()
        });
        let mut node = r.origin.take();
        let lines = head(&mut node);
        if chunked {
            assert!(lines.contains(&"transfer-encoding: chunked".to_owned()), "{lines:?}");
            assert_eq!(drink_chunks(&mut node), Some(LARGE));
        } else {
            assert!(lines.contains(&format!("content-length: {LARGE}")), "{lines:?}");
            drink(&mut node, 0, LARGE);
        }
        node.reply("200 OK", "Connection: close\r\n", "stored");
        assert_eq!(pouring.join().expect("poured"), 200);
    }
    assert!(peak(&r.proxy) < MEMORY_MB, "{} MB", peak(&r.proxy));
}

/// Danger: bytes that wait for those behind them may wait for good.
#[test]
fn what_a_node_has_given_is_passed_on_before_it_gives_more() {
    let r = rig();
    for framing in ["Content-Length: 200000", "Transfer-Encoding: chunked"] {
        let mut client = r.proxy.client();
        client.ask("read", "");
        let mut node = r.cache.take();
        node.request();
        node.write(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"));
        let chunked = framing.contains("chunked");
        let give = |node: &mut Peer, from: usize| {
            let bytes = part(from, 100_000);
            let (before, behind) = if chunked { ("186a0\r\n", "\r\n") } else { ("", "") };
            let whole = [before.as_bytes(), &bytes, behind.as_bytes()].concat();
            node.0.get_mut().write_all(&whole).expect("written");
        };
        give(&mut node, 0);
        head(&mut client);
        // However the proxy frames it, more than its first 64 KiB are there while the node gives no more.
        let mut first = vec![0; 80_000];
        client.0.read_exact(&mut first).expect("the first half");
        give(&mut node, 100_000);
        let mut rest = vec![0; 110_000];
        client.0.read_exact(&mut rest).expect("the second half");
        drop(node);
    }
}

/// Danger: an answer that ends like a whole one although its node broke off would be taken for one.
#[test]
fn an_answer_whose_node_breaks_off_ends_visibly_broken() {
    let r = rig();
    for chunked in [true, false] {
        let mut client = r.proxy.client();
        client.ask("order", "");
        let mut node = r.cache.take();
        node.request();
        let told = if chunked { "Transfer-Encoding: chunked" } else { "Content-Length: 300000" };
        node.write(&format!("HTTP/1.1 200 OK\r\n{told}\r\n\r\n"));
        if chunked {
            node.write("249f0\r\n");
        }
        node.0.get_mut().write_all(&part(0, 140_000)).expect("written");
        head(&mut client);
        drop(node);
        if chunked {
            assert_eq!(drink_chunks(&mut client), None);
        } else {
            let mut bytes = Vec::new();
            let _ = client.0.read_to_end(&mut bytes);
            assert!((1..300_000).contains(&bytes.len()) && bytes == part(0, bytes.len()));
        }
    }
    assert_eq!(r.proxy.health(), 200);
}

/// Danger: an upload of which a part is lost must not be taken for a whole one by another attempt.
#[test]
fn an_upload_that_breaks_at_the_node_is_not_sent_again() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&format!(
        "PUT /set/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nIdempotency-Key: 1\r\nContent-Length: {LARGE}\r\n\r\n"
    ));
    let mut stream = client.0.get_ref().try_clone().expect("a copy");
    let pouring = std::thread::spawn(move || pour(&mut stream, LARGE / 2, false));
    let mut node = r.origin.take();
    head(&mut node);
    drink(&mut node, 0, 1 << 20);
    drop(node);
    // It never ran, so that a repeat is harmless.
    assert_eq!(client.answer().status(), 503);
    drop(client);
    pouring.join().expect("poured");
    assert!(r.origin.no_new_connection());
}

#[test]
fn a_client_that_breaks_off_its_upload_ends_the_attempt() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write("PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nContent-Length: 900000\r\n\r\n");
    pour(client.0.get_mut(), 300_000, false);
    let mut node = r.origin.take();
    head(&mut node);
    drink(&mut node, 0, 100_000);
    drop(client);
    let mut bytes = Vec::new();
    let _ = node.0.read_to_end(&mut bytes);
    assert!(bytes.len() < 800_000);
    assert_eq!(r.proxy.health(), 200);
}

#[test]
fn a_client_that_leaves_in_the_midst_of_an_answer_ends_it_at_the_node() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    let pouring = answering(node, LARGE, false);
    head(&mut client);
    drink(&mut client, 0, 100_000);
    drop(client);
    // The node could not have poured it all, had its connection stayed open and unread.
    assert_eq!(pouring.join().expect("ended").read(), None);
}

#[test]
fn an_answer_that_ends_with_its_connection_is_served() {
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
fn a_head_is_asked_for_and_answered_without_a_body() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(&get("read", "").replace("GET ", "HEAD "));
    let mut node = r.cache.take();
    assert!(node.request().line.starts_with("HEAD "));
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 70000\r\n\r\n");
    let lines = head(&mut client);
    assert!(lines[0].contains("200") && lines.contains(&"content-length: 70000".to_owned()), "{lines:?}");
    // Nothing follows it, so the connection serves the next request.
    client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn a_client_that_waits_for_leave_to_send_its_body_gets_it() {
    let r = rig();
    let mut client = r.proxy.client();
    client.write(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: 1\r\nExpect: 100-continue\r\n\
         Content-Length: 100000\r\n\r\n",
    );
    assert!(head(&mut client)[0].contains("100"));
    pour(client.0.get_mut(), 100_000, false);
    let mut node = r.origin.take();
    let lines = head(&mut node);
    assert!(!lines.iter().any(|l| l.starts_with("expect")), "{lines:?}");
    drink(&mut node, 0, 100_000);
    node.reply("200 OK", "", "stored");
    assert_eq!(client.answer().body, b"stored");
}

/// Danger: an answer of unknown length may be a large one, and its client waits for the first bytes.
#[test]
fn an_answer_of_unknown_length_is_not_held_until_it_ends() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n");
    node.0.get_mut().write_all(&[&part(0, 4)[..], b"\r\n"].concat()).expect("written");
    assert!(head(&mut client)[0].contains("200"));
    node.write("0\r\n\r\n");
    assert_eq!(drink_chunks(&mut client), Some(4));
}
