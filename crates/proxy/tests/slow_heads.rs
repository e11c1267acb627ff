//! Answers whose heads come in pieces, in shapes that a seed draws: cut anywhere, with pauses that together take most of
//! the client's time, every framing, class and length, one node or all, beside retries and hedged requests, while the
//! process is stopped or replaced. `ANISEYOKE_HEAD_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod heads;
mod platform;
mod rig;

use bodies::*;
use heads::*;
use platform::*;
use rig::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_HEAD_SEEDS";
/// Cache nodes and the origin.
const NODES: usize = 4;
const CLIENTS: usize = 12;

/// A proxy before nodes that serve exchanges, and what these nodes saw.
struct Play {
    proxy: Proxy,
    records: Records,
    exchanges: BTreeMap<String, Exchange>,
    _discovery: Server,
}

impl Play {
    fn new(exchanges: BTreeMap<String, Exchange>, change: impl FnOnce(&mut Value)) -> Self {
        let records = Records::default();
        let nodes = start_nodes(NODES, &exchanges, &records);
        let discovery = Server::new();
        let mut config = short_deadlines(discovery.addr, &listed(&nodes));
        change(&mut config);
        Play { proxy: Proxy::new(&config), records, exchanges, _discovery: discovery }
    }

    fn run(&self) -> Vec<String> {
        play(&self.exchanges, self.proxy.addr, &self.records)
    }

    /// Reads keys that belong to all nodes; returns how many went to each node.
    fn reads_by_node(&self, prefix: &str) -> Vec<usize> {
        let mut counts = vec![0; NODES];
        for key in 0..60 {
            let mut client = self.proxy.client();
            let id = format!("{prefix}-{key}");
            client.write(&get_as(&id, "read", "").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
            assert_eq!(read_answer(&mut client).status, Some(200), "{id}");
            counts[self.records.of(&id)[0].node] += 1;
        }
        counts
    }
}

fn listed(nodes: &[SocketAddr]) -> Vec<Value> {
    let last = nodes.len() - 1;
    let kind = |node| if node == last { "origin" } else { "std" };
    nodes
        .iter()
        .enumerate()
        .map(|(node, addr)| member(&format!("c{node}"), *addr, kind(node), "ready"))
        .collect()
}

/// Plays each seed on a thread of its own and asserts that no play found anything wrong.
fn assert_no_faults(
    default: std::ops::Range<u64>,
    play: impl Fn(u64) -> Vec<String> + Copy + Send + 'static,
) {
    let plays: Vec<_> =
        seeds(SEEDS_VARIABLE, default).map(|seed| std::thread::spawn(move || play(seed))).collect();
    let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(faults.is_empty(), "{} answers:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against an answer that is cut off since its head is not whole when the wanted time is over (review/7).
#[test]
fn answers_whose_heads_come_in_pieces_are_waited_for() {
    assert_no_faults(1..6, |seed| {
        let play = Play::new(Exchange::draw_all(seed, CLIENTS, NODES), |_| {});
        play.run()
    });
}

/// Guards against such an answer that is cut off at the end of a process that was told to stop.
#[test]
fn answers_whose_heads_come_in_pieces_are_waited_for_after_the_stop_signal() {
    assert_no_faults(30..33, |seed| {
        let mut random = Random::new(seed ^ 0x7e57);
        let mut exchanges = Exchange::draw_all(seed, CLIENTS, NODES);
        for exchange in exchanges.values_mut() {
            exchange.starts_after = exchange.starts_after.min(random.millis(30, 200));
        }
        let mut play = Play::new(exchanges, |_| {});
        let process = nix::unistd::Pid::from_raw(i32::try_from(play.proxy.child.id()).expect("an id"));
        let stops_after = random.millis(350, 900);
        let stopper = std::thread::spawn(move || {
            std::thread::sleep(stops_after);
            nix::sys::signal::kill(process, nix::sys::signal::Signal::SIGTERM).expect("sent");
        });
        let faults = play.run();
        stopper.join().expect("the signal");
        assert!(play.proxy.child.wait().expect("its end").success());
        faults
    });
}

/// Guards against such an answer that is cut off when another process takes over.
#[test]
fn answers_whose_heads_come_in_pieces_are_waited_for_during_an_upgrade() {
    assert_no_faults(60..63, |seed| {
        let mut random = Random::new(seed ^ 0x0f0d);
        let exchanges = Exchange::draw_all(seed, CLIENTS, NODES);
        let records = Records::default();
        let mut platform = Platform::new();
        platform.late_value = 0.0;
        for (n, addr) in start_nodes(NODES, &exchanges, &records).into_iter().enumerate() {
            let kind = if n == NODES - 1 { "origin" } else { "std" };
            platform.service.set(&format!("c{n}"), addr, kind, "ready", 0);
        }
        platform.known = platform.service.known();
        let old = platform.start();
        let addr = platform.addr();
        let clients = std::thread::spawn(move || play(&exchanges, addr, &records));
        std::thread::sleep(random.millis(300, 900));
        let new = platform.start();
        old.stop();
        let faults = clients.join().expect("the clients");
        new.stop();
        faults
    });
}

/// Guards against heads in pieces that are waited for only where a second attempt may run beside the first. A pause of
/// more than half of the client's time counts as a hang there.
#[test]
fn heads_in_pieces_are_waited_for_without_hedged_requests() {
    assert_no_faults(90..93, |seed| {
        let mut exchanges = Exchange::draw_all(seed, CLIENTS, NODES);
        for exchange in exchanges.values_mut() {
            let longest = exchange.time_left.mul_f64(0.4);
            exchange.head.cuts.iter_mut().for_each(|(_, pause)| *pause = (*pause).min(longest));
            exchange.answer.before_body = exchange.answer.before_body.min(longest);
        }
        let play = Play::new(exchanges, |config| config["settings"]["caps"]["second_copies"] = json!(false));
        play.run()
    });
}

/// Guards against nodes that are ejected, and an origin that is spared, since the heads of their answers come in pieces.
#[test]
fn nodes_whose_heads_come_in_pieces_stay_in_use() {
    for seed in seeds(SEEDS_VARIABLE, 120..122) {
        let mut exchanges = Exchange::draw_all(seed, 40, NODES);
        for exchange in exchanges.values_mut() {
            (exchange.first_node, exchange.slow_node) = (FirstNode::Answers, None);
        }
        let play = Play::new(exchanges, |_| {});
        let faults = play.run();
        assert!(faults.is_empty(), "seed {seed}: {}", faults.join("\n"));
        let counts = play.reads_by_node("after");
        let unused = counts[..NODES - 1].iter().filter(|count| **count == 0).count();
        assert_eq!(unused, 0, "seed {seed}: reads by node {counts:?}");
    }
}

/// Guards against an answer that is cut off since the process was held up: its first byte came in time and is still
/// unread when the time for it is over.
#[test]
fn a_first_byte_that_is_unread_when_its_time_is_over_counts() {
    let (node, discovery) = (Server::new(), Server::new());
    let proxy = Proxy::new(&short_deadlines(discovery.addr, &[member("c0", node.addr, "std", "ready")]));
    let mut client = proxy.client();
    client.write(&get("order", "X-Time-Left: 1.4\r\n"));
    let sent_at = Instant::now();
    let mut attempt = node.take();
    attempt.request();
    proxy.pause();
    attempt.write("HTTP/1.1 200 OK\r\n");
    // The wanted time of 0.6 s passes.
    std::thread::sleep(Duration::from_millis(650).saturating_sub(sent_at.elapsed()));
    proxy.signal("-CONT");
    std::thread::sleep(Duration::from_millis(850).saturating_sub(sent_at.elapsed()));
    attempt.write("X-Lookup: hit\r\nContent-Length: 5\r\n\r\nvalue");
    let answer = client.answer();
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"value"[..]), "after {:?}", sent_at.elapsed());
}

/// How a node hangs.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Hang {
    /// It gives nothing.
    FromTheStart,
    /// It stops behind this many bytes of its head.
    Midway(usize),
}

