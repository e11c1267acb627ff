//! The time limits of requests with a body: they count from the arrival of its last byte at the proxy's
//! machine, whatever the proxy and the node have read of it.

mod rig;

use rig::*;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long the clients wait for their answers, in seconds.
const TIME_LEFT: f64 = 1.2;
/// An answer that comes later than this after the client's time is a lost request.
const SLACK: Duration = Duration::from_millis(550);

/// Returns the number of bytes sent on a connection that the peer's machine has not acknowledged yet.
fn unacknowledged(stream: &TcpStream) -> usize {
    let Ok(SocketAddr::V4(local)) = stream.local_addr() else { panic!("no address") };
    let port = format!(":{:04X}", local.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the connections");
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = fields.into_iter().find(|fields| fields.get(1).is_some_and(|addr| addr.ends_with(&port)));
    let queues = own.expect("the connection")[4];
    usize::from_str_radix(queues.split(':').next().expect("a queue"), 16).expect("a number")
}

/// Waits until the peer's machine has acknowledged all that was sent; returns when it had.
fn arrival(stream: &TcpStream) -> Instant {
    until("the last byte has arrived", || unacknowledged(stream) == 0);
    Instant::now()
}

/// Returns a write with this body; `framing` is the header that tells its length.
fn put(id: &str, framing: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "PUT /order/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nX-Time-Left: {TIME_LEFT}\r\n\
         {framing}\r\n\r\n"
    );
    [head.as_bytes(), body].concat()
}

