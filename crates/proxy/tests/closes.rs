//! A request that comes just as the proxy ends its connection: what has been read gets its final answer, whatever else goes
//! on. On Linux a connection that is closed with bytes unread is reset, and one of which all was read ends plainly: that
//! tells a request that was lost from one that its client may send again.

mod rig;

use aniseyoke_faults::{arm, Armed, Call, Effect, Plan, Rule};
use rig::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// What became of a request that was sent on an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    Answered(u16),
    /// The connection was closed with the request, or a part of it, unread.
    Unread,
    /// The request was read, and the connection closed without an answer.
    Lost,
}

/// Whether neither an end nor bytes have come yet.
fn open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("not blocking");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("blocking");
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Sends a request; whether it was in the proxy's hands before the connection was closed, if it was.
fn sent(stream: &mut TcpStream, request: &str) -> bool {
    open(stream) && stream.write_all(request.as_bytes()).is_ok() && open(stream)
}

fn fate(stream: &mut TcpStream) -> Fate {
    match head(stream) {
        Ok(head) => Fate::Answered(head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")),
        Err(fate) => fate,
    }
}

/// What became of a request that was sent as a whole. A connection that ends in order and is reset behind that was closed
/// while the request was on its way: it has crossed the end, and lies unread.
fn fate_of_sent(stream: &mut TcpStream) -> Fate {
    match fate(stream) {
        Fate::Lost if reset_follows(stream) => Fate::Unread,
        fate => fate,
    }
}

/// The head of an answer, or what became of the request without one.
fn head(stream: &mut TcpStream) -> Result<String, Fate> {
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("time-out");
    let mut came = Vec::new();
    let mut part = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&came);
        if text.contains("\r\n\r\n") {
            return Ok(text.to_lowercase());
        }
        match stream.read(&mut part) {
            Ok(0) => return Err(Fate::Lost),
            Ok(n) => came.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return Err(Fate::Unread),
            Err(e) => panic!("neither an answer nor an end: {e}"),
        }
    }
}

/// A proxy that faults may be forced on, in front of one node and an origin.
struct Faulty {
    rig: Rig,
    armed: Armed,
    _folder: TempDir,
}

fn faulty(sockets: u64) -> Faulty {
    faulty_with(sockets, |_| {})
}

/// The same, with more in the proxy's command.
fn faulty_with(sockets: u64, more: impl FnOnce(&mut Command)) -> Faulty {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["limits"]["sockets"] = json!(sockets);
    config["settings"]["customers"][0]["quota_rps"] = json!(1e6);
    let folder = tempfile::tempdir().expect("a folder");
    let mut armed = None;
    let proxy = Proxy::with(&config, |command| {
        armed = Some(arm(command, folder.path(), &Plan::default()).expect("armed"));
        more(command);
    });
    Faulty { rig: Rig { proxy, cache, origin, discovery }, armed: armed.expect("armed"), _folder: folder }
}

/// Danger: connections that are overdue are ended by the hundred, and before the last of them is, requests come on them. Each
/// wait for events is held up, so that the end of all takes many of them.
#[test]
fn a_request_that_comes_as_silent_connections_are_ended_is_not_read_and_lost() {
    const SILENT: usize = 400;
    let f = faulty(2048);
    let mut clients: Vec<TcpStream> =
        (0..SILENT).map(|_| TcpStream::connect(f.rig.proxy.addr).expect("connected")).collect();
    let slow = Rule::new("slow", &[Call::EpollWait], Effect::DelayBefore(20_000));
    f.armed.change(&Plan::new(1, &[slow])).expect("a plan");
    until("the first is ended", || !clients.iter().all(open));
    let late: Vec<bool> =
        clients.iter_mut().map(|client| sent(client, &get("read", "X-Time-Left: 1.5\r\n"))).collect();
    f.armed.change(&Plan::default()).expect("a plan");
    let in_time = clients.iter_mut().zip(late).filter(|(_, late)| *late);
    let fates: Vec<Fate> = in_time.map(|(client, _)| fate_of_sent(client)).collect();
    let lost = fates.iter().filter(|fate| **fate == Fate::Lost).count();
    println!("{lost} lost of {} sent as {SILENT} are ended", fates.len());
    assert!(fates.len() > 20, "only {} came in time", fates.len());
    assert_eq!(lost, 0, "of {}", fates.len());
}

