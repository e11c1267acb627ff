//! Some clients name `X-Correlation-Id` in their `Connection` header, beside usual clients.

use crate::client::{connect, describe, head};
use crate::http::Connection;
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

/// How many connections the other clients make, and how many of them in a second.
const OTHERS: u32 = 150;
const OTHERS_PER_SECOND: u64 = 20;
/// The proxy's limit of descriptors: the pages give it 256 to 1,024.
const SOCKETS: u32 = 256;
/// An other client is owed a close or an error within this time.
const OWED: Duration = Duration::from_secs(3);
/// Usual clients, each with one request at a time.
const CLIENTS: u32 = 10;
/// The pause of a usual client between an answer and its next request.
const PAUSE: Duration = Duration::from_millis(250);
/// A usual client asks this often on a connection and then opens a new one.
const REQUESTS_PER_CONNECTION: u32 = 4;
/// How long a usual client waits for its answer, in seconds: 80% of the class's give-up time.
const TIME_LEFT: f64 = 1.2;
/// The slack of the pages: a later answer is a lost request.
const SLACK: Duration = Duration::from_millis(500 + 50);
/// For how long the usual clients go on after the last other client has gone.
const AFTERWARDS: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    lost: AtomicU32,
    refused_connections: AtomicU32,
}

pub fn run(run: &Run) -> io::Result<bool> {
    let record = &run.record;
    let site = Site::start(record)?;
    let log = format!("{}/proxy.log", run.temporary);
    let mut proxy = Proxy::start(&site, &run.temporary, SOCKETS, &log, record)?;
    let addr = proxy.addr;
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, counts, record) = (stop.clone(), counts.clone(), record.clone());
            thread::spawn(move || usual_client(n, addr, &stop, &counts, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let owed = other_clients(addr, run)?;
    record.line(&format!(
        "the other clients have gone; {owed} of {OTHERS} had neither an answer nor a close within {OWED:?}"
    ));
    for _ in 0..AFTERWARDS.as_secs() {
        thread::sleep(Duration::from_secs(1));
        let (answered, lost) = (counts.answered.load(Ordering::Relaxed), counts.lost.load(Ordering::Relaxed));
        let healthy = if proxy.is_healthy() { "200" } else { "no answer" };
        record.line(&format!("usual clients: {answered} answered, {lost} lost; GET /_health: {healthy}"));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let lost = counts.lost.load(Ordering::Relaxed);
    record.line(&format!(
        "usual clients: {} requests answered, {lost} lost, {} connections refused; the process {}",
        counts.answered.load(Ordering::Relaxed),
        counts.refused_connections.load(Ordering::Relaxed),
        if proxy.runs() { "still runs" } else { "has ended" }
    ));
    let panics = std::fs::read_to_string(&log).unwrap_or_default();
    let panics = panics.lines().filter(|line| line.contains("panicked")).collect::<Vec<_>>();
    record.line(&format!("the proxy's log: {} panics, the first: {:?}", panics.len(), panics.first()));
    proxy.signal("TERM");
    let term = Instant::now();
    let ended = proxy.wait_until(term + Duration::from_millis(3700));
    record.line(&format!(
        "SIGTERM, with no client connected: {} after {:.3} s",
        if ended { "ended" } else { "still runs" },
        term.elapsed().as_secs_f64()
    ));
    Ok(lost == 0)
}

/// Opens the connections of the other clients, a request on each. Returns how many had neither an answer nor a
/// close in time. Each client closes its connection after that.
fn other_clients(addr: SocketAddr, run: &Run) -> io::Result<u32> {
    let mut others = Vec::new();
    for n in 0..OTHERS {
        let (record, trouble) = (run.record.clone(), run.trouble);
        others.push(thread::spawn(move || other_client(n, addr, trouble, &record)));
        thread::sleep(Duration::from_millis(1000 / OTHERS_PER_SECOND));
    }
    let mut owed = 0;
    for other in others {
        owed += u32::from(!other.join().unwrap_or(false));
    }
    Ok(owed)
}

/// Whether the client had an answer or a close in time.
fn other_client(n: u32, addr: SocketAddr, trouble: bool, record: &Record) -> bool {
    let start = Instant::now();
    let Ok(mut connection) = connect(addr) else { return true };
    let options = if trouble { "keep-alive, X-Correlation-Id" } else { "keep-alive" };
    let text = head("GET", &format!("/track-lookup/{n:016x}"), &format!("other-{n}"), TIME_LEFT, None);
    let text = text.replacen("\r\n\r\n", &format!("\r\nConnection: {options}\r\n\r\n"), 1);
    if connection.write(text.as_bytes()).is_err() {
        return true;
    }
    let answer = connection.answer_until(start + OWED);
    record.line(&format!(
        "other client {n}: GET other-{n}, `Connection: {options}`: {} after {:.3} s",
        describe(&answer),
        start.elapsed().as_secs_f64()
    ));
    answer.is_some()
}

fn usual_client(n: u32, addr: SocketAddr, stop: &AtomicBool, counts: &Counts, record: &Record) {
    let mut requests = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(mut connection) = connect(addr) else {
            counts.refused_connections.fetch_add(1, Ordering::Relaxed);
            thread::sleep(PAUSE);
            continue;
        };
        for _ in 0..REQUESTS_PER_CONNECTION {
            requests += 1;
            if stop.load(Ordering::Relaxed)
                || !usual_request(&format!("u{n}-{requests}"), &mut connection, counts, record)
            {
                break;
            }
            thread::sleep(PAUSE);
        }
    }
}

/// Sends one request; returns whether the connection may be used again. A close without an answer is a lost
/// request, unless it crossed the request on a connection that was used before.
fn usual_request(id: &str, connection: &mut Connection, counts: &Counts, record: &Record) -> bool {
    let target = format!("/track-lookup/{:016x}", 0x7f3a_9c21_e0b4_0000u64 + id.len() as u64);
    let text = head("GET", &target, id, TIME_LEFT, None);
    if connection.write(text.as_bytes()).is_err() {
        return false;
    }
    let sent = Instant::now();
    let answer = connection.answer_until(sent + Duration::from_secs_f64(TIME_LEFT) + SLACK);
    record.line(&format!("usual client: GET {target} {id}: {}", describe(&answer)));
    match &answer {
        Some(Ok(answer)) => {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            return answer.header("connection").is_none_or(|v| !v.eq_ignore_ascii_case("close"));
        }
        // The pages allow the close of a connection between requests, and the client sends once more.
        Some(Err(_)) => {}
        None => {
            counts.lost.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "usual client: {id} LOST: the request is written, and there is no answer after {:.3} s",
                sent.elapsed().as_secs_f64()
            ));
        }
    }
    false
}
