//! The ledger hangs for some seconds while clients send bodies to it.

use crate::client::{connect, describe, head, unacknowledged};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::site::Site;
use crate::Run;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long the ledger hangs.
const HANG: Duration = Duration::from_secs(6);
/// How long the clients wait for an answer, in seconds: 80% of the class's give-up time.
const TIME_LEFT: f64 = 1.2;
/// The slack of the pages: a later answer is a lost request.
const SLACK: Duration = Duration::from_millis(500 + 50);
/// Lengths of the bodies.
const LENGTHS: [usize; 6] = [300, 48 << 10, 128 << 10, 512 << 10, 768 << 10, 1 << 20];

pub fn run(run: &Run) -> io::Result<bool> {
    let record = &run.record;
    let site = Site::start(record)?;
    let log = format!("{}/proxy.log", run.temporary);
    let proxy = Proxy::start(&site, &run.temporary, 512, &log, record)?;
    let addr = proxy.addr;
    for n in 0..3 {
        upload(record, addr, &format!("warm-{n}"), 300)?;
    }
    if run.trouble {
        site.origin().hung.store(true, Ordering::Relaxed);
        record.line("ledger: hangs");
    }
    let start = Instant::now();
    let clients: Vec<_> = LENGTHS
        .into_iter()
        .enumerate()
        .map(|(n, length)| {
            let record = record.clone();
            thread::spawn(move || upload(&record, addr, &format!("c-{n}"), length))
        })
        .collect();
    let origin = Arc::clone(site.origin());
    let hang_record = record.clone();
    let trouble = run.trouble;
    let hang = thread::spawn(move || {
        thread::sleep(HANG.saturating_sub(start.elapsed()));
        if trouble {
            origin.hung.store(false, Ordering::Relaxed);
            hang_record.line("ledger: goes on");
        }
    });
    let mut held = true;
    for client in clients {
        held &= client.join().map_err(|_| io::Error::other("a client failed"))??;
    }
    let _ = hang.join();
    Ok(held)
}

/// Sends one write; returns whether it had its final answer in time.
fn upload(record: &Record, addr: SocketAddr, id: &str, length: usize) -> io::Result<bool> {
    let mut connection = connect(addr)?;
    connection.stream.set_write_timeout(Some(Duration::from_secs(30)))?;
    let target = format!("/cod-settle/{:016x}", 0x51u64 + length as u64);
    connection.write(head("PUT", &target, id, TIME_LEFT, Some(length)).as_bytes())?;
    let sent = connection.write(&vec![b'x'; length]);
    record.line(&format!("client {id}: PUT {target}, {length} bytes, the last one is written: {sent:?}"));
    let written = Instant::now();
    while sent.is_err() || unacknowledged(&connection.stream) > 0 {
        if sent.is_err() || written.elapsed() > Duration::from_secs(10) {
            record.line(&format!("client {id}: the last byte has not arrived, and the request is not taken"));
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(1));
    }
    let taken = Instant::now();
    record.line(&format!("client {id}: the proxy's machine has acknowledged the last byte"));
    let due = taken + Duration::from_secs_f64(TIME_LEFT) + SLACK;
    let answer = connection.answer_until(due);
    let in_time = matches!(answer, Some(Ok(_)));
    record.line(&format!("client {id}: {} after {:.3} s", describe(&answer), taken.elapsed().as_secs_f64()));
    if answer.is_none() {
        let later = connection.answer_until(taken + Duration::from_secs(20));
        record.line(&format!(
            "client {id}: LOST; for the record: {} after {:.3} s",
            describe(&later),
            taken.elapsed().as_secs_f64()
        ));
    }
    Ok(in_time)
}
