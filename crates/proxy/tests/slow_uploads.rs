//! Long requests that nodes read slowly, in shapes that a seed draws. The time of a request counts from the moment
//! in which its client has written the last byte, wherever that byte waits: here, in the client's own machine.
//! `ANISEYOKE_BODY_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_BODY_SEEDS";
const CLIENTS: usize = 10;
/// An answer that comes later than this after its client's time is a lost request.
const SLACK: Duration = Duration::from_millis(550);
/// A node that has answered this long before the end of the client's time has answered in time.
const IN_TIME: Duration = Duration::from_millis(250);

/// One request with a long body, and how its node reads it.
#[derive(Clone, Debug)]
struct Exchange {
    class: &'static str,
    time_left: Duration,
    starts_after: Duration,
    upload: BodyShape,
    read: ReadShape,
    before_answer: Duration,
}

fn exchange(random: &mut Random, number: usize) -> Exchange {
    let length = match random.between(0, 9) {
        0..=2 => random.between(BUFFERED_BYTES + 1, 300_000),
        3..=5 => random.between(300_000, 1_000_000),
        6..=8 => random.between(1_000_000, 3_000_000),
        _ => random.between(5_000_000, 12_000_000),
    };
    let slow_client = random.chance(30);
    let length = if slow_client { length.min(250_000) } else { length };
    let upload = BodyShape {
        framing: random.pick(&[Framing::Length, Framing::Chunked]),
        salt: number,
        length,
        before_body: random.millis(0, 100),
        piece_bytes: if slow_client { random.between(2_000, 8_000) } else { random.between(8_000, 200_000) },
        between_pieces: if slow_client { random.millis(20, 60) } else { Duration::ZERO },
        pause_at: random.between(1, length),
        pause: if random.chance(20) { random.millis(200, 1200) } else { Duration::ZERO },
    };
    let read = match random.between(0, 4) {
        0 => ReadShape::AtOnce,
        1 => ReadShape::Rate(random.between(30_000.max(length / 6), 600_000.max(length))),
        2 => ReadShape::Rate(random.between(length / 4, 3 * length)),
        3 => ReadShape::Pause { at: random.between(1, length), pause: random.millis(300, 3000) },
        _ => ReadShape::Stop { at: random.between(1, length) },
    };
    Exchange {
        class: random.pick(&["set", "order"]),
        time_left: random.millis(600, 1500),
        starts_after: random.millis(0, 500),
        upload,
        read,
        before_answer: random.millis(0, 300),
    }
}

fn serve_exchanges(node: usize, exchanges: &BTreeMap<String, Exchange>, records: &Records, peer: &mut Peer) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        let exchange = &exchanges[&id];
        let received = read_shaped(peer, &head, &exchange.read);
        let mut record = NodeRecord { node, id, received_at: None, answered_at: None };
        if let Some(received) = &received {
            assert!(received == &body(exchange.upload.salt, exchange.upload.length), "a changed body");
            record.received_at = Some(Instant::now());
            std::thread::sleep(exchange.before_answer);
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored";
            record.answered_at =
                std::io::Write::write_all(peer.0.get_mut(), answer).is_ok().then(Instant::now);
        }
        records.add(record);
        if received.is_none() {
            return;
        }
    }
}

/// What a client saw, and when it had written its head and its last byte.
struct Upload {
    id: String,
    exchange: Exchange,
    began_at: Instant,
    written_at: Instant,
    seen: Seen,
}

fn upload(addr: std::net::SocketAddr, id: String, exchange: Exchange) -> Upload {
    std::thread::sleep(exchange.starts_after);
    let mut client = Peer::to(addr);
    client.write(&format!(
        "PUT /{}/{id} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n\
         X-Time-Left: {:.3}\r\n{}\r\n",
        exchange.class,
        exchange.time_left.as_secs_f64(),
        exchange.upload.headers()
    ));
    let began_at = Instant::now();
    let mut stream = client.0.get_ref().try_clone().expect("a copy");
    let shape = exchange.upload.clone();
    let writer = std::thread::spawn(move || {
        // An answer may come before the whole body, and end the connection.
        let _ = shape.write(&mut stream);
        Instant::now()
    });
    let seen = read_answer(&mut client);
    drop(client);
    Upload { id, exchange, began_at, written_at: writer.join().expect("a writer"), seen }
}

