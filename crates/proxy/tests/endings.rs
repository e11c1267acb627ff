//! Where the end of something crosses a request: of the process, of a time in which repeats are known.

mod rig;

use rig::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A process that was told to stop may be killed so long after that, where the longest deadline is 3 s or more.
const KILLED_AFTER: Duration = Duration::from_millis(3700);

/// Danger: a request that comes on a connection that is still open well after the process was told to stop has a deadline
/// beyond its end; what is unanswered then is lost.
#[test]
fn what_comes_late_to_a_process_that_stops_is_answered_before_it_may_be_killed() {
    const LENGTH: usize = 1 << 20;
    let mut r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    // An answer that is passed on as it comes: its head went out before the process was told to stop.
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
        let mut part = [0; 65536];
        let n = client.0.read(&mut part).expect("the rest");
        assert!(n > 0, "the answer broke off");
        rest.extend_from_slice(&part[..n]);
    }
    client.ask("read", "X-Time-Left: 50\r\n");
    let (request, told) = (node.request(), Instant::now());
    let left: f64 = request.header("x-time-left").and_then(|l| l.parse().ok()).expect("a time");
    assert!(told + Duration::from_secs_f64(left) < stopped + KILLED_AFTER, "{left}");
    assert!(matches!(client.answer().status(), 502..=504));
    assert!(stopped.elapsed() < KILLED_AFTER, "{:?}", stopped.elapsed());
}

/// Danger: a signal that comes again must not end a process that still owes answers.
#[test]
fn a_process_that_is_told_twice_to_stop_still_answers_what_it_has_taken() {
    let mut r = rig();
    let mut client = r.proxy.client();
    client.ask("order", "");
    let mut node = r.cache.take();
    node.request();
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    r.proxy.signal("-TERM");
    // It rereads its settings meanwhile as well.
    r.proxy.signal("-HUP");
    assert_eq!(r.proxy.health(), 503);
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(client.answer().body, b"value");
    assert_eq!(client.read(), None);
    until("it has ended", || r.proxy.child.try_wait().expect("a state").is_some_and(|s| s.success()));
}

/// Danger: a close with bytes unread resets the connection, and the answer may go with it.
#[test]
fn bad_input_with_much_behind_it_gets_an_answer_that_its_client_can_read() {
    let r = rig();
    for _ in 0..20 {
        let mut client = r.proxy.client();
        let stream = client.0.get_mut();
        let head =
            "PUT /nothing/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: bad\r\nContent-Length: 4000000\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("written");
        // The answer may come while this is being sent, and the close with it.
        let body = vec![b'x'; 4_000_000];
        let _ = stream.write_all(&body);
        assert_eq!(client.answer().status(), 404);
    }
}

/// Danger: a repeat that waits for its connection is written when the nodes no longer know it for one, and runs twice.
#[test]
fn a_repeat_is_not_written_once_nodes_no_longer_know_it_for_one() {
    // One connection is taken at a time; while another waits to be, the next can't come up.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listening");
    let origin = TcpListener::from(socket);
    let addr = origin.local_addr().expect("an address");
    let discovery = Server::new();
    let mut short = config(discovery.addr, &[member("o1", addr, "origin", "ready")]);
    short["settings"]["categories"][1]["dedup_window_ns"] = json!(1_500_000_000u64);
    let proxy = Proxy::new(&short);
    let mut client = proxy.client();
    client.write(
        "PUT /set/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: once\r\nIdempotency-Key: k\r\n\
         Content-Length: 1\r\n\r\nx",
    );
    let mut first = Peer::new(origin.accept().expect("the first attempt").0);
    first.request();
    let (sent, filler) = (Instant::now(), TcpStream::connect(addr).expect("connected"));
    // It may have run.
    drop(first);
    while sent.elapsed() < Duration::from_millis(1600) {
        std::thread::sleep(Duration::from_millis(10));
    }
    drop((origin.accept().expect("the filler"), filler));
    let mut second = Peer::new(origin.accept().expect("the repeat's connection").0);
    assert_eq!(second.read(), None, "it was written {:?} after the first", sent.elapsed());
    assert!(client.answer().status() >= 500);
}

/// Danger: where clients are not to be told when to come again, some take the advice for something else.
#[test]
fn advice_to_come_again_is_given_only_where_the_settings_allow_it() {
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
