//! Nodes that write the heads of their answers in pieces: where they are cut, how long the pauses are, what the node
//! does before and how the body follows, as a seed draws.
#![allow(dead_code)]

use crate::bodies::*;
use crate::rig::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How much of a client's time is left at least when its answer ends, for a busy machine.
const SPARE_TIME: Duration = Duration::from_millis(350);
/// Interim answers that may come before a head.
const INTERIM: [&str; 3] = [
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 102 Processing\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n",
];

/// A text that is written with a pause behind each of its pieces but the last.
#[derive(Clone, Debug)]
pub struct Pieces {
    pub text: String,
    /// The offsets of the cuts, in order, each with the pause there.
    pub cuts: Vec<(usize, Duration)>,
}

impl Pieces {
    /// Cuts a text at drawn places; the pauses add up to `pauses`.
    fn draw(random: &mut Random, text: String, pauses: Duration) -> Self {
        let count = if random.chance(20) { random.between(10, 25) } else { random.between(1, 4) };
        let offsets: BTreeSet<usize> = (0..count).map(|_| draw_cut(random, &text)).collect();
        let weights: Vec<f64> = offsets.iter().map(|_| random.between(1, 100) as f64).collect();
        let sum: f64 = weights.iter().sum();
        let cuts = offsets.into_iter().zip(weights);
        let cuts = cuts.map(|(offset, weight)| (offset, pauses.mul_f64(weight / sum))).collect();
        Pieces { text, cuts }
    }

    pub fn write(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let mut written = 0;
        for (offset, pause) in &self.cuts {
            stream.write_all(&self.text.as_bytes()[written..*offset])?;
            written = *offset;
            std::thread::sleep(*pause);
        }
        stream.write_all(&self.text.as_bytes()[written..])
    }
}

/// Draws a place inside a text: anywhere, in its first line, between CR and LF, or in the empty line at its end.
fn draw_cut(random: &mut Random, text: &str) -> usize {
    let line_ends: Vec<usize> = text.match_indices('\r').map(|(offset, _)| offset + 1).collect();
    match random.between(0, 3) {
        0 => random.between(1, text.len() - 1),
        1 => random.between(1, line_ends[0]),
        2 => random.pick(&line_ends),
        _ => random.between(text.len() - 3, text.len() - 1),
    }
}

/// What the first node does that gets a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FirstNode {
    Answers,
    /// It closes the connection once it has read the request.
    Breaks,
}

/// One request, and the answer that its nodes give to it.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub method: &'static str,
    pub class: &'static str,
    pub time_left: Duration,
    pub starts_after: Duration,
    pub first_node: FirstNode,
    pub before_head: Duration,
    /// The interim answers and the head.
    pub head: Pieces,
    pub answer: BodyShape,
    /// The one node that gives slowly; `None`: all do.
    pub slow_node: Option<usize>,
}

impl Exchange {
    /// Draws an exchange whose answer comes in its client's time.
    pub fn draw(random: &mut Random, number: usize, nodes: usize) -> Self {
        let time_left = random.millis(900, 1500);
        let before_head = random.millis(0, 60);
        let is_long = random.chance(60);
        let length =
            if is_long { random.between(BUFFERED_BYTES + 1, 300_000) } else { random.between(1, 4000) };
        let pauses = (time_left - before_head - SPARE_TIME).mul_f64(random.between(50, 100) as f64 / 100.0);
        // Of a short answer the last byte is timed.
        let in_head = if is_long { 1.0 } else { random.between(30, 100) as f64 / 100.0 };
        let answer = BodyShape {
            framing: random.pick(&[Framing::Length, Framing::Chunked, Framing::Close]),
            salt: number,
            length,
            before_body: if is_long { random.millis(0, 300) } else { pauses.mul_f64(1.0 - in_head) },
            piece_bytes: random.between(4_000, 80_000),
            between_pieces: if is_long { random.millis(0, 10) } else { Duration::ZERO },
            pause_at: 1,
            pause: Duration::ZERO,
        };
        let interim: String = (0..random.between(0, 2)).map(|_| random.pick(&INTERIM)).collect();
        let head = format!("{interim}HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n", answer.headers());
        let class = random.pick(&["read", "set", "order"]);
        // The first request alone finds a budget for a retry: hedged requests use it too.
        let may_break = class != "order" && number == 0;
        Exchange {
            method: if class == "read" { "GET" } else { random.pick(&["GET", "PUT"]) },
            class,
            time_left,
            starts_after: if may_break { Duration::ZERO } else { random.millis(30, 800) },
            first_node: if may_break { FirstNode::Breaks } else { FirstNode::Answers },
            before_head,
            head: Pieces::draw(random, head, pauses.mul_f64(in_head)),
            answer,
            slow_node: random.chance(30).then(|| random.between(0, nodes - 1)),
        }
    }

    /// Draws exchanges, by their ids.
    pub fn draw_all(seed: u64, count: usize, nodes: usize) -> BTreeMap<String, Exchange> {
        let mut random = Random::new(seed ^ 0x4ead);
        (0..count).map(|n| (format!("head-{seed}-{n}"), Self::draw(&mut random, n, nodes))).collect()
    }

