//! Clients that disconnect while their request waits: from 0.1 s after that nothing is forwarded for them,
//! whatever the request waited for and however they disconnected, even if the process was busy meanwhile.

mod rig;

use rig::*;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// Time after a client's disconnect from which no request is forwarded for it.
const MAX_FORWARD_DELAY: Duration = Duration::from_millis(100);
/// Bytes of complete requests behind the first one, more than a client's window and its peer's buffers hold.
const PIPELINED_BYTES: usize = 16 << 20;

/// Time that a half-closed client pretends to wait for.
const HALF_CLOSED_WAIT: Duration = Duration::from_millis(830);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Disconnect {
    Closes,
    Resets,
    /// Closes with more requests behind the one that waits.
    ClosesBehindMore,
    /// Closes with so many requests behind it that its FIN does not get through.
    ClosesBehindMany,
    /// Closes after an HTTP/1.0 request.
    ClosesOld,
    /// Shuts down its sending side, seems to wait, and then closes without a further packet.
    EndsThenCloses,
    /// Like `EndsThenCloses`, on HTTP/1.0 and after a longer wait.
    EndsThenClosesOld,
}

const ALL_DISCONNECTS: [Disconnect; 7] = [
    Disconnect::Closes,
    Disconnect::Resets,
    Disconnect::ClosesBehindMore,
    Disconnect::ClosesBehindMany,
    Disconnect::ClosesOld,
    Disconnect::EndsThenCloses,
    Disconnect::EndsThenClosesOld,
];

impl Disconnect {
    /// Sends a GET request of a class, in the protocol version of this kind of disconnect.
    fn send_request(self, client: &mut Peer, class: &str) {
        let mut text = get(class, "");
        if matches!(self, Disconnect::ClosesOld | Disconnect::EndsThenClosesOld) {
            text = text.replacen("HTTP/1.1", "HTTP/1.0", 1);
        }
        client.write(&text);
    }

    fn leave(self, mut client: Peer) {
        match self {
            Disconnect::Closes | Disconnect::ClosesOld => {}
            Disconnect::Resets => {
                SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("lingering");
            }
            Disconnect::ClosesBehindMore => client.write(&get("read", "").repeat(3)),
            Disconnect::ClosesBehindMany => {
                let behind = get("read", "").repeat(PIPELINED_BYTES / 100).into_bytes();
                client.0.get_ref().set_nonblocking(true).expect("not blocking");
                let mut sent = 0;
                while let Ok(n) = std::io::Write::write(client.0.get_mut(), &behind[sent..]) {
                    sent += n;
                    assert!(sent < behind.len(), "the proxy accepted all of it");
                }
            }
            Disconnect::EndsThenCloses => {
                client.end_and_read_for(MAX_FORWARD_DELAY);
            }
            Disconnect::EndsThenClosesOld => {
                client.end_and_read_for(HALF_CLOSED_WAIT);
            }
        }
        close_at_once(client);
    }
}

impl Peer {
    /// Shuts down the sending side and then reads everything received within the given time, because a close
    /// with unread bytes would send a reset, which reveals the disconnect.
    fn end_and_read_for(&mut self, time: Duration) {
        let stream = self.0.get_mut();
        stream.shutdown(Shutdown::Write).expect("half closed");
        sleep(time);
        stream.set_nonblocking(true).expect("not blocking");
        while std::io::Read::read(stream, &mut [0; 4096]).is_ok_and(|n| n > 0) {}
    }
}

/// A proxy with two cache nodes and an origin, whose settings a test can change.
struct Site {
    proxy: Proxy,
    nodes: [Server; 2],
    origin: Server,
    /// Kept open, because otherwise a node of another test could get its port, and with it the calls of this
    /// proxy.
    _discovery: Server,
    _folder: tempfile::TempDir,
}

fn site(change: impl FnOnce(&mut Value), operator: &str) -> Site {
    let (nodes, origin, discovery) = ([Server::new(), Server::new()], Server::new(), Server::new());
    let servers = [
        member("c1", nodes[0].addr, "std", "ready"),
        member("c2", nodes[1].addr, "std", "ready"),
        member("o1", origin.addr, "origin", "ready"),
    ];
    let mut settings = config(discovery.addr, &servers);
    change(&mut settings);
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("operator.toml");
    std::fs::write(&file, operator).expect("written");
    let proxy = Proxy::with(&settings, |c| {
        c.env("ANISEYOKE_FILE", &file);
    });
    Site { proxy, nodes, origin, _discovery: discovery, _folder: folder }
}