/// Serves requests at once, or hangs in the answer to each.
fn serve_hanging(node: usize, hang: Option<Hang>, records: &Records, peer: &mut Peer) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        records.add(NodeRecord { node, id, received_at: Some(Instant::now()), answered_at: None });
        let answer = "HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 5\r\n\r\nshort";
        let given = match hang {
            None => answer,
            Some(Hang::FromTheStart) => "",
            Some(Hang::Midway(length)) => &answer[..length],
        };
        peer.write(given);
        if hang.is_some() {
            // It stays until the proxy has given up.
            let _ = peer.read();
            return;
        }
    }
}

/// Guards against a node that hangs in the middle of its heads and stays in use, since it has begun to answer: it is
/// judged as one that gives nothing is, and its requests are answered in time.
#[test]
fn a_node_that_hangs_in_the_middle_of_its_heads_is_ejected_and_its_requests_are_served() {
    let hangs = [Hang::FromTheStart, Hang::Midway(1), Hang::Midway(20), Hang::Midway(60)];
    let plays = hangs.map(|hang| {
        std::thread::spawn(move || {
            let records = Records::default();
            let start = |node| {
                let (records, hang) = (records.clone(), (node == 0).then_some(hang));
                serve(Server::new(), move |peer| serve_hanging(node, hang, &records, peer))
            };
            let nodes: Vec<SocketAddr> = (0..NODES).map(start).collect();
            let discovery = Server::new();
            let config = short_deadlines(discovery.addr, &listed(&nodes));
            let proxy = Proxy::new(&config);
            let ask = |key: usize| {
                let mut client = proxy.client();
                let request = get_as(&format!("key-{key}"), "read", "X-Time-Left: 1.2\r\n");
                client.write(&request.replace("7f3a9c21e0b4d655", &format!("{:016x}", key * 7919)));
                let sent_at = Instant::now();
                (read_answer(&mut client).status, sent_at.elapsed())
            };
            // Long enough for the first attempts there to end.
            let end = Instant::now() + Duration::from_millis(2500);
            let mut asked = 0;
            while Instant::now() < end {
                let (status, waited) = ask(asked);
                assert_eq!(status, Some(200), "{hang:?}: request {asked} after {waited:?}");
                asked += 1;
                std::thread::sleep(Duration::from_millis(10));
            }
            let hung = records.all().iter().filter(|record| record.node == 0).count();
            assert!(hung > 0, "{hang:?}: none of {asked} requests came to the node");
            // It gets a request once an ejection of two seconds or more ends.
            (asked..asked + 60).for_each(|key| assert_eq!(ask(key).0, Some(200), "{hang:?}: {key}"));
            let later = records.all().iter().filter(|record| record.node == 0).count() - hung;
            assert!(
                later <= 1,
                "{hang:?}: {later} of 60 requests went to the node after {hung} had hung there"
            );
        })
    });
    plays.into_iter().for_each(|play| play.join().expect("a play"));
}

