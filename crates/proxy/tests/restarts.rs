//! Upgrades of the process while long bodies come slowly in both directions. Clients go on using their connections
//! until the old process is killed, which is at the earliest time that the platform allows; signals come in series.
//! `ANISEYOKE_RESTART_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod rig;

use bodies::*;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rig::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_RESTART_SEEDS";
const CLIENTS: usize = 14;
/// The longest deadline of a class.
const DEADLINE: Duration = Duration::from_millis(1500);
/// The earliest time of the kill after the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Requests that come later than this after the stop signal have to be answered before the kill.
const STOP_SLACK: Duration = Duration::from_millis(700);
/// An answer whose first byte comes later than this after its client's time is a lost request.
const SLACK: Duration = Duration::from_millis(550);
/// How long clients go on after the kill.
const AFTER_KILL: Duration = Duration::from_millis(700);
/// What the kill ends, its clients notice within this time.
const NOTICED_WITHIN: Duration = Duration::from_millis(150);
const CLASSES: [&str; 3] = ["read", "set", "order"];

/// One request: its class, its body if it has one, and how its node reads and answers.
#[derive(Clone, Debug)]
struct Exchange {
    class: &'static str,
    time_left: Duration,
    upload: Option<BodyShape>,
    read: ReadShape,
    before_head: Duration,
    answer: BodyShape,
}

fn exchange(random: &mut Random, number: usize) -> Exchange {
    let class = random.pick(&CLASSES);
    let is_write = class != "read" && random.chance(60);
    let is_short = random.chance(40);
    let shape = |random: &mut Random, framings: &[Framing], low: usize, high: usize| BodyShape {
        framing: random.pick(framings),
        salt: number,
        length: random.between(low, high),
        before_body: random.millis(0, if is_short { 0 } else { 900 }),
        piece_bytes: random.between(10_000, 80_000),
        between_pieces: random.millis(0, 20),
        pause_at: random.between(1, low),
        pause: random.millis(0, if is_short { 0 } else { 600 }),
    };
    let upload = is_write.then(|| {
        let (low, high) = if is_short { (10, 2_000) } else { (BUFFERED_BYTES + 1, 900_000) };
        shape(random, &[Framing::Length, Framing::Chunked], low, high)
    });
    // The answer to a long upload is short, so that it is timed by its last byte.
    let is_long = !is_short && upload.is_none();
    let (low, high) = if is_long { (BUFFERED_BYTES + 1, 250_000) } else { (1, 2_000) };
    let mut answer = shape(random, &[Framing::Length, Framing::Chunked, Framing::Close], low, high);
    if !is_long {
        answer.framing = Framing::Length;
        (answer.before_body, answer.pause) = (Duration::ZERO, Duration::ZERO);
    }
    let read = if random.chance(40) {
        ReadShape::Rate(random.between(150_000, 2_000_000))
    } else {
        ReadShape::AtOnce
    };
    Exchange {
        class,
        time_left: random.millis(700, 1500),
        upload,
        read,
        before_head: random.millis(0, 80),
        answer,
    }
}

type Exchanges = Arc<Mutex<BTreeMap<String, Exchange>>>;

fn serve_exchanges(exchanges: &Exchanges, records: &Records, peer: &mut Peer) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        let exchange = exchanges.lock().unwrap_or_else(PoisonError::into_inner)[&id].clone();
        if head[0].starts_with("put") && read_shaped(peer, &head, &exchange.read).is_none() {
            return;
        }
        records.add(NodeRecord { node: 0, id, received_at: Some(Instant::now()), answered_at: None });
        std::thread::sleep(exchange.before_head);
        let stream = peer.0.get_mut();
        let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n", exchange.answer.headers());
        let written = stream.write_all(head.as_bytes()).and_then(|()| exchange.answer.write(stream));
        if written.is_err() || exchange.answer.framing == Framing::Close {
            return;
        }
    }
}

/// What a client saw of one request.
#[derive(Debug)]
struct Request {
    id: String,
    exchange: Exchange,
    written_at: Instant,
    seen: Seen,
}

