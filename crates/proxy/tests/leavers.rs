//! Clients that leave while their request waits: nothing is sent on for them from 0.1 s after that, whatever it waited for
//! and however they left, also by a process that was busy meanwhile.

mod rig;

use rig::*;
use serde_json::{json, Value};
use socket2::{Domain, SockRef, Socket, Type};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::Duration;

/// From so long after a client has left nothing is sent on for it.
const TERM: Duration = Duration::from_millis(100);
/// More than a client's window and its peer's buffers hold, in whole requests that wait behind the first.
const MANY: usize = 16 << 20;

/// So long a client may seem to wait that has ended its sending.
const LONG_WAIT: Duration = Duration::from_millis(830);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Closes,
    Resets,
    /// It has more requests behind the one that waits.
    ClosesBehindMore,
    /// So many that its end does not get through.
    ClosesBehindMany,
    /// It speaks HTTP/1.0.
    ClosesOld,
    /// It ends its sending, seems to wait, and goes without a further sign.
    EndsThenCloses,
    /// The same on HTTP/1.0, and it seems to wait for long.
    EndsThenClosesOld,
}

const WAYS: [Way; 7] = [
    Way::Closes,
    Way::Resets,
    Way::ClosesBehindMore,
    Way::ClosesBehindMany,
    Way::ClosesOld,
    Way::EndsThenCloses,
    Way::EndsThenClosesOld,
];

impl Way {
    /// What it asks as a read of a class.
    fn ask(self, client: &mut Peer, class: &str) {
        let mut text = get(class, "");
        if matches!(self, Way::ClosesOld | Way::EndsThenClosesOld) {
            text = text.replacen("HTTP/1.1", "HTTP/1.0", 1);
        }
        client.write(&text);
    }

    fn leave(self, mut client: Peer) {
        match self {
            Way::Closes | Way::ClosesOld => {}
            Way::Resets => {
                SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).expect("lingering");
            }
            Way::ClosesBehindMore => client.write(&get("read", "").repeat(3)),
            Way::ClosesBehindMany => {
                let behind = get("read", "").repeat(MANY / 100).into_bytes();
                client.0.get_ref().set_nonblocking(true).expect("not blocking");
                let mut sent = 0;
                while let Ok(n) = std::io::Write::write(client.0.get_mut(), &behind[sent..]) {
                    sent += n;
                    assert!(sent < behind.len(), "all of it was taken");
                }
            }
            Way::EndsThenCloses => {
                client.end_and_read_for(TERM);
            }
            Way::EndsThenClosesOld => {
                client.end_and_read_for(LONG_WAIT);
            }
        }
        close_at_once(client);
    }
}

impl Peer {
    /// Ends its sending, and reads what comes for so long. Danger: a close over unread bytes is a reset, which tells.
    fn end_and_read_for(&mut self, time: Duration) {
        let stream = self.0.get_mut();
        stream.shutdown(Shutdown::Write).expect("half closed");
        sleep(time);
        stream.set_nonblocking(true).expect("not blocking");
        while std::io::Read::read(stream, &mut [0; 4096]).is_ok_and(|n| n > 0) {}
    }
}

/// A proxy with two cache nodes and an origin, started with settings that a test changes.
struct Site {
    proxy: Proxy,
    nodes: [Server; 2],
    origin: Server,
    /// Danger: were it let go, a node of another test could get its port, and the calls that this proxy makes there.
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

fn no_cancel(config: &mut Value) {
    config["settings"]["caps"]["cancelling"] = json!(false);
}

impl Site {
    /// Whether nothing but this request comes to any node, this one's included.
    fn only(&self, fence: &str, way: Way) {
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
            "{way:?}"
        );
    }