fn disable_cancelling(config: &mut Value) {
    config["settings"]["caps"]["cancelling"] = json!(false);
}

impl Site {
    /// Sends a request with the ID `fence` and asserts that no node gets any other request.
    fn assert_only_request(&self, fence: &str, disconnect: Disconnect) {
        let mut client = self.proxy.client();
        client.write(&format!(
            "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {fence}\r\nContent-Length: 1\r\n\r\nx"
        ));
        let mut origin = self.origin.take();
        assert_eq!(origin.request().header("x-correlation-id"), Some(fence));
        origin.reply("200 OK", "", "");
        assert_eq!(client.answer().status(), 200);
        assert!(
            self.origin.no_new_connection() && self.nodes.iter().all(Server::no_new_connection),
            "{disconnect:?}"
        );
    }

    /// Whether any node gets a request before a fence request that is sent after 80 ms.
    fn forwards_a_request(&self) -> bool {
        sleep(Duration::from_millis(80));
        let mut client = self.proxy.client();
        client.write(
            "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: fence\r\nContent-Length: 1\r\n\r\nx",
        );
        let mut sent = false;
        loop {
            let accepted = self.nodes.iter().chain([&self.origin]).find_map(|s| s.accepted.try_recv().ok());
            let Some(stream) = accepted else {
                sleep(Duration::from_millis(1));
                continue;
            };
            match Peer::new(stream).read() {
                Some(m) if m.header("x-correlation-id") == Some("fence") => return sent,
                // A connection without a request is no attempt.
                message => sent |= message.is_some(),
            }
        }
    }
}

/// Ways in which an attempt ends after its client's disconnect; empty for a closed connection.
const ATTEMPT_ENDS: [&str; 3] = ["404 Not Found", "503 Service Unavailable", ""];
/// Delays of the attempt's end after the client's disconnect, in milliseconds.
const END_DELAYS_MS: [u64; 8] = [0, 15, 40, 70, 95, 115, 200, 320];

/// Whether a request is forwarded after a node's answer that arrives `delay` after the disconnect. A `busy`
/// process has been paused since before the disconnect.
fn forwards_after(disconnect: Disconnect, answer: &str, delay: Duration, busy: bool) -> bool {
    let s = site(disable_cancelling, "");
    let mut client = s.proxy.client();
    disconnect.send_request(&mut client, "read");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    if busy {
        s.proxy.pause();
    }
    disconnect.leave(client);
    sleep(delay);
    match answer {
        "" => drop(node),
        "503 Service Unavailable" => node.reply(answer, "X-Unprocessed: 1\r\n", ""),
        _ => node.reply(answer, "X-Lookup: miss\r\n", ""),
    }
    if busy {
        s.proxy.signal("-CONT");
    }
    s.forwards_a_request()
}

/// Prints the longest delay after the disconnect that still led to an attempt.
#[test]
fn the_last_attempt_begins_at_most_100_ms_after_the_disconnect() {
    let measure = |disconnect: Disconnect| {
        let mut rows = Vec::new();
        for answer in ATTEMPT_ENDS {
            for busy in [false, true] {
                let sent =
                    |delay: &&u64| forwards_after(disconnect, answer, Duration::from_millis(**delay), busy);
                rows.push((disconnect, answer, busy, END_DELAYS_MS.iter().filter(sent).max()));
            }
        }
        rows
    };
    let threads = ALL_DISCONNECTS.map(|disconnect| std::thread::spawn(move || measure(disconnect)));
    let rows: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("measured")).collect();
    for (disconnect, answer, busy, last) in &rows {
        println!("{disconnect:?}, {answer:?}, busy {busy}: {last:?} ms");
    }
    assert!(rows.iter().all(|(.., last)| last.is_none_or(|last| *last <= 100)), "{rows:?}");
}

/// Guards against a miss or an error that leads to a request to the origin or another node although the
/// client is gone.
#[test]
fn an_answer_after_the_disconnect_causes_no_further_attempt() {
    for disconnect in ALL_DISCONNECTS {
        for answer in ATTEMPT_ENDS {
            let s = site(disable_cancelling, "");
            let mut client = s.proxy.client();
            disconnect.send_request(&mut client, "read");
            let (_, mut node) = accept_any(&s.nodes);
            node.request();
            disconnect.leave(client);
            sleep(MAX_FORWARD_DELAY);
            match answer {
                "" => drop(node),
                "503 Service Unavailable" => node.reply(answer, "X-Unprocessed: 1\r\n", ""),
                _ => node.reply(answer, "X-Lookup: miss\r\n", ""),
            }
            s.assert_only_request("fence", disconnect);
        }
    }
}

