//! Long answers that nodes give slowly, in shapes that a seed draws: a late first byte of the body, pauses, small
//! pieces, every framing. `ANISEYOKE_BODY_SEEDS=FROM..TO` plays other seeds.

mod bodies;
mod rig;

use bodies::*;
use rig::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SEEDS_VARIABLE: &str = "ANISEYOKE_BODY_SEEDS";
const NODES: usize = 3;
const CLIENTS: usize = 12;
/// An answer whose first byte comes later than this after its client's time is a lost request.
const SLACK: Duration = Duration::from_millis(550);
/// How long the proxy may hold back bytes that it has.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// One request, and the answer that any node gives to it.
#[derive(Clone, Debug)]
struct Exchange {
    class: &'static str,
    time_left: Duration,
    starts_after: Duration,
    before_head: Duration,
    answer: BodyShape,
}

fn exchange(random: &mut Random, number: usize) -> Exchange {
    let length = random.between(BUFFERED_BYTES + 1, 300_000);
    let answer = BodyShape {
        framing: random.pick(&[Framing::Length, Framing::Chunked, Framing::Close]),
        salt: number,
        length,
        before_body: random.millis(0, 1500),
        piece_bytes: random.between(4_000, 80_000),
        between_pieces: random.millis(0, 30),
        pause_at: random.between(1, length),
        pause: random.millis(0, 1500),
    };
    Exchange {
        class: random.pick(&["read", "set", "order"]),
        time_left: random.millis(800, 1500),
        starts_after: random.millis(0, 800),
        // A late head is overtaken by that of a hedged request, where the class allows one.
        before_head: if random.chance(30) { random.millis(200, 450) } else { random.millis(0, 60) },
        answer,
    }
}

/// Serves the requests of a connection, each by the exchange that its id names; others get a short answer.
fn serve_exchanges(node: usize, exchanges: &BTreeMap<String, Exchange>, records: &Records, peer: &mut Peer) {
    while let Some(head) = read_head(peer) {
        let id = header(&head, "x-correlation-id").expect("an id").to_owned();
        let received_at = Some(Instant::now());
        let Some(exchange) = exchanges.get(&id) else {
            records.add(NodeRecord { node, id, received_at, answered_at: received_at });
            peer.reply("200 OK", "X-Lookup: hit\r\n", "short");
            continue;
        };
        std::thread::sleep(exchange.before_head);
        let stream = peer.0.get_mut();
        let head = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\n{}\r\n", exchange.answer.headers());
        let written = stream.write_all(head.as_bytes()).and_then(|()| exchange.answer.write(stream));
        let answered_at = written.is_ok().then(Instant::now);
        records.add(NodeRecord { node, id, received_at, answered_at });
        if answered_at.is_none() || exchange.answer.framing == Framing::Close {
            return;
        }
    }
}

struct Play {
    proxy: Proxy,
    records: Records,
    exchanges: BTreeMap<String, Exchange>,
    _discovery: Server,
}

impl Play {
    fn new(seed: u64, clients: usize) -> Self {
        let mut random = Random::new(seed);
        let exchanges: BTreeMap<_, _> =
            (0..clients).map(|n| (format!("shape-{seed}-{n}"), exchange(&mut random, n))).collect();
        Self::with(exchanges)
    }

    fn with(exchanges: BTreeMap<String, Exchange>) -> Self {
        let (records, shared) = (Records::default(), Arc::new(exchanges.clone()));
        let mut listed = Vec::new();
        for node in 0..NODES {
            let (records, shared) = (records.clone(), shared.clone());
            let addr = serve(Server::new(), move |peer| serve_exchanges(node, &shared, &records, peer));
            listed.push(member(&format!("c{node}"), addr, "std", "ready"));
        }
        let discovery = Server::new();
        let proxy = Proxy::new(&short_deadlines(discovery.addr, &listed));
        Play { proxy, records, exchanges, _discovery: discovery }
    }

    /// Sends all requests at their times; returns what their clients saw.
    fn run(&self) -> Vec<(String, Exchange, Instant, Seen)> {
        let addr = self.proxy.addr;
        let clients = self.exchanges.iter().map(|(id, exchange)| {
            let (id, exchange) = (id.clone(), exchange.clone());
            std::thread::spawn(move || {
                std::thread::sleep(exchange.starts_after);
                let mut client = Peer::to(addr);
                let headers = format!(
                    "X-Time-Left: {:.3}\r\nIdempotency-Key: {id}\r\n",
                    exchange.time_left.as_secs_f64()
                );
                client.write(&get_as(&id, exchange.class, &headers));
                let sent_at = Instant::now();
                let seen = read_answer(&mut client);
                (id, exchange, sent_at, seen)
            })
        });
        let clients: Vec<_> = clients.collect();
        clients.into_iter().map(|client| client.join().expect("a client")).collect()
    }
}