/// A head that has been read in part is given up when the process is to end; who sent it is told so.
#[test]
fn a_head_that_stops_in_a_process_that_ends_is_refused_and_not_just_closed() {
    let mut r = rig();
    let mut client = TcpStream::connect(r.proxy.addr).expect("connected");
    let request = get("read", "");
    client.write_all(&request.as_bytes()[..30]).expect("written");
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    assert_eq!(fate(&mut client), Fate::Answered(503));
}

/// The same where a head takes too long.
#[test]
fn a_head_that_takes_too_long_is_refused_and_not_just_closed() {
    let r = rig();
    let mut fresh = TcpStream::connect(r.proxy.addr).expect("connected");
    let mut used = r.proxy.client();
    used.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(used.answer().status(), 200);
    let mut used = used.0.into_inner();
    for client in [&mut fresh, &mut used] {
        client.write_all(b"GET /read/1 HTTP/1.1\r\nHo").expect("written");
    }
    assert_eq!([fate(&mut fresh), fate(&mut used)], [Fate::Answered(503); 2]);
}

/// The same where places run out: half a request is worth a refusal.
#[test]
fn heads_that_make_room_for_others_are_refused_and_not_just_closed() {
    let f = faulty(128);
    let mut halves: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut half = TcpStream::connect(f.rig.proxy.addr).expect("connected");
            half.write_all(b"GET /read/1 HTTP/1.1\r\nHo").expect("written");
            half
        })
        .collect();
    let fates: Vec<Fate> = halves.iter_mut().map(fate).collect();
    let lost = fates.iter().filter(|fate| **fate == Fate::Lost).count();
    println!("{lost} lost of {} half heads", fates.len());
    assert_eq!(lost, 0, "of {}", fates.len());
    assert!(fates.contains(&Fate::Answered(503)));
}

/// Danger: a request that was read with the one before it would end with that one's connection.
#[test]
fn what_was_read_behind_a_request_is_answered_by_a_process_that_ends() {
    let mut r = rig();
    let mut client = r.proxy.client();
    client.write(&(get("read", "") + &get("read", "") + &get("read", "")));
    let mut node = r.cache.take();
    node.request();
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    for body in ["one", "two", "three"] {
        node.reply("200 OK", "X-Lookup: hit\r\n", body);
        let answer = client.answer();
        assert_eq!(answer.body, body.as_bytes());
        if body == "three" {
            assert_eq!((answer.header("connection"), client.read()), (Some("close"), None));
        } else {
            node.request();
        }
    }
}

/// Danger: what was accepted and waits for a place went with the loop that accepts once the process was told to stop.
#[test]
fn a_connection_that_waits_for_a_place_is_not_closed_when_the_process_is_told_to_stop() {
    const SOCKETS: usize = 64;
    let mut f = faulty(SOCKETS as u64);
    // All places are taken by requests that wait for the node.
    let mut busy = Vec::new();
    let mut nodes = Vec::new();
    loop {
        let mut client = f.rig.proxy.client();
        client.ask("order", "");
        match f.rig.cache.accepted.recv_timeout(Duration::from_millis(500)) {
            Ok(stream) => {
                let mut node = Peer::new(stream);
                node.request();
                nodes.push(node);
                busy.push(client);
            }
            // This one waits.
            Err(_) => {
                busy.push(client);
                break;
            }
        }
        assert!(busy.len() < SOCKETS, "places do not run out");
    }
    f.rig.proxy.signal("-TERM");
    f.rig.proxy.logged("draining");
    for node in &mut nodes {
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "v");
    }
    let mut last = busy.pop().expect("one that waited");
    for client in &mut busy {
        assert_eq!(client.answer().status(), 200);
    }
    let mut node = f.rig.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "v");
    assert_eq!(last.read().map(|answer| answer.status()), Some(200));
}

