//! The traffic of a leaf at the rate that the tree is designed for.

use crate::leaf::Leaf;
use crate::path::QUICK;
use crate::tree::{until, Process};
use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const LEASE: Duration = Duration::from_secs(3);
const RATE: f64 = 66.0;
const FOR: Duration = Duration::from_secs(8);
/// IP, TCP and its time stamps, in bytes.
const HEADERS: f64 = 52.0;
/// A key as base64, in bytes.
const KEY: f64 = 8.0 * 4.0 / 3.0;
const PUBLISHERS: usize = 4;
/// The traffic that a leaf may have for control, in bytes a second.
const BUDGET: f64 = 2048.0;

/// Purges at the target rate; the traffic of a leaf with headers, in bytes a second.
fn traffic(batch: &str) -> f64 {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let region =
        Process::relay("region", None, &[root.proxies], &[&QUICK[..], &["--batch", "50ms"]].concat());
    let site = Process::relay("site", None, &[region.proxies], &[&QUICK[..], &["--batch", batch]].concat());
    let leaves = ["a", "b"].map(|name| Leaf::start(name, &[site.proxies], LEASE));
    leaves.iter().for_each(|leaf| until("fresh", || leaf.is_fresh()));
    root.wait_applied(0);
    let leaf = &leaves[0];
    let now =
        || [&leaf.received, &leaf.sent, &leaf.reads, &leaf.writes].map(|n| n.load(Ordering::Relaxed) as f64);
    let (before, start) = (now(), Instant::now());
    // Each call waits for its batch and the disk, so that one publisher alone would not reach the rate.
    let sequence: u64 = std::thread::scope(|scope| {
        let publishers: [_; PUBLISHERS] = std::array::from_fn(|n| {
            let root = &root;
            scope.spawn(move || {
                let mut sequence = 0;
                while start.elapsed() < FOR {
                    let due = Duration::from_secs_f64(sequence as f64 * PUBLISHERS as f64 / RATE);
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
        panic!("no answer")
    };
    // Each write acknowledges what was received, and needs a TCP acknowledgement of its own.
    let total = received + sent + HEADERS * (reads + 2.0 * writes);
    println!("batch {batch}: {sequence} purges, {received:.0} + {sent:.0} bytes, {reads:.1} reads, {writes:.1} writes a second, {total:.0} with headers; {latency:?}");
    // A slow machine has fewer purges: the keys that are missing to the full rate are added.
    total + (RATE - sequence as f64 / seconds).max(0.0) * KEY
}

#[test]
fn the_traffic_of_a_leaf_at_the_full_rate_is_within_its_budget() {
    let traffic = traffic("200ms");
    assert!(traffic < BUDGET, "{traffic:.0} bytes a second");
}