/// Returns what is wrong with the answer to an upload, if anything is.
fn fault(upload: &Upload, records: &[NodeRecord]) -> Option<String> {
    let Upload { exchange, written_at, seen, .. } = upload;
    let waited = seen.ended_at.saturating_duration_since(*written_at);
    let Some(status) = seen.status else { return Some(format!("no answer after {waited:?}")) };
    if waited > exchange.time_left + SLACK {
        return Some(format!("status {status}, {waited:?} after the last byte was written"));
    }
    // A refusal says that trying again is harmless; for the keyed class it is, as nodes know the key.
    let refused = matches!(status, 429 | 503) && exchange.class == "order";
    if refused && records.iter().any(|record| record.received_at.is_some()) {
        return Some(format!("status {status}, but its node has the whole request"));
    }
    // While a node reads nothing the proxy can't see what its client does, and its time may begin with the head.
    let time_begins = if matches!(exchange.read, ReadShape::AtOnce) { *written_at } else { upload.began_at };
    let answered_at = records.iter().filter_map(|record| record.answered_at).min();
    let in_time = answered_at.is_some_and(|at| at + IN_TIME <= time_begins + exchange.time_left);
    (in_time && status != 200).then(|| format!("status {status}, but its node has answered in time"))
}

fn play(seed: u64) -> Vec<String> {
    let mut random = Random::new(seed);
    let exchanges: BTreeMap<_, _> =
        (0..CLIENTS).map(|n| (format!("up-{seed}-{n}"), exchange(&mut random, n))).collect();
    let (records, shared) = (Records::default(), Arc::new(exchanges.clone()));
    let node_records = records.clone();
    let origin = serve(Server::new(), move |peer| serve_exchanges(0, &shared, &node_records, peer));
    let discovery = Server::new();
    let mut config = config(discovery.addr, &[member("o1", origin, "origin", "ready")]);
    for class in config["settings"]["categories"].as_array_mut().expect("classes") {
        class["promise_ns"] = json!(800_000_000u64);
        class["deadline_ns"] = json!(1_500_000_000u64);
    }
    let proxy = Proxy::new(&config);
    let addr = proxy.addr;
    let uploads: Vec<_> = exchanges
        .into_iter()
        .map(|(id, exchange)| std::thread::spawn(move || upload(addr, id, exchange)))
        .collect();
    let uploads: Vec<_> = uploads.into_iter().map(|upload| upload.join().expect("a client")).collect();
    let faults = uploads.iter().filter_map(|upload| {
        let fault = fault(upload, &records.of(&upload.id))?;
        Some(format!("{}: {fault}: {:?}", upload.id, upload.exchange))
    });
    faults.collect()
}

/// Guards against an answer that comes seconds after its time since a node reads a long request slowly.
#[test]
fn long_requests_are_answered_in_time_however_slowly_their_nodes_read_them() {
    let plays: Vec<_> =
        seeds(SEEDS_VARIABLE, 1..7).map(|seed| std::thread::spawn(move || play(seed))).collect();
    let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(faults.is_empty(), "{} answers:\n{}", faults.len(), faults.join("\n"));
}

/// A proxy before two nodes, of which each gets the writes of its keys.
struct TwoNodes {
    proxy: Proxy,
    records: Records,
    exchanges: Arc<BTreeMap<String, Exchange>>,
    _discovery: Server,
}

impl TwoNodes {
    fn new(exchanges: BTreeMap<String, Exchange>) -> Self {
        let (records, exchanges) = (Records::default(), Arc::new(exchanges));
        let listed = [0, 1].map(|node| {
            let (exchanges, records) = (exchanges.clone(), records.clone());
            let addr = serve(Server::new(), move |peer| serve_exchanges(node, &exchanges, &records, peer));
            member(&format!("c{node}"), addr, "std", "ready")
        });
        let discovery = Server::new();
        let mut config = config(discovery.addr, &listed);
        config["settings"]["family_info"] = json!({"mode": "fetch", "origin_kind": 1});
        for class in config["settings"]["categories"].as_array_mut().expect("classes") {
            class["promise_ns"] = json!(500_000_000u64);
        }
        TwoNodes { proxy: Proxy::new(&config), records, exchanges, _discovery: discovery }
    }

