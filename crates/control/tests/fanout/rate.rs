//! What a leaf spends at the rate that the tree is built for.

use crate::leaf::Leaf;
use crate::path::QUICK;
use crate::tree::{until, Process};
use aniseyoke_control::frame::{FromOperator, ToOperator};
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
/// What a leaf may spend on control, in bytes a second.
const BUDGET: f64 = 2048.0;

/// Purges at the rate of the target; bytes a second at a leaf, with headers, and the times that the root knows.
fn spent(batch: &str) -> f64 {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let region =
        Process::relay("region", None, &[root.proxies], &[&QUICK[..], &["--batch", "50ms"]].concat());
    let site = Process::relay("site", None, &[region.proxies], &[&QUICK[..], &["--batch", batch]].concat());
    let leaves = ["a", "b"].map(|name| Leaf::start(name, &[site.proxies], LEASE));
    leaves.iter().for_each(|leaf| until("fresh", || leaf.fresh()));
    root.done(0);
    let leaf = &leaves[0];
    let now =
        || [&leaf.came, &leaf.said, &leaf.reads, &leaf.writes].map(|n| n.load(Ordering::Relaxed) as f64);
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
    until("all are there", || leaf.progress().through == sequence);
    let (seconds, after) = (start.elapsed().as_secs_f64(), now());
    let [came, said, reads, writes] = std::array::from_fn(|n| (after[n] - before[n]) / seconds);
    root.done(sequence);
    let Ok(ToOperator::Purges { took, .. }) = root.call(&FromOperator::Purges) else { panic!("no answer") };
    // What it says acknowledges what came, and is acknowledged alone.
    let all = came + said + HEADERS * (reads + 2.0 * writes);
    println!("batch {batch}: {sequence} purges, {came:.0} + {said:.0} bytes, {reads:.1} reads, {writes:.1} writes a second, {all:.0} with headers; {took:?}");
    // A machine that is late has fewer: the keys that are missing to the full rate are added.
    all + (RATE - sequence as f64 / seconds).max(0.0) * KEY
}

#[test]
fn a_leaf_at_the_full_rate_stays_within_its_budget_with_headers() {
    let spent = spent("250ms");
    assert!(spent < BUDGET, "{spent:.0} bytes a second");
}