/// How nodes fail all requests that they get.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Nodes {
    Hang,
    Reset,
    /// A head that nobody can read, then the same again.
    Spoilt,
    /// An answer that ends before its length.
    Cut,
}

fn fail_all(taken: std::sync::mpsc::Receiver<TcpStream>, how: Nodes) {
    for mut stream in taken {
        std::thread::spawn(move || {
            let mut part = [0; 4096];
            while stream.read(&mut part).is_ok_and(|n| n > 0) {
                let answer: &[u8] = match how {
                    Nodes::Hang => continue,
                    Nodes::Reset => {
                        // Closed with something unread, it is reset.
                        let socket = socket2::SockRef::from(&stream);
                        let _ = socket.set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Nodes::Spoilt => b"HTTP/9.9 what\r\nContent-Length: -1\r\n\r\n\xff\xff",
                    Nodes::Cut => b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 500\r\n\r\nhalf",
                };
                let _ = stream.write_all(answer);
                if how == Nodes::Cut {
                    return;
                }
            }
        });
    }
}

/// Sends what no client in its right mind sends, again and again, and counts nothing.
fn rage(addr: std::net::SocketAddr, until: Instant) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let noise: [&[u8]; 6] = [
            b"\x00\xff\xfe noise\r\n\r\n",
            b"GET /read/1 HTTP/1.1\r\nHo",
            b"PUT /read/1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            b"PUT /set/1 HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\nGET /nothing HTTP/1.1\r\n",
            b"",
        ];
        let mut held = std::collections::VecDeque::new();
        for number in 0.. {
            if Instant::now() > until {
                return;
            }
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            let _ = stream.write_all(noise[number % noise.len()]);
            held.push_back(stream);
            if held.len() > 40 {
                held.pop_front();
            }
        }
    })
}

/// Trouble at servers or with other clients frees no request of its final answer: each usual client has one, and in time.
#[test]
fn failing_nodes_and_raging_clients_cost_no_request_its_answer() {
    const CLIENTS: usize = 60;
    for how in [Nodes::Hang, Nodes::Reset, Nodes::Spoilt, Nodes::Cut] {
        let f = faulty(512);
        let Rig { proxy, cache, origin, discovery: _discovery } = f.rig;
        for server in [cache, origin] {
            std::thread::spawn(move || fail_all(server.accepted, how));
        }
        let until = Instant::now() + Duration::from_secs(3);
        let raging: Vec<_> = (0..2).map(|_| rage(proxy.addr, until)).collect();
        let addr = proxy.addr;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| {
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(20 * number as u64));
                    let class = ["read", "order"][number % 2];
                    let mut again = 0;
                    loop {
                        let mut stream = TcpStream::connect(addr).expect("connected");
                        let asked = sent(&mut stream, &get(class, "X-Time-Left: 1.5\r\n"));
                        let fate = if asked { fate_of_sent(&mut stream) } else { fate(&mut stream) };
                        match fate {
                            // Closed before or with the request unread: clients send it again.
                            Fate::Unread if again < 50 => again += 1,
                            Fate::Lost if !asked && again < 50 => again += 1,
                            fate => return fate,
                        }
                    }
                })
            })
            .collect();
        let fates: Vec<Fate> = clients.into_iter().map(|client| client.join().expect("a fate")).collect();
        raging.into_iter().for_each(|client| client.join().expect("ended"));
        println!("{how:?}: {fates:?}");
        assert!(fates.iter().all(|fate| matches!(fate, Fate::Answered(_))), "{how:?}: {fates:?}");
    }
}