    /// Whether any node gets a request before this one, which is asked a little later.
    fn sent_on(&self) -> bool {
        sleep(Duration::from_millis(80));
        let mut client = self.proxy.client();
        client.write(
            "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: fence\r\nContent-Length: 1\r\n\r\nx",
        );
        let mut sent = false;
        loop {
            let came = self.nodes.iter().chain([&self.origin]).find_map(|s| s.accepted.try_recv().ok());
            let Some(stream) = came else {
                sleep(Duration::from_millis(1));
                continue;
            };
            match Peer::new(stream).read() {
                Some(m) if m.header("x-correlation-id") == Some("fence") => return sent,
                // A connection that brings nothing is no attempt.
                came => sent |= came.is_some(),
            }
        }
    }
}

/// How an attempt ends whose client has left.
const ENDS: [&str; 3] = ["404 Not Found", "503 Service Unavailable", ""];
/// So long after the close, in milliseconds.
const DELAYS: [u64; 8] = [0, 15, 40, 70, 95, 115, 200, 320];

/// Whether what a node answers `delay` after the close is sent on; in a `busy` process, which has done nothing since
/// before the close.
fn sent_on_after(way: Way, answer: &str, delay: Duration, busy: bool) -> bool {
    let s = site(no_cancel, "");
    let mut client = s.proxy.client();
    way.ask(&mut client, "read");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    if busy {
        s.proxy.pause();
    }
    way.leave(client);
    sleep(delay);
    match answer {
        "" => drop(node),
        "503 Service Unavailable" => node.reply(answer, "X-Unprocessed: 1\r\n", ""),
        _ => node.reply(answer, "X-Lookup: miss\r\n", ""),
    }
    if busy {
        s.proxy.signal("-CONT");
    }
    s.sent_on()
}

/// Prints how late after the close the last attempt began.
#[test]
fn the_last_attempt_begins_at_most_a_tenth_of_a_second_after_the_close() {
    let measure = |way: Way| {
        let mut rows = Vec::new();
        for answer in ENDS {
            for busy in [false, true] {
                let sent = |delay: &&u64| sent_on_after(way, answer, Duration::from_millis(**delay), busy);
                rows.push((way, answer, busy, DELAYS.iter().filter(sent).max()));
            }
        }
        rows
    };
    let threads = WAYS.map(|way| std::thread::spawn(move || measure(way)));
    let rows: Vec<_> = threads.into_iter().flat_map(|t| t.join().expect("measured")).collect();
    for (way, answer, busy, last) in &rows {
        println!("{way:?}, {answer:?}, busy {busy}: {last:?} ms");
    }
    assert!(rows.iter().all(|(.., last)| last.is_none_or(|last| *last <= 100)), "{rows:?}");
}

/// Danger: a miss or an error would send a request on, to the origin or to another node, for nobody.
#[test]
fn what_a_node_answers_after_its_client_has_left_sends_nothing_on() {
    for way in WAYS {
        for answer in ENDS {
            let s = site(no_cancel, "");
            let mut client = s.proxy.client();
            way.ask(&mut client, "read");
            let (_, mut node) = accept_any(&s.nodes);
            node.request();
            way.leave(client);
            sleep(TERM);
            match answer {
                "" => drop(node),
                "503 Service Unavailable" => node.reply(answer, "X-Unprocessed: 1\r\n", ""),
                _ => node.reply(answer, "X-Lookup: miss\r\n", ""),
            }
            s.only("fence", way);
        }
    }
}