/// Guards against an attempt without a client that occupies its node until it ends by itself, where attempts
/// may be cancelled.
#[test]
fn an_attempt_whose_client_disconnected_is_cancelled() {
    for disconnect in ALL_DISCONNECTS {
        let s = site(|_| {}, "");
        let mut client = s.proxy.client();
        disconnect.send_request(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        disconnect.leave(client);
        assert_eq!(node.read(), None, "{disconnect:?}");
        s.assert_only_request("fence", disconnect);
    }
}

/// Guards against the timer of a hedged request that keeps running after the client's disconnect.
#[test]
fn no_hedged_request_is_sent_for_a_client_that_disconnected() {
    for disconnect in [Disconnect::Closes, Disconnect::ClosesBehindMany, Disconnect::ClosesOld] {
        let s = site(
            |config| {
                disable_cancelling(config);
                config["settings"]["categories"][0]["promise_ns"] = json!(2_000_000_000u64);
            },
            "",
        );
        let mut client = s.proxy.client();
        disconnect.send_request(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        disconnect.leave(client);
        // Half of the time left, after which a hedged request would be sent, is over by then.
        sleep(Duration::from_millis(1300));
        for server in s.nodes.iter().chain([&s.origin]) {
            if let Ok(stream) = server.accepted.try_recv() {
                panic!("{disconnect:?}: {:?}", Peer::new(stream).read());
            }
        }
    }
}

/// Guards against a busy process whose hedging timer fires before it checks its clients' connections.
#[test]
fn no_hedged_request_is_sent_for_a_client_that_disconnected_from_a_busy_process() {
    for disconnect in [
        Disconnect::Closes,
        Disconnect::Resets,
        Disconnect::ClosesBehindMany,
        Disconnect::ClosesOld,
        Disconnect::EndsThenCloses,
    ] {
        let s = site(
            |config| {
                disable_cancelling(config);
                config["settings"]["categories"][0]["promise_ns"] = json!(600_000_000u64);
            },
            "",
        );
        let mut client = s.proxy.client();
        disconnect.send_request(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        s.proxy.pause();
        disconnect.leave(client);
        sleep(Duration::from_millis(700));
        s.proxy.signal("-CONT");
        assert!(!s.forwards_a_request(), "{disconnect:?}");
    }
}

/// Returns a node with a full backlog: connections to it are established once it accepts one.
fn node_with_full_backlog() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    (listener, filler)
}

#[test]
fn no_request_is_written_to_a_connection_established_after_the_disconnect() {
    for (disconnect, cancel, busy) in [
        (Disconnect::Closes, false, false),
        (Disconnect::Closes, true, false),
        (Disconnect::ClosesOld, false, false),
        (Disconnect::EndsThenClosesOld, false, false),
        (Disconnect::Closes, false, true),
        (Disconnect::Resets, false, true),
        (Disconnect::ClosesBehindMore, false, true),
        (Disconnect::EndsThenCloses, false, true),
    ] {
        let (listener, filler) = node_with_full_backlog();
        let addr = listener.local_addr().expect("an address");
        let discovery = Server::new();
        let mut settings = config(discovery.addr, &[member("c1", addr, "std", "ready")]);
        settings["settings"]["caps"]["cancelling"] = json!(cancel);
        let proxy = Proxy::new(&settings);
        let mut client = proxy.client();
        disconnect.send_request(&mut client, "read");
        // The next health check is answered after the attempt has begun.
        assert_eq!(proxy.health(), 200);
        if busy {
            proxy.pause();
        }
        disconnect.leave(client);
        sleep(MAX_FORWARD_DELAY);
        drop((listener.accept().expect("the filler"), filler));
        if busy {
            // The kernel retries the handshake one second after the first SYN.
            sleep(Duration::from_millis(1100));
            proxy.signal("-CONT");
        }
        listener.set_nonblocking(true).expect("not blocking");
        // The connection may still be established, but without a request; a fence through the same node is
        // the first request.
        let mut client = proxy.client();
        client.write(&get_as("fence", "read", ""));
        let mut first = None;
        until("the fence arrived", || {
            let Ok((stream, _)) = listener.accept() else { return false };
            stream.set_nonblocking(false).expect("blocking");
            first = Peer::new(stream).read();
            first.is_some()
        });
        let first = first.expect("a request");
        assert_eq!(first.header("x-correlation-id"), Some("fence"), "{disconnect:?}, busy {busy}");
    }
}

/// Guards against sending a request that waited for a node's capacity, or for a permit to open a connection
/// to it, although its client has disconnected.
#[test]
fn who_leaves_while_waiting_for_room_or_leave_is_never_sent() {
    let one_attempt =
        "[limits.node]\nfloor = 1.0\nstart = 1.0\nceiling = 1.0\n[limits.queue]\ninterval = \"10s\"\n";
    let slow_opening = "[opening]\nper_node = 1.0\norigin = 400.0\n";
    for (disconnect, operator, busy) in [
        (Disconnect::Closes, one_attempt, false),
        (Disconnect::ClosesOld, one_attempt, false),
        (Disconnect::EndsThenClosesOld, one_attempt, false),
        (Disconnect::Closes, slow_opening, false),
        (Disconnect::Resets, slow_opening, false),
        (Disconnect::EndsThenClosesOld, slow_opening, false),
        (Disconnect::Closes, one_attempt, true),
        (Disconnect::Resets, one_attempt, true),
        (Disconnect::ClosesBehindMore, one_attempt, true),
        (Disconnect::EndsThenCloses, one_attempt, true),
        (Disconnect::Closes, slow_opening, true),
        (Disconnect::Resets, slow_opening, true),
        (Disconnect::ClosesBehindMore, slow_opening, true),
        (Disconnect::EndsThenCloses, slow_opening, true),
    ] {
        let alone = |config: &mut Value| {
            disable_cancelling(config);
            config["known"]["servers"].as_array_mut().expect("a list").remove(1);
        };
        let s = site(alone, operator);
        let mut first = s.proxy.client();
        first.write(&get_as("first", "read", ""));
        let mut node = s.nodes[0].take();
        assert_eq!(node.request().header("x-correlation-id"), Some("first"));
        let mut client = s.proxy.client();
        disconnect.send_request(&mut client, "read");
        assert_eq!(s.proxy.health(), 200);
        assert!(s.nodes[0].no_new_connection());
        if busy {
            s.proxy.pause();
        }
        disconnect.leave(client);
        sleep(MAX_FORWARD_DELAY);
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        if busy {
            s.proxy.signal("-CONT");
        }
        assert_eq!(first.answer().status(), 200);
        first.write(&get_as("fence", "read", ""));
        let next = node.request();
        assert_eq!(next.header("x-correlation-id"), Some("fence"), "{disconnect:?}, busy {busy}");
    }
}

/// Guards against a busy process that finds the request and the disconnect at once, and forwards the request
/// first.
#[test]
fn a_request_read_after_its_clients_disconnect_is_not_forwarded() {
    for disconnect in ALL_DISCONNECTS {
        let s = site(|_| {}, "");
        // The connection must be accepted before the process is paused.
        let mut client = s.proxy.client();
        assert_eq!(s.proxy.health(), 200);
        s.proxy.pause();
        disconnect.send_request(&mut client, "read");
        disconnect.leave(client);
        sleep(MAX_FORWARD_DELAY);
        s.proxy.signal("-CONT");
        assert_eq!(s.proxy.health(), 200);
        s.assert_only_request("fence", disconnect);
    }
}

/// Guards against writing the rest of a body, for which the send buffer had no space, although the client is
/// gone.
#[test]
fn the_rest_of_a_body_is_not_forwarded_after_the_disconnect() {
    const LENGTH: usize = 24 << 20;
    for (disconnect, all) in
        [(Disconnect::Closes, false), (Disconnect::Resets, false), (Disconnect::Closes, true)]
    {
        let s = site(disable_cancelling, "");
        let mut client = s.proxy.client();
        client.write(&format!(
            "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: large\r\nContent-Length: {LENGTH}\r\n\r\n"
        ));
        // The node reads nothing: the body fills all buffers in between, and then its client disconnects.
        client.0.get_ref().set_nonblocking(true).expect("not blocking");
        let chunk = vec![b'x'; if all { LENGTH } else { 200_000 }];
        let mut sent = 0;
        while let Ok(n) = std::io::Write::write(client.0.get_mut(), &chunk[sent..]) {
            sent += n;
            if sent == chunk.len() {
                break;
            }
        }
        assert!(!all || sent < LENGTH, "the proxy accepted all of it");
        let mut node = s.origin.take();
        disconnect.leave(client);
        sleep(MAX_FORWARD_DELAY);
        let mut got = Vec::new();
        let ended = std::io::Read::read_to_end(&mut node.0, &mut got);
        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
        assert!(got.len() < LENGTH);
        s.assert_only_request("fence", disconnect);
    }
}

/// Number of requests that fill the retry budget.
const REQUESTS_FOR_FULL_RETRY_BUDGET: usize = 40;

/// Guards against an attempt for a client that is gone: a half-closed HTTP/1.0 client can be probed with at
/// most nine bytes.
#[test]
fn no_attempt_begins_once_the_client_cannot_be_probed_any_more() {
    let (nodes, discovery) = ([(); 9].map(|()| Server::new()), Server::new());
    let members =
        nodes.iter().enumerate().map(|(n, node)| member(&format!("c{n}"), node.addr, "std", "ready"));
    let mut settings = config(discovery.addr, &members.collect::<Vec<_>>());
    disable_cancelling(&mut settings);
    settings["settings"]["caps"]["attempts_cap"] = json!(9);
    let proxy = Proxy::new(&settings);
    // Requests earn the retry budget: without these the first retry is rejected, and no byte after the fifth
    // is sent.
    let mut earlier = proxy.client();
    for _ in 0..REQUESTS_FOR_FULL_RETRY_BUDGET {
        earlier.ask("read", "");
        let (_, mut node) = accept_any(&nodes);
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "");
        assert_eq!(earlier.answer().status(), 200);
    }
    let mut client = Some(proxy.client());
    let peer = client.as_mut().expect("it is there");
    peer.write(&get("read", "").replacen("HTTP/1.1", "HTTP/1.0", 1));
    peer.0.get_ref().shutdown(Shutdown::Write).expect("half closed");
    // The first node is slow, so that five of the nine bytes are sent.
    let (mut current, mut answer_delay, mut got, mut disconnected_at) =
        (accept_any(&nodes), 1600, 0, None::<std::time::Instant>);
    loop {
        current.1.request();
        let late = disconnected_at.map(|disconnected_at| disconnected_at.elapsed());
        assert!(
            late.is_none_or(|late| late <= MAX_FORWARD_DELAY),
            "begun {late:?} after the client's disconnect"
        );
        sleep(Duration::from_millis(answer_delay));
        answer_delay = 150;
        if let Some(peer) = &mut client {
            let stream = peer.0.get_mut();
            stream.set_nonblocking(true).expect("not blocking");
            let mut chunk = [0; 64];
            while let Ok(n) = std::io::Read::read(stream, &mut chunk) {
                assert!(n > 0, "it was closed after {got} bytes");
                got += n;
            }
            if got >= "HTTP/1.0 ".len() {
                (client, disconnected_at) = (None, Some(std::time::Instant::now()));
                sleep(MAX_FORWARD_DELAY);
            }
        }
        // A node's 503 is forwarded in this deployment; a closed connection leads to an attempt at another
        // node.
        drop(current.1);
        let deadline = std::time::Instant::now() + Duration::from_millis(800);
        let next = loop {
            let accepted = nodes.iter().enumerate().find_map(|(n, s)| Some((n, s.accepted.try_recv().ok()?)));
            if accepted.is_some() || std::time::Instant::now() > deadline {
                break accepted;
            }
            sleep(Duration::from_millis(1));
        };
        match next {
            Some((n, stream)) => current = (n, Peer::new(stream)),
            None => break,
        }
    }
    assert!(disconnected_at.is_some(), "only {got} bytes were sent as probes");
}

/// Guards against taking a client that only shut down its sending side for one that disconnected.
#[test]
fn a_half_closed_client_that_waits_gets_its_answer_even_after_a_long_time() {
    for (version, answer_delay) in [("HTTP/1.1", 50), ("HTTP/1.1", 900), ("HTTP/1.0", 50), ("HTTP/1.0", 900)]
    {
        let s = site(|_| {}, "");
        let mut client = s.proxy.client();
        client.write(&get("read", "").replacen("HTTP/1.1", version, 1));
        client.0.get_ref().shutdown(Shutdown::Write).expect("half closed");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        sleep(Duration::from_millis(answer_delay));
        node.reply("200 OK", "X-Lookup: hit\r\n", "value");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"value".as_slice()), "{}", answer.line);
        assert!(answer.line.ends_with("200 OK") && answer.line.starts_with("HTTP/1."), "{}", answer.line);
    }
}

/// Guards against a shutdown that waits up to its deadline for answers whose clients are gone.
#[test]
fn a_stopping_process_does_not_wait_for_disconnected_clients() {
    let mut s = site(disable_cancelling, "");
    let mut client = s.proxy.client();
    Disconnect::ClosesOld.send_request(&mut client, "read");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    s.proxy.signal("-TERM");
    s.proxy.logged("draining");
    Disconnect::ClosesOld.leave(client);
    until("it has ended", || s.proxy.child.try_wait().expect("a state").is_some());
    assert_eq!(node.read(), None);
}
