//! A planned restart while clients send long bodies, with a ledger that hangs through the shutdown.

use crate::client::{connect, describe, head, unacknowledged};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::Site;
use crate::Run;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// The rate at which a client sends its body.
const BYTES_PER_SECOND: usize = 64_000;
/// SIGTERM comes this long after the clients have begun.
const TERM_AFTER: Duration = Duration::from_millis(500);
/// SIGKILL comes this long after SIGTERM: the longest deadline, counted as 3 s, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3700);
/// A request that came later than this after SIGTERM is lost if SIGKILL finds it unanswered.
const CAME_AFTER: Duration = Duration::from_millis(700);

/// How a client's request ended.
struct Outcome {
    id: String,
    /// When its last byte was in the proxy's machine.
    taken: Option<Instant>,
    /// When its final answer came.
    answered: Option<Instant>,
}

pub fn run(run: &Run) -> io::Result<bool> {
    let record = &run.record;
    let site = Site::start(record)?;
    let log = format!("{}/proxy.log", run.temporary);
    let mut proxy = Proxy::start(&site, &run.temporary, 512, &log, record)?;
    let addr = proxy.addr;
    for n in 0..2 {
        upload(&format!("warm-{n}"), addr, "cod-settle", 1.2, 200, record);
    }
    let begin = Instant::now();
    // Class, how long the client waits (80% of the give-up time), length of the body.
    let plan = [
        ("cod-settle", 1.2, 190_000),
        ("cod-settle", 1.2, 200_000),
        ("scan-event", 4.8, 120_000),
        ("scan-event", 4.8, 160_000),
    ];
    let clients: Vec<_> = plan
        .into_iter()
        .enumerate()
        .map(|(n, (class, time_left, length))| {
            let record = record.clone();
            thread::spawn(move || upload(&format!("c-{n}"), addr, class, time_left, length, &record))
        })
        .collect();
    thread::sleep(TERM_AFTER.saturating_sub(begin.elapsed()));
    let term = Instant::now();
    if run.trouble {
        site.origin().hung.store(true, Ordering::Relaxed);
        record.line("ledger: hangs");
        record.line("SIGTERM");
        proxy.signal("TERM");
        let ended = proxy.wait_until(term + KILL_AFTER);
        record.line(&format!(
            "proxy: {} {:.3} s after SIGTERM",
            if ended { "has ended" } else { "is killed by SIGKILL" },
            term.elapsed().as_secs_f64()
        ));
        proxy.signal("KILL");
    }
    let mut held = true;
    for client in clients {
        let outcome = client.join().map_err(|_| io::Error::other("a client failed"))?;
        held &= judge(&outcome, run.trouble.then_some(term), record);
    }
    Ok(held)
}

/// Whether the rule held for a request.
fn judge(outcome: &Outcome, term: Option<Instant>, record: &Record) -> bool {
    let Outcome { id, taken, answered } = outcome;
    let (Some(taken), None) = (taken, answered) else { return answered.is_some() || term.is_some() };
    let Some(term) = term else { return false };
    let came = taken.saturating_duration_since(term);
    let lost = came > CAME_AFTER;
    record.line(&format!(
        "client {id}: last byte {:.3} s after SIGTERM, no answer: {}",
        came.as_secs_f64(),
        if lost { "LOST" } else { "excused" }
    ));
    !lost
}

/// Sends one write and waits for its answer.
fn upload(
    id: &str,
    addr: SocketAddr,
    class: &str,
    time_left: f64,
    length: usize,
    record: &Record,
) -> Outcome {
    let mut outcome = Outcome { id: id.to_owned(), taken: None, answered: None };
    let Ok(mut connection) = connect(addr) else { return outcome };
    let target = format!("/{class}/{:016x}", 0x9021u64 + length as u64);
    let text = head("PUT", &target, id, time_left, Some(length));
    let text = text.replacen("\r\n\r\n", &format!("\r\nIdempotency-Key: key-{id}\r\n\r\n"), 1);
    let begin = Instant::now();
    let mut sent = connection.write(text.as_bytes());
    let mut written = 0;
    while sent.is_ok() && written < length {
        let n = (BYTES_PER_SECOND / 50).min(length - written);
        sent = connection.write(&vec![b'x'; n]);
        written += n;
        thread::sleep(
            Duration::from_secs_f64(written as f64 / BYTES_PER_SECOND as f64).saturating_sub(begin.elapsed()),
        );
    }
    if sent.is_err() {
        record.line(&format!("client {id}: the body could not be written: {sent:?}"));
        return outcome;
    }
    while unacknowledged(&connection.stream) > 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let taken = Instant::now();
    outcome.taken = Some(taken);
    record.line(&format!(
        "client {id}: PUT {target}, {length} bytes: the proxy's machine has acknowledged the last byte"
    ));
    let answer = connection.answer_until(taken + Duration::from_secs(8));
    if let Some(Ok(_)) = answer {
        outcome.answered = Some(Instant::now());
    }
    record.line(&format!("client {id}: {} after {:.3} s", describe(&answer), taken.elapsed().as_secs_f64()));
    outcome
}