/// Returns a write with a body of `length` bytes, chunked or with its length in the head.
fn upload(id: &str, length: usize, chunked: bool) -> Vec<u8> {
    let body = vec![b'x'; length];
    if !chunked {
        return put(id, &format!("Content-Length: {length}"), &body);
    }
    let chunks: Vec<_> = body
        .chunks(10_000)
        .map(|chunk| [format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat())
        .collect();
    put(id, "Transfer-Encoding: chunked", &[&chunks.concat()[..], b"0\r\n\r\n"].concat())
}

/// Returns a listener whose connections receive few bytes while nothing is read from them, and its address.
fn slow_reader() -> (TcpListener, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("a small buffer");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bound");
    socket.listen(8).expect("listening");
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().expect("an address");
    (listener, addr)
}

/// Guards against time limits that begin only once the proxy has read the last byte, which does not happen
/// while the node reads nothing.
#[test]
fn an_upload_that_has_arrived_is_answered_in_time_although_its_node_reads_nothing() {
    // More than the proxy can write to the node, and less than that and what fits into its own receive buffer.
    const LENGTH: usize = 260 << 10;
    for chunked in [false, true] {
        let (origin, origin_addr) = slow_reader();
        let discovery = Server::new();
        let proxy = Proxy::new(&config(discovery.addr, &[member("o1", origin_addr, "origin", "ready")]));
        let mut client = proxy.client();
        client.0.get_mut().write_all(&upload("stalled", LENGTH, chunked)).expect("written");
        let arrived = arrival(client.0.get_ref());
        let mut node = Peer::new(origin.accept().expect("a connection").0);
        let answer = client.answer();
        let waited = arrived.elapsed();
        assert!(matches!(answer.status(), 502..=504), "{}", answer.line);
        assert!(waited < Duration::from_secs_f64(TIME_LEFT) + SLACK, "chunked {chunked}: {waited:?}");
        // The write was given up, so its last byte must not reach the node any more.
        let mut received = Vec::new();
        let _ = node.0.read_to_end(&mut received);
        assert!(received.len() < LENGTH, "chunked {chunked}: all was sent");
    }
}

/// A proxy whose memory for bodies is held by stalled clients.
struct FullMemory {
    proxy: Proxy,
    _stalled: Vec<Peer>,
    _servers: [Server; 2],
}

impl FullMemory {
    fn new() -> Self {
        /// With this limit, bodies of 256 KiB are buffered at once.
        const MEMORY_MB: u64 = 9;
        let (origin, discovery) = (Server::new(), Server::new());
        let mut settings = config(discovery.addr, &[member("o1", origin.addr, "origin", "ready")]);
        settings["limits"]["memory_mb"] = json!(MEMORY_MB);
        let proxy = Proxy::new(&settings);
        let stalled = (0..4).map(|n| {
            let mut client = proxy.client();
            let framing = "Expect: 100-continue\r\nContent-Length: 65536";
            client.0.get_mut().write_all(&put(&format!("stalled-{n}"), framing, b"")).expect("written");
            // The body is asked for once it has its memory.
            assert_eq!(client.read().expect("an interim answer").status(), 100);
            client
        });
        let stalled = stalled.collect();
        FullMemory { proxy, _stalled: stalled, _servers: [origin, discovery] }
    }
}

/// Guards against a body that waits for memory longer than its client waits for the answer.
#[test]
fn a_write_that_finds_no_memory_is_answered_in_time() {
    let full = FullMemory::new();
    let mut client = full.proxy.client();
    client.0.get_mut().write_all(&upload("whole", 60_000, false)).expect("written");
    let arrived = arrival(client.0.get_ref());
    let answer = client.answer();
    let waited = arrived.elapsed();
    assert_eq!(answer.status(), 503);
    assert!(waited < Duration::from_secs_f64(TIME_LEFT) + SLACK, "{waited:?}");
}

/// Guards against a stalled body that first waits for memory and then for its client, longer than a stalled
/// client may hold its connection.
#[test]
fn a_stalled_body_that_finds_no_memory_is_answered_in_time() {
    const MAX_HOLD: Duration = Duration::from_secs(3);
    let full = FullMemory::new();
    let connected = Instant::now();
    let mut client = full.proxy.client();
    client.0.get_mut().write_all(&put("half", "Content-Length: 60000", b"x")).expect("written");
    assert!(client.answer().status() >= 400);
    assert!(connected.elapsed() < MAX_HOLD, "{:?}", connected.elapsed());
}

/// Guards against a body that ends after SIGTERM, whose time reaches beyond the kill of the process.
#[test]
fn an_upload_that_ends_after_the_stop_signal_is_answered_before_the_process_may_be_killed() {
    /// Time from the stop signal until the kill, as the longest deadline is 3 s or more.
    const KILL_DELAY: Duration = Duration::from_millis(3700);
    let mut r = rig();
    let mut client = r.proxy.client();
    let request = upload("restart", 200_000, false);
    let request = String::from_utf8(request)
        .expect("text")
        .replace(&format!("X-Time-Left: {TIME_LEFT}"), "X-Time-Left: 50");
    let (first, rest) = request.split_at(150_000);
    client.write(first);
    let _node = r.origin.take();
    r.proxy.signal("-TERM");
    let stopped = Instant::now();
    r.proxy.logged("draining");
    // A request that comes more than 0.7 s after the signal has to be answered.
    std::thread::sleep(Duration::from_millis(800));
    client.write(rest);
    assert!(matches!(client.answer().status(), 502..=504));
    assert!(stopped.elapsed() < KILL_DELAY, "{:?}", stopped.elapsed());
}

/// Guards against a connection that is reused while the rest of an upload is still to be sent on it: the next
/// request would wait for the client of the upload.
#[test]
fn no_request_waits_behind_an_upload_that_its_node_has_answered() {
    const LENGTH: usize = 200_000;
    let r = rig();
    let request = upload("slow", LENGTH, false);
    let (first, rest) = request.split_at(150_000);
    let mut slow = r.proxy.client();
    slow.0.get_mut().write_all(first).expect("written");
    let mut slow_node = r.origin.take();
    assert!(!slow_node.0.fill_buf().expect("its beginning").is_empty());
    // The node answers before the body is whole.
    slow_node.reply("200 OK", "", "early");
    assert_eq!(slow.answer().body, b"early");
    let mut next = r.proxy.client();
    next.0.get_mut().write_all(&put("next", "Content-Length: 1", b"x")).expect("written");
    let mut node = r.origin.take();
    assert_eq!(node.request().header("x-correlation-id"), Some("next"));
    node.reply("200 OK", "Connection: close\r\n", "stored");
    assert_eq!(next.answer().body, b"stored");
    // The rest of the upload still reaches its node.
    slow.0.get_mut().write_all(rest).expect("written");
    let received = slow_node.request();
    assert_eq!((received.header("x-correlation-id"), received.body.len()), (Some("slow"), LENGTH));
}
