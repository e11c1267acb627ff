//! One client that sends small or unsound requests on one connection at full speed, under ever new names: others get
//! their answers in time, and memory does not grow without end. `ANISEYOKE_FLOOD_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_FLOOD_SEEDS";
const MEMORY_MB: usize = 32;
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// How long the other clients wait for their answers.
const TIME_LEFT: Duration = Duration::from_secs(1);
/// An answer that comes later than this after its client's time is a lost request.
const SLACK: Duration = Duration::from_millis(550);
/// The pause between two requests of an other client.
const PAUSE: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug)]
enum Kind {
    Health,
    Read,
    NoClass,
    NoId,
    BadTime,
    ManyFields,
    Noise,
}

const KINDS: [Kind; 7] =
    [Kind::Health, Kind::Read, Kind::NoClass, Kind::NoId, Kind::BadTime, Kind::ManyFields, Kind::Noise];

fn request(kind: Kind, name: u64) -> String {
    let id = format!("X-Correlation-Id: flood-{name:x}\r\nX-Account: tenant-{name:x}\r\n");
    match kind {
        Kind::Health => "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n".to_owned(),
        Kind::Read => format!("GET /read/{name:016x} HTTP/1.1\r\nHost: a\r\n{id}\r\n"),
        Kind::NoClass => format!("GET /c{name:x}/1 HTTP/1.1\r\nHost: a\r\n{id}\r\n"),
        Kind::NoId => format!("GET /read/{name:016x} HTTP/1.1\r\nHost: a\r\n\r\n"),
        Kind::BadTime => format!("GET /read/1 HTTP/1.1\r\nHost: a\r\n{id}X-Time-Left: x{name:x}\r\n\r\n"),
        Kind::ManyFields => {
            let fields: String = (0..80).map(|n| format!("n{n}-{name:x}: 1\r\n")).collect();
            format!("GET /read/{name:016x} HTTP/1.1\r\nHost: a\r\n{id}{fields}\r\n")
        }
        Kind::Noise => format!("{name:x}\0\u{1}{name:x}\r\n\r\n"),
    }
}

/// Sends requests at full speed on one connection after the other until `stop`; returns their number.
fn flood(addr: SocketAddr, seed: u64, kinds: &[Kind], stop: &AtomicBool) -> usize {
    let mut random = Random::new(seed);
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut stream) = TcpStream::connect(addr) else { continue };
        let mut reader = stream.try_clone().expect("a copy");
        let drain = std::thread::spawn(move || {
            let mut bytes = vec![0; 64 << 10];
            while reader.read(&mut bytes).is_ok_and(|count| count > 0) {}
        });
        while !stop.load(Ordering::Relaxed) {
            let batch = random.between(1, 200);
            let text: String = (0..batch).map(|_| request(random.pick(kinds), random.next())).collect();
            if stream.write_all(text.as_bytes()).is_err() {
                break;
            }
            sent += batch;
        }
        let _ = stream.shutdown(std::net::Shutdown::Both);
        drain.join().expect("a reader");
    }
    sent
}

fn resident_kb(process: u32, field: &str) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("a status");
    let line = status.lines().find(|line| line.starts_with(field)).expect("a line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
}

fn play(seed: u64, kinds: &[Kind]) {
    let node = serve(Server::new(), |peer| {
        while read_head(peer).is_some() {
            if peer
                .0
                .get_mut()
                .write_all(b"HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: 2\r\n\r\nok")
                .is_err()
            {
                return;
            }
        }
    });
    let discovery = Server::new();
    let mut config = config(discovery.addr, &[member("c1", node, "std", "ready")]);
    config["limits"] = json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 512});
    let proxy = Proxy::new(&config);
    let stop = Arc::new(AtomicBool::new(false));
    let (addr, stopped, flood_kinds) = (proxy.addr, stop.clone(), kinds.to_vec());
    let flooder = std::thread::spawn(move || flood(addr, seed, &flood_kinds, &stopped));
    let late = Arc::new(AtomicUsize::new(0));
    let others: Vec<_> = (0..6)
        .map(|n| {
            let late = late.clone();
            std::thread::spawn(move || {
                let until = Instant::now() + FLOOD_TIME;
                let (mut asked, mut longest) = (0, Duration::ZERO);
                while Instant::now() < until {
                    let mut client = Peer::to(addr);
                    for _ in 0..4 {
                        let headers = format!("X-Time-Left: {:.1}\r\n", TIME_LEFT.as_secs_f64());
                        client.write(&get_as(&format!("other-{seed}-{n}-{asked}"), "read", &headers));
                        let sent_at = Instant::now();
                        let seen = read_answer(&mut client);
                        asked += 1;
                        longest = longest.max(sent_at.elapsed());
                        if seen.status.is_none() || sent_at.elapsed() > TIME_LEFT + SLACK {
                            late.fetch_add(1, Ordering::Relaxed);
                        }
                        std::thread::sleep(PAUSE);
                        if seen.status != Some(200) {
                            break;
                        }
                    }
                }
                longest
            })
        })
        .collect();
    let longest = others.into_iter().map(|other| other.join().expect("a client")).max();
    stop.store(true, Ordering::Relaxed);
    let sent = flooder.join().expect("the flood");
    let peak = resident_kb(proxy.child.id(), "VmHWM");
    eprintln!("seed {seed}, {kinds:?}: {sent} sent, others waited {longest:?}, {peak} kB");
    assert_eq!(
        late.load(Ordering::Relaxed),
        0,
        "seed {seed}, {kinds:?}: late answers to others, {longest:?}"
    );
    assert!(peak < MEMORY_MB << 10, "seed {seed}, {kinds:?}: {peak} kB");
}

/// Guards against a client at full speed that takes all of the proxy's time or memory.
#[test]
fn others_are_answered_in_time_beside_a_client_at_full_speed() {
    play(1, &[Kind::Health]);
    play(2, &[Kind::Read, Kind::ManyFields]);
    play(3, &[Kind::NoClass, Kind::NoId, Kind::BadTime, Kind::Noise]);
    for seed in seeds(SEEDS_VARIABLE, 100..102) {
        play(seed, &KINDS);
    }
}