    /// Whether a node gives this answer slowly.
    fn is_slow_at(&self, node: usize) -> bool {
        self.slow_node.is_none_or(|slow| slow == node)
    }

    fn write(&self, node: usize, stream: &mut TcpStream) -> std::io::Result<()> {
        if self.is_slow_at(node) {
            std::thread::sleep(self.before_head);
            self.head.write(stream)?;
            return self.answer.write(stream);
        }
        let quick = BodyShape {
            before_body: Duration::ZERO,
            between_pieces: Duration::ZERO,
            pause: Duration::ZERO,
            ..self.answer.clone()
        };
        stream.write_all(self.head.text.as_bytes())?;
        quick.write(stream)
    }

    /// Sends the request at its time; returns when it was sent and what came.
    pub fn ask(&self, id: &str, addr: SocketAddr) -> (Instant, Seen) {
        std::thread::sleep(self.starts_after);
        let mut client = Peer::to(addr);
        let body = if self.method == "PUT" { "value" } else { "" };
        let length =
            if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        let headers =
            format!("X-Time-Left: {:.3}\r\nIdempotency-Key: {id}\r\n{length}", self.time_left.as_secs_f64());
        let request = get_as(id, self.class, &headers).replacen("GET", self.method, 1);
        client.write(&format!("{request}{body}"));
        let sent_at = Instant::now();
        (sent_at, read_answer(&mut client))
    }

    /// Returns what is wrong with an answer, if anything is.
    pub fn fault(&self, id: &str, sent_at: Instant, seen: &Seen, records: &Records) -> Option<String> {
        let first_byte = seen.first_byte_at - sent_at;
        if seen.status != Some(200) {
            return Some(format!("status {:?} after {first_byte:?}", seen.status));
        }
        if !seen.is_whole || seen.body != body(self.answer.salt, self.answer.length) {
            return Some(format!("{} of {} bytes", seen.body.len(), self.answer.length));
        }
        let is_long = self.answer.length > BUFFERED_BYTES;
        let timed = if is_long { first_byte } else { seen.ended_at - sent_at };
        if timed > self.time_left {
            return Some(format!("after {timed:?}"));
        }
        let runs = records.of(id).len();
        (self.class == "order" && runs > 1).then(|| format!("ran {runs} times"))
    }
}

/// Requests that a node has read already.
#[derive(Clone, Default)]
struct Begun(Arc<Mutex<BTreeSet<String>>>);

impl Begun {
    /// Returns whether this is the first time that a node reads the request.
    fn is_first(&self, id: &str) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned())
    }
}

/// Starts nodes that serve these exchanges by their ids, and other requests at once; the last node is for the origin.
pub fn start_nodes(
    count: usize,
    exchanges: &BTreeMap<String, Exchange>,
    records: &Records,
) -> Vec<SocketAddr> {
    let (exchanges, begun) = (Arc::new(exchanges.clone()), Begun::default());
    let start = |node| {
        let (exchanges, begun, records) = (exchanges.clone(), begun.clone(), records.clone());
        serve(Server::new(), move |peer| serve_exchanges(node, &exchanges, &begun, &records, peer))
    };
    (0..count).map(start).collect()
}

fn serve_exchanges(
    node: usize,
    exchanges: &BTreeMap<String, Exchange>,
    begun: &Begun,
    records: &Records,
    peer: &mut Peer,
) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        if header(&head, "content-length").is_some_and(|length| length != "0")
            && read_shaped(peer, &head, &ReadShape::AtOnce).is_none()
        {
            return;
        }
        let received_at = Some(Instant::now());
        records.add(NodeRecord { node, id: id.clone(), received_at, answered_at: None });
        let Some(exchange) = exchanges.get(&id) else {
            peer.reply("200 OK", "X-Lookup: hit\r\n", "short");
            continue;
        };
        if begun.is_first(&id) && exchange.first_node == FirstNode::Breaks {
            return;
        }
        let written = exchange.write(node, peer.0.get_mut());
        if written.is_err() || exchange.answer.framing == Framing::Close {
            return;
        }
    }
}

/// Sends all requests at their times to the address; returns what is wrong with their answers.
pub fn play(exchanges: &BTreeMap<String, Exchange>, addr: SocketAddr, records: &Records) -> Vec<String> {
    let clients: Vec<_> = exchanges
        .iter()
        .map(|(id, exchange)| {
            let (id, exchange) = (id.clone(), exchange.clone());
            std::thread::spawn(move || {
                let (sent_at, seen) = exchange.ask(&id, addr);
                (id, exchange, sent_at, seen)
            })
        })
        .collect();
    let seen = clients.into_iter().map(|client| client.join().expect("a client"));
    seen.filter_map(|(id, exchange, sent_at, seen)| {
        let fault = exchange.fault(&id, sent_at, &seen, records)?;
        Some(format!("{id}: {fault}: {exchange:?}"))
    })
    .collect()
}