/// Returns what is wrong with an answer, if anything is.
fn fault(play: &Play, id: &str, exchange: &Exchange, sent_at: Instant, seen: &Seen) -> Option<String> {
    let waited = seen.first_byte_at - sent_at;
    if seen.status != Some(200) {
        return Some(format!("status {:?} after {waited:?}", seen.status));
    }
    if waited > exchange.time_left + SLACK {
        return Some(format!("first byte after {waited:?}"));
    }
    if !seen.is_whole || seen.body != body(exchange.answer.salt, exchange.answer.length) {
        return Some(format!("{} of {} bytes", seen.body.len(), exchange.answer.length));
    }
    let records = play.records.of(id);
    let Some(answered_at) = records.iter().filter_map(|record| record.answered_at).min() else {
        return Some("no node could write the whole answer".to_owned());
    };
    let held = seen.ended_at.saturating_duration_since(answered_at);
    (held > MAX_HOLD).then(|| format!("the end was held back for {held:?}"))
}

/// Guards against a long answer that is cut off since its body begins late or comes slowly.
#[test]
fn long_answers_are_forwarded_however_slowly_their_nodes_give_them() {
    let plays = seeds(SEEDS_VARIABLE, 1..7).map(|seed| {
        std::thread::spawn(move || {
            let play = Play::new(seed, CLIENTS);
            let seen = play.run();
            let faults = seen.iter().filter_map(|(id, exchange, sent_at, seen)| {
                fault(&play, id, exchange, *sent_at, seen).map(|fault| format!("{id}: {fault}: {exchange:?}"))
            });
            faults.collect::<Vec<_>>()
        })
    });
    let plays: Vec<_> = plays.collect();
    let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(faults.is_empty(), "{} answers:\n{}", faults.len(), faults.join("\n"));
}

/// Guards against servers that are ejected since the bodies of their answers begin late.
#[test]
fn servers_whose_answers_begin_late_are_not_ejected() {
    let mut exchanges = BTreeMap::new();
    let mut random = Random::new(99);
    for number in 0..30 {
        let mut exchange = exchange(&mut random, number);
        exchange.class = "read";
        exchange.answer.before_body = Duration::from_millis(900);
        exchange.answer.pause = Duration::ZERO;
        exchanges.insert(format!("late-{number}"), exchange);
    }
    let play = Play::with(exchanges);
    play.run();
    // Each key belongs to one server while no server is ejected.
    let ask = |key: usize| {
        let mut client = play.proxy.client();
        let id = format!("quick-{key}");
        client.write(&get_as(&id, "read", "").replace("7f3a9c21e0b4d655", &format!("{key:016x}")));
        assert_eq!(read_answer(&mut client).status, Some(200));
        play.records.of(&id)[0].node
    };
    let mut used: Vec<usize> = (0..60).map(ask).collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), NODES, "servers in use after late bodies: {used:?}");
}

/// Guards against answers that are cut off at the end of a process that was told to stop, while their nodes still
/// give them and nobody has killed the process.
#[test]
fn long_answers_that_have_begun_are_given_to_their_end_after_the_stop_signal() {
    let plays = seeds(SEEDS_VARIABLE, 20..24).map(|seed| {
        std::thread::spawn(move || {
            let mut random = Random::new(seed ^ 0x7e57);
            let mut play = Play::new(seed, CLIENTS);
            for exchange in play.exchanges.values_mut() {
                exchange.starts_after = random.millis(0, 200);
            }
            let process = play.proxy.child.id();
            let signals: Vec<_> = (0..random.between(1, 3)).map(|_| random.millis(0, 250)).collect();
            let first = random.millis(350, 900);
            let stopper = std::thread::spawn(move || {
                std::thread::sleep(first);
                for pause in signals {
                    let process = nix::unistd::Pid::from_raw(i32::try_from(process).expect("an id"));
                    // The process may have ended by itself since.
                    let _ = nix::sys::signal::kill(process, nix::sys::signal::Signal::SIGTERM);
                    std::thread::sleep(pause);
                }
            });
            let seen = play.run();
            stopper.join().expect("the signals");
            let faults = seen.iter().filter_map(|(id, exchange, sent_at, seen)| {
                fault(&play, id, exchange, *sent_at, seen).map(|fault| format!("{id}: {fault}: {exchange:?}"))
            });
            let faults: Vec<_> = faults.collect();
            assert!(play.proxy.child.wait().expect("its end").success());
            faults
        })
    });
    let plays: Vec<_> = plays.collect();
    let faults: Vec<_> = plays.into_iter().flat_map(|play| play.join().expect("a play")).collect();
    assert!(faults.is_empty(), "{} answers:\n{}", faults.len(), faults.join("\n"));
}