/// Sends one request on a connection; returns what its client saw, and whether the connection can be used on.
fn request(peer: &mut Peer, id: &str, exchange: &Exchange) -> (Instant, Seen, bool) {
    let method = if exchange.upload.is_some() { "PUT" } else { "GET" };
    let framing = exchange.upload.as_ref().map(BodyShape::headers).unwrap_or_default();
    let head = format!(
        "{method} /{}/{id} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         X-Time-Left: {:.3}\r\n{framing}\r\n",
        exchange.class,
        exchange.time_left.as_secs_f64(),
    );
    // The connection may have ended.
    let _ = peer.0.get_mut().write_all(head.as_bytes());
    let mut stream = peer.0.get_ref().try_clone().expect("a copy");
    let upload = exchange.upload.clone();
    let writer = std::thread::spawn(move || {
        let written = upload.map_or(Ok(()), |upload| upload.write(&mut stream));
        (Instant::now(), written.is_ok())
    });
    let seen = read_answer(peer);
    let is_usable = seen.status.is_some() && seen.is_whole && exchange.answer.framing != Framing::Close;
    if !is_usable {
        // Ends a writer that the proxy no longer reads from.
        let _ = peer.0.get_ref().shutdown(std::net::Shutdown::Both);
    }
    let (written_at, was_written) = writer.join().expect("a writer");
    (written_at, seen, is_usable && was_written)
}

/// A client that uses its connection for as long as it stays open, and then a new one.
fn run_client(
    addr: SocketAddr,
    name: &str,
    seed: u64,
    exchanges: &Exchanges,
    until: Instant,
) -> Vec<Request> {
    let mut random = Random::new(seed);
    let mut requests = Vec::new();
    let mut connection: Option<Peer> = None;
    let mut number = 0;
    while Instant::now() < until {
        let mut peer = connection.take().unwrap_or_else(|| Peer::to(addr));
        let (id, exchange) = (format!("{name}-{number}"), exchange(&mut random, number));
        exchanges.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone(), exchange.clone());
        number += 1;
        let (written_at, seen, is_usable) = request(&mut peer, &id, &exchange);
        requests.push(Request { id, exchange, written_at, seen });
        connection = is_usable.then_some(peer);
        std::thread::sleep(random.millis(0, 60));
    }
    requests
}

/// When the old process was told to stop, and when it ended.
#[derive(Clone, Copy, Debug)]
struct Stop {
    told_at: Instant,
    ended_at: Instant,
    was_killed: bool,
}

/// Returns what is wrong with a request, if anything is.
fn fault(request: &Request, stop: Stop, runs: usize) -> Option<String> {
    let Request { exchange, written_at, seen, .. } = request;
    // Of the keyed class nodes know a second copy.
    if exchange.class == "order" && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    let ended_by_kill = stop.was_killed
        && seen.ended_at + NOTICED_WITHIN > stop.ended_at
        && seen.ended_at < stop.ended_at + NOTICED_WITHIN;
    let Some(status) = seen.status else {
        let is_excused = ended_by_kill && *written_at < stop.told_at + STOP_SLACK;
        // A connection may be closed over a request that was not read.
        return (runs > 0 && !is_excused).then(|| "no answer, though a node has the request".to_owned());
    };
    let waited = seen.first_byte_at.saturating_duration_since(*written_at);
    if waited > exchange.time_left + SLACK {
        return Some(format!("status {status} after {waited:?}"));
    }
    let is_right = seen.is_whole && seen.body == body(exchange.answer.salt, exchange.answer.length);
    (status == 200 && !is_right && !ended_by_kill)
        .then(|| format!("{} of {} bytes", seen.body.len(), exchange.answer.length))
}

struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    discovery: SocketAddr,
    nodes: Vec<serde_json::Value>,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    fn new(seed: u64, exchanges: &Exchanges, records: &Records) -> Self {
        let folder = std::env::temp_dir().join(format!("aniseyoke-restarts-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let node = |name: &str, kind: &str| {
            let (exchanges, records) = (exchanges.clone(), records.clone());
            let addr = serve(Server::new(), move |peer| serve_exchanges(&exchanges, &records, peer));
            member(name, addr, kind, "ready")
        };
        let nodes = vec![node("c0", "std"), node("c1", "std"), node("o1", "origin")];
        let discovery = serve_list(&list(42, true, &nodes));
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        Platform { listener, folder, discovery, nodes }
    }

    fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    fn start(&self) -> Proxy {
        let mut config = config(self.discovery, &self.nodes);
        config["mgmt"] = json!("127.0.0.1:0");
        config["listen"] = json!(self.addr().to_string());
        for class in config["settings"]["categories"].as_array_mut().expect("classes") {
            class["promise_ns"] = json!(600_000_000u64);
            class["deadline_ns"] = json!(u64::try_from(DEADLINE.as_nanos()).expect("a number"));
            class["late_value"] = json!(0.0);
        }
        let socket = OwnedFd::from(self.listener.try_clone().expect("a copy"));
        let mut proxy = Proxy::with(&config, |command| {
            command.env("TMPDIR", &self.folder).env("PROXY_FD", "0").stdin(Stdio::from(socket));
        });
        let admin = proxy.admin_addr();
        until("ready", || call(admin, "GET", "/api/ready", "") == 200);
        proxy
    }
}

