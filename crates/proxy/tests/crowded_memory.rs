//! Hundreds of clients at once that write slowly, stop half way, send heads of many short fields or read slowly: the
//! process stays within its memory limit. `ANISEYOKE_CROWD_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_CROWD_SEEDS";
/// The least memory that a proxy gets, in megabytes.
const MEMORY_MB: usize = 32;
/// How long the crowd goes on.
const CROWD_TIME: Duration = Duration::from_millis(3500);
const STEP: Duration = Duration::from_millis(10);

/// What one client of the crowd does.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    /// Writes a long request a few bytes at a time.
    SlowWriter,
    /// Stops in the middle of a long request.
    Stopper,
    /// Writes a head of many short fields, and stops before its end or waits for the answer.
    ManyFields,
    /// Asks for a long answer and reads a few bytes at a time.
    SlowReader,
    /// Asks for a long answer with a head of the greatest length, and reads nothing.
    NonReader,
}

/// A client of the crowd on a connection that doesn't block.
struct Member {
    stream: TcpStream,
    to_write: Vec<u8>,
    written: usize,
    write_step: usize,
    read_step: usize,
}

impl Member {
    fn new(
        addr: SocketAddr,
        seed: u64,
        number: usize,
        behaviour: Behaviour,
        random: &mut Random,
    ) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
        stream.set_nonblocking(true).ok()?;
        let id = format!("crowd-{seed}-{number}");
        let length = random.between(BUFFERED_BYTES / 2, 400_000);
        let head = format!("Host: a\r\nX-Correlation-Id: {id}\r\nIdempotency-Key: {id}\r\n");
        let put = |framing: &str| format!("PUT /set/{id} HTTP/1.1\r\n{head}{framing}\r\n\r\n");
        let mut to_write = match behaviour {
            Behaviour::SlowWriter | Behaviour::Stopper if random.chance(50) => {
                put(&format!("Content-Length: {length}")).into_bytes()
            }
            Behaviour::SlowWriter | Behaviour::Stopper => {
                format!("{}{length:x}\r\n", put("Transfer-Encoding: chunked")).into_bytes()
            }
            Behaviour::ManyFields => {
                let fields: String =
                    (0..random.between(50, 4000)).map(|n| format!("{}:\r\n", n % 1000)).collect();
                let end = if random.chance(50) { "\r\n" } else { "" };
                format!("GET /read/{id} HTTP/1.1\r\n{head}{fields}{end}").into_bytes()
            }
            Behaviour::SlowReader | Behaviour::NonReader => {
                let fullest = behaviour == Behaviour::NonReader;
                let value = "x".repeat(if fullest { 140 } else { random.between(0, 140) });
                let count = if fullest { 90 } else { random.between(0, 90) };
                let fields: String = (0..count).map(|n| format!("f{n}: {value}\r\n")).collect();
                format!("GET /read/{id} HTTP/1.1\r\n{head}{fields}\r\n").into_bytes()
            }
        };
        let (write_step, read_step) = match behaviour {
            Behaviour::SlowWriter => (random.between(200, 3000), 4096),
            Behaviour::ManyFields => (random.between(50, 20_000), 4096),
            Behaviour::SlowReader => (to_write.len(), random.between(0, 600)),
            Behaviour::NonReader => (to_write.len(), 0),
            Behaviour::Stopper => (length, 4096),
        };
        match behaviour {
            Behaviour::SlowWriter => to_write.resize(to_write.len() + length, b'x'),
            Behaviour::Stopper => to_write.resize(to_write.len() + random.between(1, length - 1), b'x'),
            _ => {}
        }
        Some(Member { stream, to_write, written: 0, write_step, read_step })
    }

    /// Writes and reads a little; returns false once the connection has ended.
    fn step(&mut self) -> bool {
        let end = self.to_write.len().min(self.written + self.write_step);
        if self.written < end {
            match self.stream.write(&self.to_write[self.written..end]) {
                Ok(count) => self.written += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
        }
        let mut bytes = vec![0; self.read_step];
        match self.stream.read(&mut bytes) {
            Ok(0) => bytes.is_empty(),
            Ok(_) => true,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// Returns the peak memory of a process, in kilobytes.
fn peak_memory_kb(process: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

/// Serves answers of 64 KiB to 1 MB, as fast as they are taken; `chunks` of seeds decide the framing.
fn long_answers(seed: u64, peer: &mut Peer) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        if read_shaped(peer, &head, &ReadShape::AtOnce).is_none() && head[0].starts_with("put") {
            return;
        }
        let mut random = Random::new(seed ^ id.bytes().map(u64::from).sum::<u64>());
        let length = random.between(BUFFERED_BYTES / 2, 1_000_000);
        let answer = BodyShape {
            framing: random.pick(&[Framing::Length, Framing::Chunked, Framing::Close]),
            salt: 0,
            length,
            before_body: Duration::ZERO,
            piece_bytes: random.between(3_000, 60_000),
            between_pieces: Duration::ZERO,
            pause_at: 1,
            pause: Duration::ZERO,
        };
        let stream = peer.0.get_mut();
        let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n", answer.headers());
        let written = stream.write_all(head.as_bytes()).and_then(|()| answer.write(stream));
        if written.is_err() || answer.framing == Framing::Close {
            return;
        }
    }
}

/// Plays one crowd; returns the peak of the proxy's memory.
fn play(seed: u64, behaviours: &[Behaviour], count: usize, sockets: usize) -> usize {
    let mut random = Random::new(seed);
    let node = serve(Server::new(), move |peer| long_answers(seed, peer));
    let origin = serve(Server::new(), move |peer| long_answers(seed, peer));
    let discovery = Server::new();
    let listed = [member("c1", node, "std", "ready"), member("o1", origin, "origin", "ready")];
    let mut config = config(discovery.addr, &listed);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": sockets});
    let proxy = Proxy::new(&config);
    let mut members: Vec<_> = (0..count)
        .filter_map(|n| Member::new(proxy.addr, seed, n, random.pick(behaviours), &mut random))
        .collect();
    assert!(members.len() > count / 2, "only {} clients could connect", members.len());
    let until = Instant::now() + CROWD_TIME;
    while Instant::now() < until {
        members.retain_mut(Member::step);
        std::thread::sleep(STEP);
    }
    drop(members);
    let peak = peak_memory_kb(proxy.child.id());
    // It still serves.
    until_healthy(&proxy);
    peak
}

fn until_healthy(proxy: &Proxy) {
    until("the proxy serves again", || proxy.health() == 200);
}

fn expect_within_limit(seed: u64, behaviours: &[Behaviour]) {
    let mut random = Random::new(seed ^ 0xc0de);
    let count = random.between(300, 600);
    let sockets = random.pick(&[512, 1024]);
    let peak = play(seed, behaviours, count, sockets);
    eprintln!("seed {seed}: {count} clients, {sockets} descriptors, {behaviours:?}: {peak} kB at the peak");
    assert!(peak < MEMORY_MB << 10, "seed {seed}: {peak} kB, {count} clients, {sockets} descriptors");
}

#[test]
fn a_crowd_of_slow_writers_stays_within_the_memory_limit() {
    seeds(SEEDS_VARIABLE, 1..3).for_each(|seed| expect_within_limit(seed, &[Behaviour::SlowWriter]));
}

#[test]
fn a_crowd_that_stops_half_way_stays_within_the_memory_limit() {
    seeds(SEEDS_VARIABLE, 1..3).for_each(|seed| expect_within_limit(seed, &[Behaviour::Stopper]));
}

#[test]
fn a_crowd_with_heads_of_many_fields_stays_within_the_memory_limit() {
    seeds(SEEDS_VARIABLE, 1..3).for_each(|seed| expect_within_limit(seed, &[Behaviour::ManyFields]));
}

#[test]
fn a_crowd_of_slow_readers_stays_within_the_memory_limit() {
    seeds(SEEDS_VARIABLE, 1..4).for_each(|seed| expect_within_limit(seed, &[Behaviour::SlowReader]));
}

#[test]
fn a_crowd_that_reads_nothing_stays_within_the_memory_limit() {
    seeds(SEEDS_VARIABLE, 1..3).for_each(|seed| expect_within_limit(seed, &[Behaviour::NonReader]));
}

#[test]
fn a_mixed_crowd_stays_within_the_memory_limit() {
    let all = [Behaviour::SlowWriter, Behaviour::Stopper, Behaviour::ManyFields, Behaviour::SlowReader];
    seeds(SEEDS_VARIABLE, 1..4).for_each(|seed| expect_within_limit(seed, &all));
}
