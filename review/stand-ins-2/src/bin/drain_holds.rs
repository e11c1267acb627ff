//! An operator calls for a drain while clients receive long answers.
use review_stand_ins_2::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Length of the long answers, of which a node writes a piece each 50 ms.
const LENGTH: usize = 800 << 10;

fn main() {
    play(run);
}

/// A node that takes as many milliseconds for an answer as the last part of the path says.
fn slow(name: String) -> Handler {
    Arc::new(move |request, stream| {
        let time: u64 = request.path().rsplit('/').next().and_then(|s| s.parse().ok()).unwrap_or(0);
        let pieces = (time / 50).max(1) as usize;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\nX-Lookup: hit\r\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let (start, body) = (Instant::now(), vec![name.as_bytes()[0]; LENGTH]);
        for n in 0..pieces {
            let due = start + Duration::from_millis(time * (n as u64 + 1) / pieces as u64);
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if stream.write_all(&body[LENGTH * n / pieces..LENGTH * (n + 1) / pieces]).is_err() {
                return false;
            }
        }
        true
    })
}

/// Returns when the answer was whole, and when the proxy closed the connection, if it did within 3 s.
fn client(listen: std::net::SocketAddr, time: u64) -> std::io::Result<(Instant, Option<Instant>)> {
    let mut stream = TcpStream::connect(listen)?;
    stream.set_read_timeout(Some(ms(10_000)))?;
    let head = request_head("GET", &format!("/track-lookup/{time}"), &new_id(), 1.2, None);
    stream.write_all(head.as_bytes())?;
    let mut reader = Reader::new(stream);
    let answer = reader.answer()?;
    let whole_at = Instant::now();
    if answer.status() != 200 || !answer.whole || answer.body.len() != LENGTH {
        return Err(std::io::Error::other(format!("not served: {}", answer.first_line)));
    }
    reader.stream.set_read_timeout(Some(ms(3000)))?;
    let closed = matches!(reader.stream.read(&mut [0; 16]), Ok(0));
    Ok((whole_at, closed.then(Instant::now)))
}

fn run(record: &Arc<Record>) -> i32 {
    let (discovery, addr) = Discovery::start(record.clone());
    for n in 0..5 {
        let name = format!("s-{n}");
        let node = start_node(record, &name, slow(name.clone()));
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
    // The answers end about 3.75, 5 and 6 s after the call.
    let clients: Vec<_> =
        [4250, 5500, 6500].map(|time| (time, thread::spawn(move || client(listen, time)))).into();
    thread::sleep(ms(500));
    let called = Instant::now();
    if trouble() && proxy.call("POST", "/api/evacuate", "") != 200 {
        return 2;
    }
    let mut held = 0;
    for (time, client) in clients {
        let (whole_at, closed_at) = match client.join().unwrap() {
            Ok(times) => times,
            Err(error) => {
                record.say(format!("client {time}: {error}"));
                return 2;
            }
        };
        let seconds = |at: Instant| (at - called).as_secs_f64();
        let closed = closed_at.map_or("not within 3 s".into(), |at| format!("{:.3} s", seconds(at)));
        record.say(format!(
            "client {time}: answer whole {:.3} s after the call, closed {closed}",
            seconds(whole_at)
        ));
        // Idle past 4 s and 50 ms after the call, for longer than 50 ms.
        let limit = (called + ms(4050)).max(whole_at + ms(50));
        held += i32::from(trouble() && closed_at.is_none_or(|at| at > limit));
    }
    let _ = proxy.has_ended();
    record.say(format!("{held} of 3 connections were held idle later than 4 s after the call"));
    verdict(record, held > 0, "4 s after the call for a drain no client's connection is held idle")
}