/// Danger: where attempts may be called off, one that nobody waits for takes room at its node until it ends by itself.
#[test]
fn an_attempt_whose_client_has_left_is_called_off() {
    for way in WAYS {
        let s = site(|_| {}, "");
        let mut client = s.proxy.client();
        way.ask(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        way.leave(client);
        assert_eq!(node.read(), None, "{way:?}");
        s.only("fence", way);
    }
}

/// Danger: a second copy's timer runs on.
#[test]
fn no_second_copy_goes_out_for_a_client_that_has_left() {
    for way in [Way::Closes, Way::ClosesBehindMany, Way::ClosesOld] {
        let s = site(
            |config| {
                no_cancel(config);
                config["settings"]["categories"][0]["promise_ns"] = json!(2_000_000_000u64);
            },
            "",
        );
        let mut client = s.proxy.client();
        way.ask(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        way.leave(client);
        // Half of the time that is left is over by then.
        sleep(Duration::from_millis(1300));
        for server in s.nodes.iter().chain([&s.origin]) {
            if let Ok(stream) = server.accepted.try_recv() {
                panic!("{way:?}: {:?}", Peer::new(stream).read());
            }
        }
    }
}

/// Danger: the timer of a process that was busy is over at once, before it has looked at its clients.
#[test]
fn no_second_copy_goes_out_late_for_a_client_that_left_a_busy_process() {
    for way in [Way::Closes, Way::Resets, Way::ClosesBehindMany, Way::ClosesOld, Way::EndsThenCloses] {
        let s = site(
            |config| {
                no_cancel(config);
                config["settings"]["categories"][0]["promise_ns"] = json!(600_000_000u64);
            },
            "",
        );
        let mut client = s.proxy.client();
        way.ask(&mut client, "read");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        s.proxy.pause();
        way.leave(client);
        sleep(Duration::from_millis(700));
        s.proxy.signal("-CONT");
        assert!(!s.sent_on(), "{way:?}");
    }
}

/// A node whose backlog is full: connections to it come up once it is taken from.
fn late_node() -> (TcpListener, TcpStream) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().expect("an address").into()).expect("bound");
    socket.listen(0).expect("listening");
    let listener = TcpListener::from(socket);
    let filler = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    (listener, filler)
}

#[test]
fn nothing_is_written_to_a_connection_that_comes_up_after_its_client_has_left() {
    for (way, cancel, busy) in [
        (Way::Closes, false, false),
        (Way::Closes, true, false),
        (Way::ClosesOld, false, false),
        (Way::EndsThenClosesOld, false, false),
        (Way::Closes, false, true),
        (Way::Resets, false, true),
        (Way::ClosesBehindMore, false, true),
        (Way::EndsThenCloses, false, true),
    ] {
        let (listener, filler) = late_node();
        let addr = listener.local_addr().expect("an address");
        let discovery = Server::new();
        let mut settings = config(discovery.addr, &[member("c1", addr, "std", "ready")]);
        settings["settings"]["caps"]["cancelling"] = json!(cancel);
        let proxy = Proxy::new(&settings);
        let mut client = proxy.client();
        way.ask(&mut client, "read");
        // The next health answer comes after the attempt has begun.
        assert_eq!(proxy.health(), 200);
        if busy {
            proxy.pause();
        }
        way.leave(client);
        sleep(TERM);
        drop((listener.accept().expect("the filler"), filler));
        if busy {
            // The kernel tries again one second after the first time.
            sleep(Duration::from_millis(1100));
            proxy.signal("-CONT");
        }
        listener.set_nonblocking(true).expect("not blocking");
        // The connection may come up still, but brings nothing; a fence through the same node is the first that does.
        let mut client = proxy.client();
        client.write(&get_as("fence", "read", ""));
        let mut first = None;
        until("the fence came", || {
            let Ok((stream, _)) = listener.accept() else { return false };
            stream.set_nonblocking(false).expect("blocking");
            first = Peer::new(stream).read();
            first.is_some()
        });
        let first = first.expect("a request");
        assert_eq!(first.header("x-correlation-id"), Some("fence"), "{way:?}, busy {busy}");
    }
}