/// A node that answers all requests a little later.
fn answer_all(taken: std::sync::mpsc::Receiver<TcpStream>) {
    for mut stream in taken {
        std::thread::spawn(move || {
            let mut came = Vec::new();
            let mut part = [0; 4096];
            while let Some(n) = stream.read(&mut part).ok().filter(|n| *n > 0) {
                came.extend_from_slice(&part[..n]);
                while let Some(end) = came.windows(4).position(|four| four == b"\r\n\r\n") {
                    came.drain(..end + 4);
                    std::thread::sleep(Duration::from_millis(3));
                    let _ =
                        stream.write_all(b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 0\r\n\r\n");
                }
            }
        });
    }
}

/// What became of one client's requests, on all its connections.
#[derive(Default)]
struct Account {
    answered: usize,
    /// Connections that ended under way.
    ended: usize,
    /// The ports of connections that ended in order behind a request, and were not reset after that.
    lost: Vec<u16>,
    /// The ports of those that were reset after that: the request crossed the end.
    crossed: Vec<u16>,
    /// How many answers came on each connection, by its port.
    answers: Vec<(u16, u64)>,
}

/// Three requests on one connection, with a time between them in which it is worth ending for another's sake. What was
/// closed unread is sent again on a new connection, as clients do.
fn ask_on_and_off(addr: std::net::SocketAddr, number: usize) -> Account {
    let mut account = Account::default();
    let mut stream = TcpStream::connect(addr).expect("connected");
    let mut answers = 0;
    for ask in 0..3 {
        std::thread::sleep(Duration::from_millis(((number * 7 + ask * 31) % 60) as u64));
        for _ in 0..200 {
            let asked = sent(&mut stream, &get("read", ""));
            let answer = head(&mut stream);
            answers += u64::from(answer.is_ok());
            let port = stream.local_addr().expect("an address").port();
            if asked && answer == Err(Fate::Lost) {
                let crossed = reset_follows(&stream);
                if crossed { &mut account.crossed } else { &mut account.lost }.push(port);
            }
            // Who sends on behind an announced close sends to nobody.
            let again = answer.as_ref().map_or(true, |head| head.contains("connection: close"));
            if again {
                account.answers.push((port, answers));
                account.ended += 1;
                answers = 0;
                stream = TcpStream::connect(addr).expect("connected");
            }
            if answer.is_ok() {
                account.answered += 1;
                break;
            }
        }
    }
    account
}

/// What the proxy's log tells of a connection's end.
#[derive(Clone, Debug)]
struct LoggedEnd {
    port: u16,
    cause: String,
    requests: u64,
    answered: u64,
    /// Bytes of a further request that were read, and for which there was no refusal.
    partial: u64,
}

/// The end of a connection in a line of the log, if it tells of one: `127.0.0.1:PORT closed (WHY): N requests read, N
/// answered, N bytes of another[ refused], N bytes unread`.
fn logged_end(line: &str) -> Option<LoggedEnd> {
    let (peer, rest) = line.rsplit_once(" closed (")?;
    let port = peer.rsplit(':').next()?.parse().ok()?;
    let (cause, counts) = rest.rsplit_once("): ")?;
    let number = |part: &str| part.trim().split(' ').next().and_then(|n| n.parse::<u64>().ok());
    let mut parts = counts.split(',');
    let (requests, answered, partial) = (parts.next()?, parts.next()?, parts.next()?);
    let open = if partial.ends_with("refused") { 0 } else { number(partial)? };
    Some(LoggedEnd {
        port,
        cause: cause.to_owned(),
        requests: number(requests)?,
        answered: number(answered)?,
        partial: open,
    })
}

/// Guards against a request that was read on a connection that is ended for another client's sake, and not answered. An end
/// alone does not tell it from one that crossed the end: a reset behind it does, and the proxy's account has to agree.
#[test]
fn requests_that_come_while_places_run_out_are_answered_or_left_unread() {
    const CLIENTS: usize = 120;
    let mut f = faulty_with(128, |command| {
        // Each end is logged.
        command.env("ANISEYOKE__LOG__LEVEL", "debug").env("ANISEYOKE__LOG__BURST", "100000");
    });
    let log = f.rig.proxy.take_log();
    let Rig { mut proxy, cache, origin, discovery: _discovery } = f.rig;
    for server in [cache, origin] {
        std::thread::spawn(move || answer_all(server.accepted));
    }
    // Between what is decided and what is done about it more comes in.
    let slow = Rule::new("slow", &[Call::EpollWait], Effect::DelayBefore(1_000));
    f.armed.change(&Plan::new(2, &[slow])).expect("a plan");
    let addr = proxy.addr;
    let clients: Vec<_> =
        (0..CLIENTS).map(|number| std::thread::spawn(move || ask_on_and_off(addr, number))).collect();
    let accounts: Vec<Account> =
        clients.into_iter().map(|client| client.join().expect("an account")).collect();
    proxy.signal("-TERM");
    assert!(proxy.child.wait().expect("ended").success());
    let log = log.join().expect("the log");
    let ends: Vec<LoggedEnd> = log.lines().filter_map(logged_end).collect();

    let sum = |of: fn(&Account) -> usize| accounts.iter().map(of).sum::<usize>();
    let (lost, answered, ended) = (sum(|a| a.lost.len()), sum(|a| a.answered), sum(|a| a.ended));
    println!("{lost} lost, {answered} answered of {}, {ended} connections ended under way", 3 * CLIENTS);
    let crossed: Vec<u16> = accounts.iter().flat_map(|account| account.crossed.iter().copied()).collect();
    for end in ends.iter().filter(|end| crossed.contains(&end.port)) {
        println!("crossed the end of its connection, then reset: {end:?}");
    }
    assert!(ended > 0, "places did not run out");
    assert_eq!((lost, answered), (0, 3 * CLIENTS));

    let unanswered: Vec<_> =
        ends.iter().filter(|end| end.requests > end.answered || end.partial > 0).collect();
    assert!(unanswered.is_empty(), "read and not answered: {unanswered:?}");
    for (port, answers) in accounts.iter().flat_map(|account| &account.answers) {
        let read: Vec<u64> = ends.iter().filter(|end| end.port == *port).map(|end| end.requests).collect();
        assert!(read.contains(answers), "port {port}: {answers} answers came, {read:?} requests were read");
    }
}

/// Guards against an end by the client that is logged as a close by the proxy, over a request read in part.
#[test]
fn a_client_that_ends_as_it_is_displaced_is_told_from_one_that_the_proxy_cuts_off() {
    const SOCKETS: usize = 128;
    let mut f = faulty_with(SOCKETS as u64, |command| {
        command.env("ANISEYOKE__LOG__LEVEL", "debug").env("ANISEYOKE__LOG__BURST", "100000");
    });
    let log = f.rig.proxy.take_log();
    let proxy = &mut f.rig.proxy;
    let half = |_| {
        let mut client = TcpStream::connect(proxy.addr).expect("connected");
        client.write_all(b"GET /read/1 HTTP/1.1\r\nHo").expect("written");
        client
    };
    let halves: Vec<TcpStream> = (0..SOCKETS).map(half).collect();
    until("places run out", || !halves.iter().all(open));
    // A head that has stopped for half a second is displaced before those that come next.
    let stopped = Instant::now();
    until("heads have stopped", || stopped.elapsed() > Duration::from_millis(600));
    proxy.pause();
    drop(halves);
    let mut next: Vec<TcpStream> =
        (0..4).map(|_| TcpStream::connect(proxy.addr).expect("connected")).collect();
    for client in &mut next {
        client.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
    }
    proxy.signal("-CONT");
    for client in &mut next {
        assert_eq!(fate(client), Fate::Answered(200));
    }
    drop(next);
    proxy.signal("-TERM");
    assert!(proxy.child.wait().expect("ended").success());
    let ends: Vec<LoggedEnd> = log.join().expect("the log").lines().filter_map(logged_end).collect();

    let crossed = ends.iter().filter(|end| end.cause == "ended by its client; was to be closed: displaced");
    let crossed = crossed.filter(|end| end.partial > 0).count();
    let cut_off = ends.iter().filter(|end| end.cause != "ended by its client" && end.partial > 0);
    let cut_off: Vec<_> =
        cut_off.filter(|end| !end.cause.starts_with("ended by its client; was to be closed")).collect();
    println!("{crossed} ended by their clients as they were displaced, {} cut off", cut_off.len());
    assert!(cut_off.is_empty(), "closed over a request read in part: {cut_off:?}");
    assert!(crossed > 0, "no end crossed a close: {ends:?}");
}
