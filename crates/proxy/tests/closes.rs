//! Requests that arrive just as the proxy closes their connection: each request that was read gets its final
//! answer. On Linux a connection closed with unread bytes is reset, while one whose bytes were all read is
//! closed in order: that distinguishes a lost request from one that its client may send again.

mod rig;

use aniseyoke_faults::{configure_preload, ActivePlan, Call, Effect, Plan, Rule};
use rig::*;
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// The outcome of a request that was sent on an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Fate {
    Answered(u16),
    /// The connection was closed with all or part of the request unread.
    Unread,
    /// The request was read, and the connection closed without an answer.
    Lost,
}

/// Whether neither an end nor data has arrived yet.
fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("not blocking");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("blocking");
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Sends a request; whether the connection was still open after the write.
fn send_if_open(stream: &mut TcpStream, request: &str) -> bool {
    is_open(stream) && stream.write_all(request.as_bytes()).is_ok() && is_open(stream)
}

fn fate(stream: &mut TcpStream) -> Fate {
    match head(stream) {
        Ok(head) => Fate::Answered(head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status")),
        Err(fate) => fate,
    }
}

/// Returns the outcome of a request that was sent completely. A connection that is closed in order and then
/// reset was closed while the request was in transit, so the request is unread.
fn fate_of_sent(stream: &mut TcpStream) -> Fate {
    match fate(stream) {
        Fate::Lost if reset_follows(stream) => Fate::Unread,
        fate => fate,
    }
}

/// Reads the head of an answer, or returns the outcome of the request if there is no answer.
fn head(stream: &mut TcpStream) -> Result<String, Fate> {
    stream.set_read_timeout(Some(STEP_TIMEOUT)).expect("time-out");
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received);
        if text.contains("\r\n\r\n") {
            return Ok(text.to_lowercase());
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(Fate::Lost),
            Ok(n) => received.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return Err(Fate::Unread),
            Err(e) => panic!("neither an answer nor an end of the connection: {e}"),
        }
    }
}

/// A proxy with fault injection, in front of one node and an origin.
struct FaultyRig {
    rig: Rig,
    active_plan: ActivePlan,
    _folder: TempDir,
}

fn faulty_rig(sockets: u64) -> FaultyRig {
    faulty_rig_with(sockets, |_| {})
}

/// Like [`faulty_rig`], with a change to the proxy's command.
fn faulty_rig_with(sockets: u64, change: impl FnOnce(&mut Command)) -> FaultyRig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["limits"]["sockets"] = json!(sockets);
    config["settings"]["customers"][0]["quota_rps"] = json!(1e6);
    let folder = tempfile::tempdir().expect("a folder");
    let mut active_plan = None;
    let proxy = Proxy::with(&config, |command| {
        active_plan = Some(configure_preload(command, folder.path(), &Plan::default()).expect("armed"));
        change(command);
    });
    FaultyRig {
        rig: Rig { proxy, cache, origin, discovery },
        active_plan: active_plan.expect("armed"),
        _folder: folder,
    }
}

/// Guards against losing requests that arrive while hundreds of overdue connections are being closed. Each
/// `epoll_wait` is delayed, so that closing them all takes many rounds of the event loop.
#[test]
fn a_request_that_arrives_while_silent_connections_are_closed_is_not_read_and_lost() {
    const SILENT: usize = 400;
    let f = faulty_rig(2048);
    let mut clients: Vec<TcpStream> =
        (0..SILENT).map(|_| TcpStream::connect(f.rig.proxy.addr).expect("connected")).collect();
    let slow = Rule::new("slow", &[Call::EpollWait], Effect::DelayBefore(20_000));
    f.active_plan.change(&Plan::new(1, &[slow])).expect("a plan");
    until("the first connection is closed", || !clients.iter().all(is_open));
    let sent: Vec<bool> =
        clients.iter_mut().map(|client| send_if_open(client, &get("read", "X-Time-Left: 1.5\r\n"))).collect();
    f.active_plan.change(&Plan::default()).expect("a plan");
    let in_time = clients.iter_mut().zip(sent).filter(|(_, sent)| *sent);
    let fates: Vec<Fate> = in_time.map(|(client, _)| fate_of_sent(client)).collect();
    let lost = fates.iter().filter(|fate| **fate == Fate::Lost).count();
    println!("{lost} lost of {} sent while {SILENT} connections are closed", fates.len());
    assert!(fates.len() > 20, "only {} requests were sent in time", fates.len());
    assert_eq!(lost, 0, "of {}", fates.len());
}