/// Danger: what waits for room at a node, or for leave to open a connection to it, is sent once there is.
#[test]
fn who_leaves_while_waiting_for_room_or_leave_is_never_sent() {
    let one = "[limits.node]\nfloor = 1.0\nstart = 1.0\nceiling = 1.0\n[limits.queue]\ninterval = \"10s\"\n";
    let slow = "[opening]\nper_node = 1.0\norigin = 400.0\n";
    for (way, operator, busy) in [
        (Way::Closes, one, false),
        (Way::ClosesOld, one, false),
        (Way::EndsThenClosesOld, one, false),
        (Way::Closes, slow, false),
        (Way::Resets, slow, false),
        (Way::EndsThenClosesOld, slow, false),
        (Way::Closes, one, true),
        (Way::Resets, one, true),
        (Way::ClosesBehindMore, one, true),
        (Way::EndsThenCloses, one, true),
        (Way::Closes, slow, true),
        (Way::Resets, slow, true),
        (Way::ClosesBehindMore, slow, true),
        (Way::EndsThenCloses, slow, true),
    ] {
        let alone = |config: &mut Value| {
            no_cancel(config);
            config["known"]["servers"].as_array_mut().expect("a list").remove(1);
        };
        let s = site(alone, operator);
        let mut first = s.proxy.client();
        first.write(&get_as("first", "read", ""));
        let mut node = s.nodes[0].take();
        assert_eq!(node.request().header("x-correlation-id"), Some("first"));
        let mut client = s.proxy.client();
        way.ask(&mut client, "read");
        assert_eq!(s.proxy.health(), 200);
        assert!(s.nodes[0].no_new_connection());
        if busy {
            s.proxy.pause();
        }
        way.leave(client);
        sleep(TERM);
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        if busy {
            s.proxy.signal("-CONT");
        }
        assert_eq!(first.answer().status(), 200);
        first.write(&get_as("fence", "read", ""));
        let next = node.request();
        assert_eq!(next.header("x-correlation-id"), Some("fence"), "{way:?}, busy {busy}");
    }
}

/// Danger: a process that was busy finds the request and its client's end at once, and sends first.
#[test]
fn a_client_that_left_before_its_request_was_read_is_not_sent_on() {
    for way in WAYS {
        let s = site(|_| {}, "");
        // Connections must be up before the process stops.
        let mut client = s.proxy.client();
        assert_eq!(s.proxy.health(), 200);
        s.proxy.pause();
        way.ask(&mut client, "read");
        way.leave(client);
        sleep(TERM);
        s.proxy.signal("-CONT");
        assert_eq!(s.proxy.health(), 200);
        s.only("fence", way);
    }
}

/// Danger: what the kernel had no room for goes to the node once it has, although nobody waits any more.
#[test]
fn the_rest_of_a_body_does_not_go_on_after_its_client_has_left() {
    const LENGTH: usize = 24 << 20;
    for (way, all) in [(Way::Closes, false), (Way::Resets, false), (Way::Closes, true)] {
        let s = site(no_cancel, "");
        let mut client = s.proxy.client();
        client.write(&format!(
            "PUT /order/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: large\r\nContent-Length: {LENGTH}\r\n\r\n"
        ));
        // The node takes nothing: the body fills all that lies between, and then its client leaves.
        client.0.get_ref().set_nonblocking(true).expect("not blocking");
        let part = vec![b'x'; if all { LENGTH } else { 200_000 }];
        let mut sent = 0;
        while let Ok(n) = std::io::Write::write(client.0.get_mut(), &part[sent..]) {
            sent += n;
            if sent == part.len() {
                break;
            }
        }
        assert!(!all || sent < LENGTH, "all of it was taken");
        let mut node = s.origin.take();
        way.leave(client);
        sleep(TERM);
        let mut got = Vec::new();
        let ended = std::io::Read::read_to_end(&mut node.0, &mut got);
        assert!(ended.is_ok() || ended.is_err_and(|e| e.kind() == std::io::ErrorKind::ConnectionReset));
        assert!(got.len() < LENGTH);
        s.only("fence", way);
    }
}

/// So many requests fill the budget that retries are taken from.
const EARN_RETRIES: usize = 40;