/// Sends the stop signals, and the kill at its earliest time.
fn stop(old: &mut Proxy, random: &mut Random) -> Stop {
    let process = Pid::from_raw(i32::try_from(old.child.id()).expect("an id"));
    let told_at = Instant::now();
    kill(process, Signal::SIGTERM).expect("sent");
    let mut further: Vec<_> = (0..random.between(0, 3))
        .map(|_| (random.millis(10, 900), random.pick(&[Signal::SIGTERM, Signal::SIGHUP])))
        .collect();
    further.sort_by_key(|(at, _)| *at);
    let kill_at = told_at + DEADLINE + KILL_MARGIN;
    loop {
        let now = Instant::now();
        if old.child.try_wait().expect("a state").is_some() {
            return Stop { told_at, ended_at: now, was_killed: false };
        }
        if now >= kill_at {
            kill(process, Signal::SIGKILL).expect("sent");
            old.child.wait().expect("its end");
            return Stop { told_at, ended_at: now, was_killed: true };
        }
        if further.first().is_some_and(|(at, _)| now >= told_at + *at) {
            let (_, signal) = further.remove(0);
            kill(process, signal).expect("sent");
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Connections that say nothing, as many as asked for.
fn crowd(addr: SocketAddr, count: usize) -> Vec<TcpStream> {
    let connect = |_| TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok();
    (0..count).filter_map(connect).collect()
}

fn play(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed ^ 0x0dd);
    let (exchanges, records) = (Exchanges::default(), Records::default());
    let platform = Platform::new(seed, &exchanges, &records);
    let mut old = platform.start();
    let addr = platform.addr();
    let _crowd = if random.chance(30) { crowd(addr, random.between(50, 150)) } else { Vec::new() };
    let running_until = Instant::now() + Duration::from_millis(1500) + DEADLINE + KILL_MARGIN + AFTER_KILL;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let exchanges = exchanges.clone();
            let client_seed = random.next();
            std::thread::spawn(move || {
                run_client(addr, &format!("r{seed}-{number}"), client_seed, &exchanges, running_until)
            })
        })
        .collect();
    std::thread::sleep(random.millis(500, 1200));
    let _new = platform.start();
    let stop = stop(&mut old, &mut random);
    let requests: Vec<_> = clients.into_iter().flat_map(|client| client.join().expect("a client")).collect();
    let served = requests.iter().filter(|request| request.seen.status == Some(200)).count();
    assert!(2 * served > requests.len(), "seed {seed}: {served} of {} requests served", requests.len());
    let mut ids = BTreeSet::new();
    let faults = requests.iter().filter_map(|request| {
        assert!(ids.insert(&request.id));
        let fault = fault(request, stop, records.of(&request.id).len())?;
        let told = request.written_at.saturating_duration_since(stop.told_at);
        Some(format!("{}: {fault}: written {told:?} after the signal: {:?}", request.id, request.exchange))
    });
    faults.collect()
}

/// Guards against long bodies that are cut off, come late or run twice while the process is replaced.
#[test]
fn long_bodies_survive_an_upgrade_of_the_process() {
    let seeds: Vec<_> = seeds(SEEDS_VARIABLE, 1..7).collect();
    for batch in seeds.chunks(3) {
        let plays: Vec<_> = batch
            .iter()
            .map(|seed| {
                let seed = *seed;
                std::thread::spawn(move || play(seed))
            })
            .collect();
        let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
        assert!(faults.is_empty(), "{} requests:\n{}", faults.len(), faults.join("\n"));
    }
}
