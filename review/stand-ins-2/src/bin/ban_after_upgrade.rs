//! An operator takes out a cache node that died before an upgrade of the proxy, and that returns later.
use review_stand_ins_2::*;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let got: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut last = None;
    for n in 0..5 {
        let name = format!("s-{n}");
        let inner = serving(&name, ms(15));
        let got = got.clone();
        let handler: Handler = Arc::new(move |request, stream| {
            if n == 4 {
                got.lock().unwrap().push(Instant::now());
            }
            inner(request, stream)
        });
        let node = start_node(record, &name, handler.clone());
        let member = Member { id: name, addr: node, kind: "mid-core", state: "ready", started_ms: 0 };
        if n == 4 {
            last = Some((member.clone(), handler));
        }
        discovery.set(member);
    }
    let ledger = start_node(record, "ledger", serving("ledger", ms(40)));
    discovery.set(Member {
        id: "ledger".into(),
        addr: ledger,
        kind: "ledger",
        state: "ready",
        started_ms: 0,
    });
    let (victim, handler) = last.unwrap();
    let mut platform = Platform::new(addr);
    platform.hold_listener();
    platform.known = discovery.known();
    let mut old = platform.start(record);
    if !old.wait_ready() {
        return 2;
    }
    let listen = platform.listen;
    let load = read_load(record.clone(), listen, ms(19_000));
    thread::sleep(ms(1500));
    if got.lock().unwrap().is_empty() {
        record.say("the node got nothing before: no verdict");
        return 2;
    }
    // The node dies, and discovery says so. Its stand-in is no longer listed; it comes back at a new port.
    let died = Instant::now();
    discovery.set(Member { state: "gone", ..victim.clone() });
    thread::sleep(ms(2500));
    platform.known = discovery.known();
    let mut now = old;
    if trouble() {
        let mut new = platform.start(record);
        if !new.wait_ready() {
            return 2;
        }
        now.signal(SIGTERM);
        let start = Instant::now();
        while now.has_ended().is_none() && start.elapsed() < ms(6700) {
            thread::sleep(ms(10));
        }
        now = new;
    }
    thread::sleep(ms(500));
    let called = Instant::now();
    let status = now.call("POST", "/api/exclude", "{\"id\":\"s-4\"}");
    // The node is back 8 s after it died, cold.
    thread::sleep((died + ms(8000)).saturating_duration_since(Instant::now()));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let back = listener.local_addr().unwrap();
    serve_node(record, "s-4", listener, handler);
    let started_ms =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64;
    discovery.set(Member { addr: back, started_ms, ..victim });
    let (sent, served) = load.join().unwrap();
    let _ = now.has_ended();
    let limit = called + ms(1000 + 2050);
    let late = got.lock().unwrap().iter().filter(|at| **at > limit).count();
    record.say(format!("clients: {sent} requests, {served} served"));
    record.say(format!(
        "the call out was answered {status}; requests at the node over 3.05 s after the call: {late}"
    ));
    if served < sent * 8 / 10 {
        return 2;
    }
    verdict(record, late > 0, "nothing new goes to a node taken out by hand, across an upgrade")
}