/// Danger: on HTTP/1.0 a client can be asked nine times at the most; after that an attempt would go out for nobody.
#[test]
fn where_a_client_can_be_asked_no_more_no_attempt_is_begun() {
    let (nodes, discovery) = ([(); 9].map(|()| Server::new()), Server::new());
    let members =
        nodes.iter().enumerate().map(|(n, node)| member(&format!("c{n}"), node.addr, "std", "ready"));
    let mut settings = config(discovery.addr, &members.collect::<Vec<_>>());
    no_cancel(&mut settings);
    settings["settings"]["caps"]["attempts_cap"] = json!(9);
    let proxy = Proxy::new(&settings);
    // Retries are paid for by requests: without these the first one is refused, and no byte after the fifth is spent.
    let mut earlier = proxy.client();
    for _ in 0..EARN_RETRIES {
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
    // The first node takes long, so that five of the nine are spent.
    let (mut at, mut held, mut got, mut left) = (accept_any(&nodes), 1600, 0, None::<std::time::Instant>);
    loop {
        at.1.request();
        let late = left.map(|left| left.elapsed());
        assert!(late.is_none_or(|late| late <= TERM), "begun {late:?} after the client had left");
        sleep(Duration::from_millis(held));
        held = 150;
        if let Some(peer) = &mut client {
            let stream = peer.0.get_mut();
            stream.set_nonblocking(true).expect("not blocking");
            let mut part = [0; 64];
            while let Ok(n) = std::io::Read::read(stream, &mut part) {
                assert!(n > 0, "it was closed after {got} bytes");
                got += n;
            }
            if got >= "HTTP/1.0 ".len() {
                (client, left) = (None, Some(std::time::Instant::now()));
                sleep(TERM);
            }
        }
        // A node's 503 is passed on in this deployment; a connection that ends is worth another node.
        drop(at.1);
        let more = std::time::Instant::now() + Duration::from_millis(800);
        let next = loop {
            let came = nodes.iter().enumerate().find_map(|(n, s)| Some((n, s.accepted.try_recv().ok()?)));
            if came.is_some() || std::time::Instant::now() > more {
                break came;
            }
            sleep(Duration::from_millis(1));
        };
        match next {
            Some((n, stream)) => at = (n, Peer::new(stream)),
            None => break,
        }
    }
    assert!(left.is_some(), "only {got} of its bytes were spent");
}

/// Danger: a client that only ended its sending would be taken for one that has gone.
#[test]
fn who_ended_its_sending_and_waits_gets_its_answer_however_long_that_takes() {
    for (version, held) in [("HTTP/1.1", 50), ("HTTP/1.1", 900), ("HTTP/1.0", 50), ("HTTP/1.0", 900)] {
        let s = site(|_| {}, "");
        let mut client = s.proxy.client();
        client.write(&get("read", "").replacen("HTTP/1.1", version, 1));
        client.0.get_ref().shutdown(Shutdown::Write).expect("half closed");
        let (_, mut node) = accept_any(&s.nodes);
        node.request();
        sleep(Duration::from_millis(held));
        node.reply("200 OK", "X-Lookup: hit\r\n", "value");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"value".as_slice()), "{}", answer.line);
        assert!(answer.line.ends_with("200 OK") && answer.line.starts_with("HTTP/1."), "{}", answer.line);
    }
}

/// Danger: a process that is told to end would wait for answers that nobody reads, up to its last moment.
#[test]
fn a_process_that_stops_does_not_wait_for_clients_that_have_left() {
    let mut s = site(no_cancel, "");
    let mut client = s.proxy.client();
    Way::ClosesOld.ask(&mut client, "read");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    s.proxy.signal("-TERM");
    s.proxy.logged("draining");
    Way::ClosesOld.leave(client);
    until("it has ended", || s.proxy.child.try_wait().expect("a state").is_some());
    assert_eq!(node.read(), None);
}