/// How a head goes on that never ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Endless {
    /// A byte at a time.
    Drops,
    /// As fast as it is read.
    Flood,
    /// One interim answer behind the other.
    Interim,
    /// It stops.
    Stuck,
}

/// Serves each request with a head that never ends, until the connection does.
fn serve_endless(endless: Endless, peer: &mut Peer) {
    use std::io::Write;
    if read_head(peer).is_none() {
        return;
    }
    let stream = peer.0.get_mut();
    let (begin, rest, pause) = match endless {
        Endless::Drops => ("HTTP/1.1 200 OK\r\nX-A: ", "a".to_owned(), Duration::from_millis(3)),
        Endless::Flood => ("HTTP/1.1 200 OK\r\n", format!("X-A: {}\r\n", "a".repeat(1000)), Duration::ZERO),
        Endless::Interim => ("", INTERIM_ANSWER.to_owned(), Duration::ZERO),
        Endless::Stuck => ("HTTP/1.1 200 OK\r\n", String::new(), Duration::from_millis(100)),
    };
    let mut written = stream.write_all(begin.as_bytes());
    while written.is_ok() {
        std::thread::sleep(pause);
        written = stream.write_all(rest.as_bytes());
        let ended = rest.is_empty() && matches!(peer_state(stream), Ended::Yes);
        if ended {
            return;
        }
    }
}

const INTERIM_ANSWER: &str =
    "HTTP/1.1 100 Continue\r\nX-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n";

enum Ended {
    Yes,
    No,
}

/// Returns whether the other side has ended the connection.
fn peer_state(stream: &std::net::TcpStream) -> Ended {
    stream.set_nonblocking(true).expect("not blocking");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("blocking");
    match peeked {
        Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ended::No,
        Ok(count) if count > 0 => Ended::No,
        _ => Ended::Yes,
    }
}

/// Guards against a head without an end that is waited for past its client's time, or fills the memory.
#[test]
fn heads_without_an_end_lead_to_a_final_answer_in_time_and_in_bounded_memory() {
    const MEMORY_MB: u64 = 32;
    const ASKED: usize = 60;
    const SLACK: Duration = Duration::from_millis(500);
    for endless in [Endless::Drops, Endless::Flood, Endless::Interim, Endless::Stuck] {
        let start = |_| serve(Server::new(), move |peer| serve_endless(endless, peer));
        let nodes: Vec<SocketAddr> = (0..NODES).map(start).collect();
        let discovery = Server::new();
        let mut config = short_deadlines(discovery.addr, &listed(&nodes));
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        let proxy = Proxy::new(&config);
        let (addr, process) = (proxy.addr, proxy.child.id());
        let clients: Vec<_> = (0..ASKED)
            .map(|number| {
                std::thread::spawn(move || {
                    let class = ["read", "set", "order"][number % 3];
                    let mut client = Peer::to(addr);
                    let id = format!("endless-{number}");
                    client.write(&get_as(
                        &id,
                        class,
                        &format!("X-Time-Left: 1.2\r\nIdempotency-Key: {id}\r\n"),
                    ));
                    let sent_at = Instant::now();
                    (read_answer(&mut client).status, sent_at.elapsed())
                })
            })
            .collect();
        let mut most_kb = 0;
        while clients.iter().any(|client| !client.is_finished()) {
            most_kb = most_kb.max(resident_kb(process));
            std::thread::sleep(Duration::from_millis(5));
        }
        for client in clients {
            let (status, waited) = client.join().expect("a client");
            assert!(status.is_some_and(|status| status >= 500), "{endless:?}: {status:?} after {waited:?}");
            assert!(waited < Duration::from_millis(1200) + SLACK, "{endless:?}: answered after {waited:?}");
        }
        println!("{endless:?}: {most_kb} kB");
        assert!(most_kb > 0 && most_kb < MEMORY_MB << 10, "{endless:?}: {most_kb} kB resident");
    }
}

/// Returns the resident memory of a process in kB.
fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("its status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("its memory");
    line.trim().trim_end_matches(" kB").parse().expect("a number")
}
