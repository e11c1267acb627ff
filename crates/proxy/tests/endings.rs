//! Requests that meet the end of the process or the end of the window in which nodes recognize retries.

mod rig;

use rig::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time from the stop signal until a process may be killed, where the longest deadline is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3700);

/// Guards against a request that arrives on an open connection long after the stop signal and whose deadline
/// lies beyond the time at which the process may be killed: its answer would be lost.
#[test]
fn a_late_request_to_a_stopping_process_is_answered_before_the_process_may_be_killed() {
    const LENGTH: usize = 1 << 20;
    let mut r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    // A streamed answer: its head was sent before the stop signal.
    let half = "x".repeat(LENGTH / 2);
    node.write(&format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {LENGTH}\r\n\r\n{half}"));
    let mut first = vec![0; LENGTH / 4];
    client.0.read_exact(&mut first).expect("its beginning");
    r.proxy.signal("-TERM");
    let stopped = Instant::now();
    r.proxy.logged("draining");
    std::thread::sleep(Duration::from_millis(800));
    node.write(&half);
    let mut rest = Vec::new();
    while !rest.ends_with(b"x") || rest.len() + first.len() < LENGTH {
        let mut chunk = [0; 65536];
        let n = client.0.read(&mut chunk).expect("the rest");
        assert!(n > 0, "the answer is incomplete");
        rest.extend_from_slice(&chunk[..n]);
    }
    client.ask("read", "X-Time-Left: 50\r\n");
    let (request, received_at) = (node.request(), Instant::now());
    let left: f64 = request.header("x-time-left").and_then(|l| l.parse().ok()).expect("a time");
    assert!(received_at + Duration::from_secs_f64(left) < stopped + KILL_DELAY, "{left}");
    assert!(matches!(client.answer().status(), 502..=504));
    assert!(stopped.elapsed() < KILL_DELAY, "{:?}", stopped.elapsed());
}

/// Guards against a second stop signal that ends a process with unanswered requests.
#[test]
fn a_second_stop_signal_does_not_drop_accepted_requests() {
    let mut r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    r.proxy.signal("-TERM");
    // The process also reloads its settings meanwhile.
    r.proxy.signal("-HUP");
    assert_eq!(r.proxy.health(), 503);
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().body, b"value");
    assert_eq!(client.read(), None);
    until("it has ended", || r.proxy.child.try_wait().expect("a state").is_some_and(|s| s.success()));
}

/// Guards against a close with unread bytes, which resets the connection and may discard the answer.
#[test]
fn a_rejected_request_with_a_large_body_gets_an_answer_that_its_client_can_read() {
    let r = rig();
    for _ in 0..20 {
        let mut client = r.proxy.client();
        let stream = client.0.get_mut();
        let head =
            "PUT /nothing/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad\r\nContent-Length: 4000000\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("written");
        // The answer and the close may arrive while the body is being sent.
        let body = vec![b'x'; 4_000_000];
        let _ = stream.write_all(&body);
        assert_eq!(client.answer().status(), 404);
    }
}

/// Guards against a retry that waits for its connection until after the deduplication window, and so runs
/// twice.
#[test]
fn a_retry_is_not_written_after_the_deduplication_window() {
    // The backlog holds a single connection; while one waits to be accepted, the next can't be established.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listening");
    let origin = TcpListener::from(socket);
    let addr = origin.local_addr().expect("an address");
    let discovery = Server::new();
    let mut settings = config(discovery.addr, &[member("o1", addr, "origin", "ready")]);
    settings["settings"]["categories"][1]["dedup_window_ns"] = json!(1_500_000_000u64);
    let proxy = Proxy::new(&settings);
    let mut client = proxy.client();
    client.write(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: once\r\nIdempotency-Key: k\r\n\
         Content-Length: 1\r\n\r\nx",
    );
    let mut first = Peer::new(origin.accept().expect("the first attempt").0);
    first.request();
    let (sent, filler) = (Instant::now(), TcpStream::connect(addr).expect("connected"));
    // The first attempt may have run.
    drop(first);
    while sent.elapsed() < Duration::from_millis(1600) {
        std::thread::sleep(Duration::from_millis(10));
    }
    drop((origin.accept().expect("the filler"), filler));
    let mut second = Peer::new(origin.accept().expect("the retry's connection").0);
    assert_eq!(second.read(), None, "it was written {:?} after the first", sent.elapsed());
    assert!(client.answer().status() >= 500);
}

/// Guards against sending `Retry-After` to clients that misinterpret it, where the settings forbid it.
#[test]
fn retry_after_is_sent_only_if_the_settings_allow_it() {
    for allowed in [true, false] {
        let discovery = Server::new();
        let mut settings = config(discovery.addr, &[]);
        settings["settings"]["caps"]["retry_after"] = json!(allowed);
        let proxy = Proxy::new(&settings);
        let mut client = proxy.client();
        client.ask("read", "");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("retry-after").is_some()), (503, allowed));
    }
}

/// Guards against a shutdown that waits without a limit for the admission of a connection while others take all
/// descriptors: the process would be killed instead of ending within its time.
#[test]
fn a_connection_that_waits_for_capacity_does_not_hold_up_the_end_of_the_process() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    settings["limits"]["sockets"] = json!(64);
    for class in settings["settings"]["categories"].as_array_mut().expect("classes") {
        class["deadline_ns"] = json!(1_000_000_000u64);
        class["promise_ns"] = json!(500_000_000u64);
    }
    let mut proxy = Proxy::new(&settings);
    // Answers that never end take the whole capacity; the last connection waits for a place.
    let (mut clients, mut nodes) = (Vec::new(), Vec::new());
    loop {
        let mut client = proxy.client();
        client.ask("order", "");
        clients.push(client);
        let Ok(stream) = cache.accepted.recv_timeout(Duration::from_millis(500)) else { break };
        let mut node = Peer::new(stream);
        node.request();
        node.write("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 30000000\r\n\r\nbegin");
        nodes.push(node);
    }
    assert_eq!(nodes.len() + 1, clients.len());
    proxy.signal("-TERM");
    until("it has ended", || {
        // Each answer goes on; a node that can't be written to belongs to a connection that has ended.
        nodes.retain_mut(|node| node.0.get_mut().write_all(b"x").is_ok());
        proxy.child.try_wait().expect("a state").is_some_and(|status| status.success())
    });
}