/// Guards against a shutdown that drops a partly read request head without an error answer.
#[test]
fn an_incomplete_head_is_rejected_with_an_answer_at_shutdown() {
    let mut r = rig();
    let mut client = TcpStream::connect(r.proxy.addr).expect("connected");
    let request = get("read", "");
    client.write_all(&request.as_bytes()[..30]).expect("written");
    r.proxy.signal("-TERM");
    r.proxy.logged("draining");
    assert_eq!(fate(&mut client), Fate::Answered(503));
}

/// Guards against a timeout that drops a partly read request head without an error answer.
#[test]
fn a_head_that_takes_too_long_is_rejected_with_an_answer() {
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

/// Guards against a shortage of descriptors that drops a partly read request head without an error answer.
#[test]
fn incomplete_heads_displaced_by_other_clients_are_rejected_with_an_answer() {
    let f = faulty_rig(128);
    let mut incomplete: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut client = TcpStream::connect(f.rig.proxy.addr).expect("connected");
            client.write_all(b"GET /read/1 HTTP/1.1\r\nHo").expect("written");
            client
        })
        .collect();
    let fates: Vec<Fate> = incomplete.iter_mut().map(fate).collect();
    let lost = fates.iter().filter(|fate| **fate == Fate::Lost).count();
    println!("{lost} lost of {} incomplete heads", fates.len());
    assert_eq!(lost, 0, "of {}", fates.len());
    assert!(fates.contains(&Fate::Answered(503)));
}

/// Guards against a shutdown that closes the connection after the current answer although pipelined requests
/// were read.
#[test]
fn pipelined_requests_that_were_read_are_answered_during_shutdown() {
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

/// Guards against a shutdown that ends the accept loop and with it an accepted connection that waits for
/// capacity.
#[test]
fn an_accepted_connection_that_waits_for_capacity_is_not_closed_at_shutdown() {
    const SOCKETS: usize = 64;
    let mut f = faulty_rig(SOCKETS as u64);
    // Requests that wait for the node take the whole capacity.
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
            // This connection waits for capacity.
            Err(_) => {
                busy.push(client);
                break;
            }
        }
        assert!(busy.len() < SOCKETS, "the capacity is never exhausted");
    }
    f.rig.proxy.signal("-TERM");
    f.rig.proxy.logged("draining");
    for node in &mut nodes {
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "v");
    }
    let mut last = busy.pop().expect("a waiting connection");
    for client in &mut busy {
        assert_eq!(client.answer().status(), 200);
    }
    let mut node = f.rig.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "v");
    assert_eq!(last.read().map(|answer| answer.status()), Some(200));
}

/// The way in which nodes fail all requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum NodeFailure {
    Hang,
    Reset,
    /// A malformed answer head, on every request.
    Spoilt,
    /// An answer that is shorter than its `Content-Length`.
    Cut,
}

fn fail_all(taken: std::sync::mpsc::Receiver<TcpStream>, failure: NodeFailure) {
    for mut stream in taken {
        std::thread::spawn(move || {
            let mut chunk = [0; 4096];
            while stream.read(&mut chunk).is_ok_and(|n| n > 0) {
                let answer: &[u8] = match failure {
                    NodeFailure::Hang => continue,
                    NodeFailure::Reset => {
                        // Closing with a zero linger time resets the connection.
                        let socket = socket2::SockRef::from(&stream);
                        let _ = socket.set_linger(Some(Duration::ZERO));
                        return;
                    }
                    NodeFailure::Spoilt => b"HTTP/9.9 what\r\nContent-Length: -1\r\n\r\n\xff\xff",
                    NodeFailure::Cut => {
                        b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 500\r\n\r\nhalf"
                    }
                };
                let _ = stream.write_all(answer);
                if failure == NodeFailure::Cut {
                    return;
                }
            }
        });
    }
}

