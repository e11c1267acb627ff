//! A slow node writes the head of a long answer in pieces.
use review_stand_ins_2::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

/// Length of the answer's body.
const LENGTH: usize = 100_000;
/// The pause between the pieces of the head.
const PAUSE_MS: u64 = 450;

fn main() {
    play(run);
}

/// Writes an answer whose head comes in three pieces; counts those that could not be written to their ends.
fn in_pieces(name: String, cut: Arc<AtomicU64>, record: Arc<Record>) -> Handler {
    Arc::new(move |request, stream| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\nX-Lookup: hit\r\n\r\n");
        let (first, rest) = head.split_at(20);
        let (second, third) = rest.split_at(20);
        let pause = if trouble() { PAUSE_MS } else { 10 };
        let start = record.seconds();
        let mut written = Ok(());
        for (n, piece) in [first, second, third].into_iter().enumerate() {
            if n > 0 {
                thread::sleep(ms(pause));
            }
            written = written.and_then(|()| stream.write_all(piece.as_bytes()));
        }
        for piece in vec![b'v'; LENGTH].chunks(10_000) {
            written = written.and_then(|()| stream.write_all(piece));
            thread::sleep(ms(5));
        }
        let took = record.seconds() - start;
        if let Err(error) = &written {
            cut.fetch_add(1, Ordering::SeqCst);
            record.line(format!("{name}: id {} cut off while being given: {error}", request.id()));
        } else {
            record.line(format!("{name}: id {} given whole in {took:.3} s", request.id()));
        }
        written.is_ok()
    })
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    let cut = Arc::new(AtomicU64::new(0));
    for n in 0..5 {
        let name = format!("s-{n}");
        let node = start_node(record, &name, in_pieces(name.clone(), cut.clone(), record.clone()));
        discovery.set(Member { id: name, addr: node, kind: "mid-core", state: "ready", started_ms: 0 });
    }
    let ledger = start_node(record, "ledger", in_pieces("ledger".into(), cut.clone(), record.clone()));
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
    let clients: Vec<_> = (0..10u64)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(ms(n * 300));
                let (method, class, body) =
                    if n % 2 == 0 { ("GET", "track-lookup", None) } else { ("PUT", "cod-settle", Some(5)) };
                let head =
                    request_head(method, &format!("/{class}/{:016x}", n * 7919 + 1), &new_id(), 1.2, body);
                let answer = ask(listen, &head, if body.is_some() { b"value" } else { b"" }, ms(4000));
                record_asked(&record, &head, &answer);
                answer
                    .is_ok_and(|answer| answer.status() == 200 && answer.whole && answer.body.len() == LENGTH)
            })
        })
        .collect();
    let whole = clients.into_iter().map(|c| c.join().unwrap()).filter(|whole| *whole).count();
    let _ = proxy.has_ended();
    thread::sleep(ms(600));
    let cut = cut.load(Ordering::SeqCst);
    record.say(format!(
        "{whole} of 10 clients got their answers, {cut} answers cut off while their nodes were giving them"
    ));
    verdict(
        record,
        whole < 10 && cut > 0,
        "over 64 KiB the first bytes are timed, and what a node is giving is not cut off",
    )
}
