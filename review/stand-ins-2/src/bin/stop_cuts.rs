//! A planned restart while a client receives a long answer from a slow node.
use review_stand_ins_2::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Length of the answer.
const LENGTH: usize = 2 << 20;
/// What the node writes a second.
const RATE: usize = 64_000;

fn main() {
    play(run);
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let broken_at_node = Arc::new(AtomicBool::new(false));
    for n in 0..3 {
        let (name, broken, log) = (format!("s-{n}"), broken_at_node.clone(), record.clone());
        let handler: Handler = Arc::new(move |_, stream| {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\nX-Lookup: hit\r\n\r\n");
            let (start, piece) = (Instant::now(), RATE / 20);
            let mut written = stream.write_all(head.as_bytes()).map(|()| 0);
            while let Ok(n) = written {
                if n >= LENGTH {
                    return true;
                }
                let due = start + Duration::from_secs_f64(n as f64 / RATE as f64);
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let piece = piece.min(LENGTH - n);
                written = stream.write_all(&vec![b'v'; piece]).map(|()| n + piece);
            }
            broken.store(true, Ordering::SeqCst);
            log.line("node: its connection was ended while it was giving the answer");
            false
        });
        let node = start_node(record, &name, handler);
        discovery.set(Member { id: name, addr: node, kind: "mid-core", state: "ready", started_ms: 0 });
    }
    let ledger = start_node(record, "ledger", serving("ledger", ms(40)));
    discovery.set(Member {
        id: "ledger".into(),
        addr: ledger,
        kind: "ledger",
        state: "ready",
        started_ms: 0,
    });
    let mut platform = Platform::new(addr);
    platform.known = discovery.known();
    let mut proxy = platform.start(record);
    if !proxy.wait_ready() {
        return 2;
    }
    let listen = platform.listen;
    let client = thread::spawn(move || {
        let head = request_head("GET", "/track-lookup/00000000000000a1", &new_id(), 1.2, None);
        ask(listen, &head, b"", ms(30_000))
    });
    thread::sleep(ms(2000));
    if trouble() {
        proxy.signal(SIGTERM);
    }
    // The kill, which never comes sooner than 3.7 s after SIGTERM, would come after 70 s.
    let start = Instant::now();
    while !client.is_finished() && start.elapsed() < ms(70_000) {
        let _ = proxy.has_ended();
        thread::sleep(ms(20));
    }
    thread::sleep(ms(300));
    let ended = proxy.has_ended();
    let answer = client.join().unwrap();
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) => {
            record.say(format!("client: no answer: {error}"));
            return 2;
        }
    };
    let whole = answer.whole && answer.body.len() == LENGTH;
    record.say(format!(
        "client: {}, {} of {LENGTH} bytes, {:.1} s after SIGTERM; proxy ended: {ended:?}",
        answer.first_line,
        answer.body.len(),
        start.elapsed().as_secs_f64()
    ));
    if answer.status() != 200 || !whole && !broken_at_node.load(Ordering::SeqCst) {
        return 2;
    }
    verdict(
        record,
        !whole,
        "an answer that its node is still giving is not cut off by a proxy that was not killed",
    )
}