/// Sends malformed and incomplete requests until the given time and ignores the answers.
fn send_malformed_requests(addr: std::net::SocketAddr, until: Instant) -> std::thread::JoinHandle<()> {
    std::thread::spawn(move || {
        let malformed: [&[u8]; 6] = [
            b"\x00\xff\xfe noise\r\n\r\n",
            b"GET /read/1 HTTP/1.1\r\nHo",
            b"PUT /read/1 HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
            b"PUT /set/1 HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"GET /nothing HTTP/1.1\r\nHost: a\r\n\r\nGET /nothing HTTP/1.1\r\n",
            b"",
        ];
        let mut open_streams = std::collections::VecDeque::new();
        for index in 0.. {
            if Instant::now() > until {
                return;
            }
            let Ok(mut stream) = TcpStream::connect(addr) else { continue };
            let _ = stream.write_all(malformed[index % malformed.len()]);
            open_streams.push_back(stream);
            if open_streams.len() > 40 {
                open_streams.pop_front();
            }
        }
    })
}

/// Guards against failing nodes or misbehaving clients that leave a well-behaved client's request without its
/// final answer.
#[test]
fn requests_are_answered_despite_failing_nodes_and_malformed_requests_of_others() {
    const CLIENTS: usize = 60;
    for failure in [NodeFailure::Hang, NodeFailure::Reset, NodeFailure::Spoilt, NodeFailure::Cut] {
        let f = faulty_rig(512);
        let Rig { proxy, cache, origin, discovery: _discovery } = f.rig;
        for server in [cache, origin] {
            std::thread::spawn(move || fail_all(server.accepted, failure));
        }
        let until = Instant::now() + Duration::from_secs(3);
        let misbehaving: Vec<_> = (0..2).map(|_| send_malformed_requests(proxy.addr, until)).collect();
        let addr = proxy.addr;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|index| {
                std::thread::spawn(move || {
                    std::thread::sleep(Duration::from_millis(20 * index as u64));
                    let class = ["read", "order"][index % 2];
                    let mut retries = 0;
                    loop {
                        let mut stream = TcpStream::connect(addr).expect("connected");
                        let sent = send_if_open(&mut stream, &get(class, "X-Time-Left: 1.5\r\n"));
                        let fate = if sent { fate_of_sent(&mut stream) } else { fate(&mut stream) };
                        match fate {
                            // The connection was closed with the request unsent or unread: clients retry it.
                            Fate::Unread if retries < 50 => retries += 1,
                            Fate::Lost if !sent && retries < 50 => retries += 1,
                            fate => return fate,
                        }
                    }
                })
            })
            .collect();
        let fates: Vec<Fate> = clients.into_iter().map(|client| client.join().expect("a fate")).collect();
        misbehaving.into_iter().for_each(|client| client.join().expect("ended"));
        println!("{failure:?}: {fates:?}");
        assert!(fates.iter().all(|fate| matches!(fate, Fate::Answered(_))), "{failure:?}: {fates:?}");
    }
}

