//! A test of the traffic of a leaf at the purge rate that the tree is designed for.

use crate::leaf::Leaf;
use crate::path::SHORT_TIMEOUTS;
use crate::tree::{until, Process};
use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(3);
const PURGES_PER_SECOND: f64 = 66.0;
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);
/// The size of the IP and TCP headers with the timestamps option.
const TCP_IP_HEADER_BYTES: f64 = 52.0;
/// The size of a key in base64.
const KEY_BYTES: f64 = 8.0 * 4.0 / 3.0;
const PUBLISHERS: usize = 4;
/// The maximum control traffic of a leaf.
const MAX_BYTES_PER_SECOND: f64 = 2048.0;

/// Purges at the target rate and returns the traffic of a leaf including headers, in bytes per second.
fn bytes_per_second(batch: &str) -> f64 {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let region = Process::relay(
        "region",
        None,
        &[root.proxies],
        &[&SHORT_TIMEOUTS[..], &["--batch", "50ms"]].concat(),
    );
    let site =
        Process::relay("site", None, &[region.proxies], &[&SHORT_TIMEOUTS[..], &["--batch", batch]].concat());
    let leaves = ["a", "b"].map(|name| Leaf::start(name, &[site.proxies], LEASE));
    leaves.iter().for_each(|leaf| until("fresh", || leaf.is_fresh()));
    root.wait_applied(0);
    let leaf = &leaves[0];
    let now =
        || [&leaf.received, &leaf.sent, &leaf.reads, &leaf.writes].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, start) = (now(), Instant::now());
    // Each request waits for its batch and the disk, thus a single publisher would not reach the rate.
    let sequence: u64 = std::thread::scope(|scope| {
        let publishers: [_; PUBLISHERS] = std::array::from_fn(|n| {
            let root = &root;
            scope.spawn(move || {
                let mut sequence = 0;
                while start.elapsed() < MEASUREMENT_TIME {
                    let due =
                        Duration::from_secs_f64(sequence as f64 * PUBLISHERS as f64 / PURGES_PER_SECOND);
                    std::thread::sleep(due.saturating_sub(start.elapsed()));
                    sequence += 1;
                    root.purge(&format!("p{n}"), sequence, &["x"]);
                }
                sequence
            })
        });
        publishers.into_iter().map(|publisher| publisher.join().expect("published")).sum()
    });
    until("all are applied", || leaf.progress().through == sequence);
    let (seconds, after) = (start.elapsed().as_secs_f64(), now());
    let [received, sent, reads, writes] = std::array::from_fn(|n| (after[n] - before[n]) / seconds);
    root.wait_applied(sequence);
    let Ok(OperatorResponse::PurgeStatus { latency, .. }) = root.call(&OperatorRequest::PurgeStatus) else {
        panic!("no response")
    };
    // Each write is an acknowledgement of received purges, and requires a TCP acknowledgement.
    let total = received + sent + TCP_IP_HEADER_BYTES * (reads + 2.0 * writes);
    println!("batch {batch}: {sequence} purges, {received:.0} + {sent:.0} bytes, {reads:.1} reads, {writes:.1} writes per second, {total:.0} with headers; {latency:?}");
    // A slow machine reaches fewer purges than the target rate; the bytes of the missing keys are added.
    total + (PURGES_PER_SECOND - sequence as f64 / seconds).max(0.0) * KEY_BYTES
}

#[test]
fn the_traffic_of_a_leaf_at_the_full_rate_is_within_its_budget() {
    let bytes_per_second = bytes_per_second("200ms");
    assert!(bytes_per_second < MAX_BYTES_PER_SECOND, "{bytes_per_second:.0} bytes per second");
}
