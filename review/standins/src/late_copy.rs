//! Some answers of cache nodes are followed by a second copy some milliseconds later, when nothing else waits
//! on the connection.

use crate::client::{connect, describe, head};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::Site;
use crate::Run;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: u32 = 30;
/// Each client asks this often.
const PERIOD: Duration = Duration::from_millis(100);
const DURATION: Duration = Duration::from_secs(90);
const TIME_LEFT: f64 = 1.2;
/// How many of a hundred answers are followed by a copy.
const SHARE: u64 = 20;

#[derive(Default)]
struct Counts {
    answered: AtomicU32,
    refused: AtomicU32,
    foreign: Mutex<Vec<String>>,
}

pub fn run(run: &Run) -> io::Result<bool> {
    let record = &run.record;
    let site = Site::start(record)?;
    let log = format!("{}/proxy.log", run.temporary);
    let proxy = Proxy::start(&site, &run.temporary, 512, &log, record)?;
    if run.trouble {
        site.nodes.iter().for_each(|node| node.late_copies.store(SHARE, Ordering::Relaxed));
        record.line(&format!(
            "cache nodes: {SHARE} of a hundred answers are followed by a copy, 1 to 5 ms late"
        ));
    }
    let (stop, counts) = (Arc::new(AtomicBool::new(false)), Arc::new(Counts::default()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (stop, counts, record, addr) = (stop.clone(), counts.clone(), record.clone(), proxy.addr);
            thread::spawn(move || client(n, addr, &stop, &counts, &record))
        })
        .collect();
    thread::sleep(DURATION);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let copies: u64 = site.nodes.iter().map(|node| node.copies_sent.load(Ordering::Relaxed)).sum();
    let foreign = counts.foreign.lock().unwrap();
    let excused = |id: &&String| site.nodes.iter().any(|node| node.excused.lock().unwrap().contains(*id));
    let excused_count = foreign.iter().filter(excused).count();
    record.line(&format!(
        "{} requests served, {} answered otherwise, {copies} late copies sent, {} served with the answer to another \
         request, {excused_count} of them excused",
        counts.answered.load(Ordering::Relaxed),
        counts.refused.load(Ordering::Relaxed),
        foreign.len()
    ));
    Ok(foreign.len() == excused_count)
}

fn client(n: u32, addr: SocketAddr, stop: &AtomicBool, counts: &Counts, record: &Record) {
    thread::sleep(PERIOD / CLIENTS * n);
    let mut connection = None;
    let mut next = Instant::now();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        next += PERIOD;
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let Some(mut open) = connection.take().or_else(|| connect(addr).ok()) else { continue };
        let id = format!("c{n}-{number}");
        let target = format!("/track-lookup/{:016x}", u64::from(n) * 1000 + number % 50);
        if open.write(head("GET", &target, &id, TIME_LEFT, None).as_bytes()).is_err() {
            continue;
        }
        let answer = open.answer_until(Instant::now() + Duration::from_secs_f64(TIME_LEFT + 0.55));
        record.line(&format!("client {n}: GET {target} {id}: {}", describe(&answer)));
        match &answer {
            Some(Ok(answer)) if answer.status() == 200 => {
                counts.answered.fetch_add(1, Ordering::Relaxed);
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                if !body.contains(&format!(" {target} for request {id} ")) {
                    record.line(&format!("client {n}: GET {target} {id} is served with `{body}`"));
                    counts.foreign.lock().unwrap().push(id.clone());
                }
            }
            _ => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
            }
        }
        let closes = |a: &crate::http::Message| {
            a.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
        };
        if answer.is_some_and(|a| a.is_ok_and(|a| !closes(&a))) {
            connection = Some(open);
        }
    }
}