    fn upload(&self, id: &str) -> Upload {
        upload(self.proxy.addr, id.to_owned(), self.exchanges[id].clone())
    }
}

/// Guards against a node that is ejected since it reads a long request slowly.
#[test]
fn a_node_that_reads_a_long_request_slowly_stays_in_use() {
    const SHORT_WRITES: usize = 40;
    let exchange = |length, read| Exchange {
        class: "order",
        time_left: Duration::from_millis(700),
        starts_after: Duration::ZERO,
        upload: BodyShape {
            framing: Framing::Length,
            salt: 0,
            length,
            before_body: Duration::ZERO,
            piece_bytes: 100_000,
            between_pieces: Duration::ZERO,
            pause_at: 1,
            pause: Duration::ZERO,
        },
        read,
        before_answer: Duration::ZERO,
    };
    let short = exchange(10, ReadShape::AtOnce);
    // A node accepts bytes in lumps, and may accept none for a good part of the client's time.
    let pause = ReadShape::Pause { at: 50_000, pause: Duration::from_millis(1200) };
    for read in [ReadShape::Rate(200_000), pause] {
        let mut exchanges = BTreeMap::from([("slow".to_owned(), exchange(550_000, read.clone()))]);
        exchanges.extend((0..SHORT_WRITES).map(|n| (format!("short-{n}"), short.clone())));
        let play = TwoNodes::new(exchanges);
        let status = play.upload("slow").seen.status;
        assert!(status.is_some_and(|status| status >= 500), "{read:?}: {status:?}");
        for number in 0..SHORT_WRITES {
            assert_eq!(play.upload(&format!("short-{number}")).seen.status, Some(200));
        }
        until("the slow one has ended", || !play.records.of("slow").is_empty());
        let slow_node = play.records.of("slow")[0].node;
        let writes = play.records.all().iter().filter(|record| record.node == slow_node).count();
        assert!(writes > 1, "{read:?}: its node got none of {SHORT_WRITES} short writes");
    }
}

/// Guards against a node that is ejected since a client is slow to write a long request to it.
#[test]
fn a_node_that_waits_for_the_rest_of_a_long_request_stays_in_use() {
    const SHORT_WRITES: usize = 40;
    /// The request is long enough to be sent on by then, and a hedged one would be due.
    const SENT_AFTER: Duration = Duration::from_millis(1300);
    let exchange = |length| Exchange {
        class: "set",
        time_left: Duration::from_millis(700),
        starts_after: Duration::ZERO,
        upload: BodyShape {
            framing: Framing::Chunked,
            salt: 0,
            length,
            before_body: Duration::ZERO,
            piece_bytes: 4_000,
            between_pieces: Duration::from_millis(50),
            pause_at: 1,
            pause: Duration::ZERO,
        },
        read: ReadShape::AtOnce,
        before_answer: Duration::ZERO,
    };
    let mut exchanges = BTreeMap::from([("slow".to_owned(), exchange(200_000))]);
    exchanges.extend((0..SHORT_WRITES).map(|n| (format!("short-{n}"), exchange(10))));
    let play = TwoNodes::new(exchanges);
    let (addr, slow) = (play.proxy.addr, play.exchanges["slow"].clone());
    let slow = std::thread::spawn(move || upload(addr, "slow".to_owned(), slow));
    std::thread::sleep(SENT_AFTER);
    for number in 0..SHORT_WRITES {
        assert_eq!(play.upload(&format!("short-{number}")).seen.status, Some(200));
    }
    assert!(play.records.of("slow").is_empty(), "the slow request has ended too soon");
    assert_eq!(slow.join().expect("a client").seen.status, Some(200));
    for node in 0..2 {
        let of_node = play.records.all().into_iter().filter(|record| record.node == node);
        let short_writes = of_node.filter(|record| record.id.starts_with("short")).count();
        assert!(short_writes > 0, "node {node} got none of {SHORT_WRITES} short writes");
    }
}
