//! An upgrade while discovery is down, after the old process was told that a node drains.
use review_stand_ins_2::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let got: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let mut victim = None;
    for n in 0..5 {
        let name = format!("s-{n}");
        let (inner, got) = (serving(&name, ms(15)), got.clone());
        let handler: Handler = Arc::new(move |request, stream| {
            if n == 4 {
                got.lock().unwrap().push(Instant::now());
            }
            inner(request, stream)
        });
        let node = start_node(record, &name, handler);
        let member = Member { id: name, addr: node, kind: "mid-core", state: "ready", started_ms: 0 };
        victim = Some(member.clone());
        discovery.set(member);
    }
    let victim = victim.unwrap();
    let ledger = start_node(record, "ledger", serving("ledger", ms(40)));
    discovery.set(Member {
        id: "ledger".into(),
        addr: ledger,
        kind: "ledger",
        state: "ready",
        started_ms: 0,
    });
    let mut platform = Platform::new(addr);
    platform.hold_listener();
    platform.known = discovery.known();
    let mut old = platform.start(record);
    if !old.wait_ready() {
        return 2;
    }
    let listen = platform.listen;
    let load = read_load(record.clone(), listen, ms(10_500));
    thread::sleep(ms(2000));
    let told = Instant::now();
    discovery.set(Member { state: "draining", ..victim.clone() });
    thread::sleep(ms(100));
    if trouble() {
        discovery.set_down(true);
    }
    let mut new = platform.start(record);
    if !new.wait_ready() {
        return 2;
    }
    let yes = Instant::now();
    old.signal(SIGTERM);
    // The node drains for 6 s in all.
    thread::sleep((told + ms(6000)).saturating_duration_since(Instant::now()));
    let drained = Instant::now();
    discovery.set(Member { state: "gone", ..victim });
    thread::sleep(ms(200));
    if trouble() {
        discovery.set_down(false);
    }
    let (sent, served) = load.join().unwrap();
    let _ = (old.has_ended(), new.has_ended());
    let got = got.lock().unwrap();
    let limit = (told + ms(2050)).max(yes + ms(2050));
    let lenient = yes + ms(4050);
    let count = |from: Instant| got.iter().filter(|at| **at > from && **at < drained).count();
    record.say(format!(
        "clients: {sent} requests, {served} served; yes {:.3} s after the old one was told",
        (yes - told).as_secs_f64()
    ));
    record.say(format!(
        "at the draining node: {} later than 2.05 s after told and the yes, {} later than 4.05 s after the yes",
        count(limit),
        count(lenient)
    ));
    if served < sent * 7 / 10 {
        return 2;
    }
    verdict(record, count(lenient) > 0, "nothing new goes to a draining node that this proxy was told of")
}
