//! Many clients stop in the middle of a body and stay, beside usual clients that write.

use crate::client::{connect, describe, head, unacknowledged};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::Site;
use crate::Run;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The proxy's limits: the pages give it 32 to 192 MB and 256 to 1,024 descriptors.
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 1024;
/// How many bad clients there are at a time.
const BAD_CLIENTS: u32 = 134;
/// A bad client is owed a close or an error within this time, and goes after it.
const OWED: Duration = Duration::from_secs(3);
/// Usual clients, each with one request at a time, and the pause between an answer and the next request.
const CLIENTS: u32 = 10;
const PAUSE: Duration = Duration::from_millis(300);
/// How long a usual client waits for its answer, in seconds: 53% of the class's give-up time.
const TIME_LEFT: f64 = 0.8;
/// The slack of the pages: a later answer is a lost request.
const SLACK: Duration = Duration::from_millis(500 + 50);
/// Length of a usual write.
const WRITE: usize = 60_000;
const DURATION: Duration = Duration::from_secs(20);

#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    lost: AtomicU32,
    bad: AtomicU32,
    bad_unanswered: AtomicU32,
}

pub fn run(run: &Run) -> io::Result<bool> {
    let record = &run.record;
    let site = Site::start(record)?;
    let log = format!("{}/proxy.log", run.temporary);
    let mut proxy = Proxy::start_with(&site, &run.temporary, MEMORY_MB, SOCKETS, &log, record)?;
    let addr = proxy.addr;
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let mut threads = Vec::new();
    for n in 0..CLIENTS {
        let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
        threads.push(thread::spawn(move || usual_client(n, addr, &stop, &counts, &record)));
    }
    thread::sleep(Duration::from_secs(2));
    for n in 0..BAD_CLIENTS {
        let (stop, counts, trouble) = (stop.clone(), counts.clone(), run.trouble);
        threads.push(thread::spawn(move || bad_client(n, addr, trouble, &stop, &counts)));
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(DURATION);
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let lost = counts.lost.load(Ordering::Relaxed);
    record.line(&format!(
        "usual clients: {} writes answered in time, {lost} lost; bad clients: {} connections, {} without an answer or a close in {OWED:?}; the process {}",
        counts.answered.load(Ordering::Relaxed),
        counts.bad.load(Ordering::Relaxed),
        counts.bad_unanswered.load(Ordering::Relaxed),
        if proxy.runs() { "runs" } else { "has ended" }
    ));
    Ok(lost == 0)
}

/// Sends the head and a part of the body, waits for the answer or the close, and does the same again. Without
/// the disruption it sends the body whole.
fn bad_client(n: u32, addr: SocketAddr, trouble: bool, stop: &AtomicBool, counts: &Counts) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let start = Instant::now();
        let Ok(mut connection) = connect(addr) else { continue };
        counts.bad.fetch_add(1, Ordering::Relaxed);
        let length = 60_000;
        let text = head(
            "PUT",
            &format!("/cod-settle/{n:016x}"),
            &format!("bad-{n}-{number}"),
            TIME_LEFT,
            Some(length),
        );
        let part = if trouble { 1000 } else { length };
        let _ = connection.write(text.as_bytes());
        let _ = connection.write(&vec![b'x'; part]);
        if connection.answer_until(start + OWED + Duration::from_millis(100)).is_none() {
            counts.bad_unanswered.fetch_add(1, Ordering::Relaxed);
        }
        if !trouble {
            thread::sleep(Duration::from_secs(2).saturating_sub(start.elapsed()));
        }
    }
}

fn usual_client(n: u32, addr: SocketAddr, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut kept = None;
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        thread::sleep(PAUSE);
        let fresh = kept.is_none();
        let Some(mut connection) = kept.take().or_else(|| connect(addr).ok()) else { continue };
        let id = format!("u{n}-{number}");
        let text = head("PUT", &format!("/cod-settle/{:016x}", 0x4400 + n), &id, TIME_LEFT, Some(WRITE));
        let sent = connection.write(text.as_bytes()).and_then(|()| connection.write(&[b'u'; WRITE]));
        while sent.is_ok() && unacknowledged(&connection.stream) > 0 {
            thread::sleep(Duration::from_millis(1));
        }
        let taken = Instant::now();
        let answer = connection.answer_until(taken + Duration::from_secs_f64(TIME_LEFT) + SLACK);
        match &answer {
            Some(Ok(answer)) => {
                counts.answered.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "usual client {id}: {} after {:.3} s",
                    answer.start,
                    taken.elapsed().as_secs_f64()
                ));
                if answer.header("connection").is_none_or(|v| !v.eq_ignore_ascii_case("close")) {
                    kept = Some(connection);
                }
            }
            // A close that crossed the request: the client would send it once more.
            Some(Err(_)) => {
                record.line(&format!("usual client {id}: {} (fresh: {fresh})", describe(&answer)));
            }
            None => {
                counts.lost.fetch_add(1, Ordering::Relaxed);
                let later = connection.answer_until(taken + Duration::from_secs(8));
                record.line(&format!(
                    "usual client {id}: LOST: no answer {:.3} s after its last byte arrived; later: {} after {:.3} s",
                    TIME_LEFT + SLACK.as_secs_f64(),
                    describe(&later),
                    taken.elapsed().as_secs_f64()
                ));
            }
        }
    }
}