/// Answers all requests to a node after a short delay.
fn answer_all(taken: std::sync::mpsc::Receiver<TcpStream>) {
    for mut stream in taken {
        std::thread::spawn(move || {
            let mut received = Vec::new();
            let mut chunk = [0; 4096];
            while let Some(n) = stream.read(&mut chunk).ok().filter(|n| *n > 0) {
                received.extend_from_slice(&chunk[..n]);
                while let Some(end) = received.windows(4).position(|four| four == b"\r\n\r\n") {
                    received.drain(..end + 4);
                    std::thread::sleep(Duration::from_millis(3));
                    let _ =
                        stream.write_all(b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 0\r\n\r\n");
                }
            }
        });
    }
}

/// Outcomes of one client's requests, on all its connections.
#[derive(Default)]
struct ClientOutcomes {
    answered: usize,
    /// Number of connections that the proxy closed.
    ended: usize,
    /// The ports of connections that were closed in order after a request and not reset afterwards.
    lost: Vec<u16>,
    /// The ports of connections that were reset after the close: the request was in transit when the proxy
    /// closed them.
    crossed: Vec<u16>,
    /// The port and the number of answers of each connection.
    answers: Vec<(u16, u64)>,
}

/// Sends three requests on one connection, with idle times between them in which the proxy may close it in
/// favor of another client. A request that was left unread is sent again on a new connection, as clients do.
fn send_with_pauses(addr: std::net::SocketAddr, index: usize) -> ClientOutcomes {
    let mut outcomes = ClientOutcomes::default();
    let mut stream = TcpStream::connect(addr).expect("connected");
    let mut answers = 0;
    for ask in 0..3 {
        std::thread::sleep(Duration::from_millis(((index * 7 + ask * 31) % 60) as u64));
        for _ in 0..200 {
            let sent = send_if_open(&mut stream, &get("read", ""));
            let answer = head(&mut stream);
            answers += u64::from(answer.is_ok());
            let port = stream.local_addr().expect("an address").port();
            if sent && answer == Err(Fate::Lost) {
                let crossed = reset_follows(&stream);
                if crossed { &mut outcomes.crossed } else { &mut outcomes.lost }.push(port);
            }
            // The proxy reads no request after an answer that announces the close.
            let reconnect = answer.as_ref().map_or(true, |head| head.contains("connection: close"));
            if reconnect {
                outcomes.answers.push((port, answers));
                outcomes.ended += 1;
                answers = 0;
                stream = TcpStream::connect(addr).expect("connected");
            }
            if answer.is_ok() {
                outcomes.answered += 1;
                break;
            }
        }
    }
    outcomes
}

/// The end of a connection as the proxy logs it.
#[derive(Clone, Debug)]
struct LoggedEnd {
    port: u16,
    cause: String,
    requests: u64,
    answered: u64,
    /// Bytes read of a further request that got no error answer.
    partial: u64,
}

/// Parses the end of a connection from a log line, if it reports one: `127.0.0.1:PORT closed (WHY): N
/// requests read, N answered, N bytes of another[ refused], N bytes unread`.
fn parse_logged_end(line: &str) -> Option<LoggedEnd> {
    let (peer, rest) = line.rsplit_once(" closed (")?;
    let port = peer.rsplit(':').next()?.parse().ok()?;
    let (cause, counts) = rest.rsplit_once("): ")?;
    let number = |chunk: &str| chunk.trim().split(' ').next().and_then(|n| n.parse::<u64>().ok());
    let mut parts = counts.split(',');
    let (requests, answered, partial) = (parts.next()?, parts.next()?, parts.next()?);
    let unanswered_bytes = if partial.ends_with("refused") { 0 } else { number(partial)? };
    Some(LoggedEnd {
        port,
        cause: cause.to_owned(),
        requests: number(requests)?,
        answered: number(answered)?,
        partial: unanswered_bytes,
    })
}

/// Guards against a request that is read but not answered, on a connection that is closed in favor of another
/// client. The close alone doesn't distinguish it from a request that was in transit; a reset after it does,
/// and the proxy's log has to agree.
#[test]
fn requests_that_arrive_while_descriptors_run_out_are_answered_or_left_unread() {
    const CLIENTS: usize = 120;
    let mut f = faulty_rig_with(128, |command| {
        // Each end of a connection is logged.
        command.env("ANISEYOKE__LOG__LEVEL", "debug").env("ANISEYOKE__LOG__BURST", "100000");
    });
    let log = f.rig.proxy.take_log();
    let Rig { mut proxy, cache, origin, discovery: _discovery } = f.rig;
    for server in [cache, origin] {
        std::thread::spawn(move || answer_all(server.accepted));
    }
    // More data arrives between the decision to close a connection and the close.
    let slow = Rule::new("slow", &[Call::EpollWait], Effect::DelayBefore(1_000));
    f.active_plan.change(&Plan::new(2, &[slow])).expect("a plan");
    let addr = proxy.addr;
    let clients: Vec<_> =
        (0..CLIENTS).map(|index| std::thread::spawn(move || send_with_pauses(addr, index))).collect();
    let clients_outcomes: Vec<ClientOutcomes> =
        clients.into_iter().map(|client| client.join().expect("outcomes")).collect();
    proxy.signal("-TERM");
    assert!(proxy.child.wait().expect("ended").success());
    let log = log.join().expect("the log");
    let ends: Vec<LoggedEnd> = log.lines().filter_map(parse_logged_end).collect();

    let sum = |of: fn(&ClientOutcomes) -> usize| clients_outcomes.iter().map(of).sum::<usize>();
    let (lost, answered, ended) = (sum(|a| a.lost.len()), sum(|a| a.answered), sum(|a| a.ended));
    println!("{lost} lost, {answered} answered of {}, {ended} connections closed by the proxy", 3 * CLIENTS);
    let crossed: Vec<u16> =
        clients_outcomes.iter().flat_map(|outcomes| outcomes.crossed.iter().copied()).collect();
    for end in ends.iter().filter(|end| crossed.contains(&end.port)) {
        println!("request in transit at the close, then reset: {end:?}");
    }
    assert!(ended > 0, "descriptors did not run out");
    assert_eq!((lost, answered), (0, 3 * CLIENTS));

    let unanswered: Vec<_> =
        ends.iter().filter(|end| end.requests > end.answered || end.partial > 0).collect();
    assert!(unanswered.is_empty(), "read and not answered: {unanswered:?}");
    for (port, answers) in clients_outcomes.iter().flat_map(|outcomes| &outcomes.answers) {
        let read: Vec<u64> = ends.iter().filter(|end| end.port == *port).map(|end| end.requests).collect();
        assert!(read.contains(answers), "port {port}: {answers} answers received, {read:?} requests read");
    }
}

/// Guards against a close by the client being logged as a close by the proxy in the middle of a request.
#[test]
fn the_log_distinguishes_a_client_that_closes_while_displaced_from_one_cut_off_by_the_proxy() {
    const SOCKETS: usize = 128;
    let mut f = faulty_rig_with(SOCKETS as u64, |command| {
        command.env("ANISEYOKE__LOG__LEVEL", "debug").env("ANISEYOKE__LOG__BURST", "100000");
    });
    let log = f.rig.proxy.take_log();
    let proxy = &mut f.rig.proxy;
    let send_incomplete_head = |_| {
        let mut client = TcpStream::connect(proxy.addr).expect("connected");
        client.write_all(b"GET /read/1 HTTP/1.1\r\nHo").expect("written");
        client
    };
    let incomplete: Vec<TcpStream> = (0..SOCKETS).map(send_incomplete_head).collect();
    until("descriptors run out", || !incomplete.iter().all(is_open));
    // A head that has stalled for half a second is displaced in favor of the next connections.
    let stalled_at = Instant::now();
    until("the heads have stalled", || stalled_at.elapsed() > Duration::from_millis(600));
    proxy.pause();
    drop(incomplete);
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
    let ends: Vec<LoggedEnd> = log.join().expect("the log").lines().filter_map(parse_logged_end).collect();

    let crossed = ends.iter().filter(|end| end.cause == "ended by its client; was to be closed: displaced");
    let crossed = crossed.filter(|end| end.partial > 0).count();
    let cut_off = ends.iter().filter(|end| end.cause != "ended by its client" && end.partial > 0);
    let cut_off: Vec<_> =
        cut_off.filter(|end| !end.cause.starts_with("ended by its client; was to be closed")).collect();
    println!("{crossed} closed by their clients while displaced, {} cut off by the proxy", cut_off.len());
    assert!(cut_off.is_empty(), "closed in the middle of a request: {cut_off:?}");
    assert!(crossed > 0, "no client closed while being displaced: {ends:?}");
}
