//! Tests that no leaf misses a purge after faults between the root and the leaves.

use crate::leaf::Leaf;
use crate::link::Link;
use crate::path::SHORT_TIMEOUTS;
use crate::tree::{until, Process};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);
/// The number of purges in an hour at 66 per second.
const PURGES_PER_HOUR: u64 = 237_600;

fn site(name: &str, listen: Option<SocketAddr>, upstream: SocketAddr, extra_args: &[&str]) -> Process {
    let args = [&SHORT_TIMEOUTS[..], &["--batch", "30ms"], extra_args].concat();
    Process::relay(name, listen, &[upstream], &args)
}

fn leaves(count: usize, upstream: &[SocketAddr]) -> Vec<Leaf> {
    let all: Vec<Leaf> = (0..count).map(|n| Leaf::start(&format!("leaf-{n}"), upstream, LEASE)).collect();
    all.iter().for_each(|leaf| until("fresh", || leaf.is_fresh()));
    all
}

/// Purges `count` objects, `per_request` in each request; returns the position of the log afterwards.
fn purge_many(root: &Process, publisher: &str, count: u64, per_request: u64) -> u64 {
    let mut through = 0;
    for (sequence, from) in (0..count).step_by(per_request as usize).enumerate() {
        let keys: Vec<String> =
            (from..count.min(from + per_request)).map(|n| format!("{publisher}-{n}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        through = root.purge(publisher, sequence as u64, &keys).1;
    }
    through
}

/// Waits until all leaves have applied each purge up to a number individually, without a flush other than the initial one.
fn wait_invalidated_individually(leaves: &[Leaf], through: u64) {
    for leaf in leaves {
        until(&format!("{through} applied by all"), || leaf.progress().through >= through);
        assert_eq!((leaf.invalidated(), leaf.flushes()), (through, 1));
    }
}

#[test]
fn leaves_of_a_killed_relay_move_to_its_sibling() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let mut first = site("site-1", None, root.proxies, &[]);
    let second = site("site-2", None, root.proxies, &[]);
    let multi_homed = leaves(4, &[first.proxies, second.proxies]);
    let single_homed = Leaf::start("stranded", &[first.proxies], LEASE);
    until("fresh", || single_homed.is_fresh());
    std::thread::scope(|scope| {
        let publishing = scope.spawn(|| purge_many(&root, "p", 200, 1));
        until("some objects are invalidated", || multi_homed[0].invalidated() > 20);
        first.kill();
        assert_eq!(publishing.join().expect("published"), 200);
    });
    wait_invalidated_individually(&multi_homed, 200);
    // The leaf without a second relay is no longer fresh.
    until("its lease expires", || !single_homed.is_fresh());
    let _restarted = site("site-1", Some(first.proxies), root.proxies, &[]);
    wait_invalidated_individually(&[single_homed], 200);
    root.wait_applied(200);
}

#[test]
fn a_relay_restarted_without_state_fetches_what_its_children_lack() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let region = site("region", None, root.proxies, &[]);
    let mut relay = site("site", None, region.proxies, &[]);
    let all = leaves(5, &[relay.proxies]);
    purge_many(&root, "p", 20, 5);
    wait_invalidated_individually(&all, 20);
    relay.kill();
    assert_eq!(purge_many(&root, "q", 300, 10), 320);
    let _restarted = site("site", Some(relay.proxies), region.proxies, &[]);
    wait_invalidated_individually(&all, 320);
    root.wait_applied(320);
}

#[test]
fn a_region_that_missed_an_hour_of_purges_gets_a_replay() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let link = Link::to(root.proxies);
    let region = site("region", None, link.addr, &[]);
    let relay = site("site", None, region.proxies, &[]);
    let all = leaves(3, &[relay.proxies]);
    root.wait_applied(0);
    link.cut(true);
    until("no longer fresh", || !all.iter().any(|leaf| leaf.is_fresh()));
    assert_eq!(purge_many(&root, "p", PURGES_PER_HOUR, 10_000), PURGES_PER_HOUR);
    until("named", || root.purge_status().2 == ["region@0"]);
    link.cut(false);
    wait_invalidated_individually(&all, PURGES_PER_HOUR);
    root.wait_applied(PURGES_PER_HOUR);
    all.iter().for_each(|leaf| until("fresh again", || leaf.is_fresh()));
}

#[test]
fn leaves_of_a_region_disconnected_past_the_log_capacity_are_flushed_once() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(
        directory.path(),
        None,
        &[&SHORT_TIMEOUTS[..], &["--log-entries", "100", "--spread", "1s"]].concat(),
    );
    let link = Link::to(root.proxies);
    let region = site("region", None, link.addr, &["--spread", "1s"]);
    let all = leaves(5, &[region.proxies]);
    assert_eq!(purge_many(&root, "p", 50, 10), 50);
    wait_invalidated_individually(&all, 50);
    all.iter().for_each(|leaf| leaf.store_object("old"));
    link.cut(true);
    until("no longer fresh", || !all.iter().any(|leaf| leaf.is_fresh()));
    assert_eq!(purge_many(&root, "q", 5000, 10), 5050);
    link.cut(false);
    root.wait_applied(5050);
    for leaf in &all {
        assert_eq!((leaf.progress().through, leaf.invalidated(), leaf.flushes()), (5050, 50, 2));
        until("fresh again", || leaf.is_fresh());
        assert!(!leaf.serves("old"));
    }
    // The log on disk is bounded as well.
    let segments = std::fs::read_dir(directory.path().join("purges")).expect("the log").count();
    assert!(segments <= 2, "{segments}");
}

#[test]
fn a_leaf_that_missed_a_purge_stops_serving_the_object_when_its_lease_ends() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let relay = site("site", None, root.proxies, &[]);
    let link = Link::to(relay.proxies);
    let (all, cut_off) = (leaves(2, &[relay.proxies]), Leaf::start("cut-off", &[link.addr], LEASE));
    until("fresh", || cut_off.is_fresh());
    root.wait_applied(0);
    cut_off.store_object("old");
    cut_off.store_object("other");
    assert!(cut_off.serves("old"));
    // The link drops all traffic to the leaf, and neither end detects that.
    link.lose(false, true);
    let (_, through) = root.purge("p", 1, &["old"]);
    wait_invalidated_individually(&all, through);
    until("named", || root.purge_status() == (through, 1, vec!["site/cut-off@0".into()]));
    until("it no longer serves the old object", || !cut_off.serves("old"));
    assert!(!cut_off.is_fresh() && cut_off.progress().through == 0);
    link.cut(true);
    link.lose(false, false);
    link.cut(false);
    until("fresh again", || cut_off.is_fresh());
    assert!(!cut_off.serves("old") && cut_off.serves("other"));
    root.wait_applied(through);
}

#[test]
fn a_slow_leaf_does_not_delay_others_and_catches_up_later() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let relay = site("site", None, root.proxies, &["--stuck", "2s"]);
    let (all, slow) = (leaves(3, &[relay.proxies]), Leaf::start("slow", &[relay.proxies], LEASE));
    until("fresh", || slow.is_fresh());
    slow.is_paused.store(true, Ordering::Relaxed);
    let through = purge_many(&root, "p", 100_000, 2_000);
    wait_invalidated_individually(&all, through);
    until("disconnected", || relay.has_logged("slow@0 has not acknowledged purges for too long"));
    until("applied by all but one", || root.purge_status() == (through, 1, vec!["site/slow@0".into()]));
    assert!(!slow.is_fresh());
    slow.is_paused.store(false, Ordering::Relaxed);
    wait_invalidated_individually(&[slow], through);
    root.wait_applied(through);
}

#[test]
fn leaves_restarted_together_are_not_sent_earlier_purges() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let mut relay = site("site", None, root.proxies, &[]);
    let mut all = leaves(20, &[relay.proxies]);
    let through = purge_many(&root, "p", 30, 3);
    wait_invalidated_individually(&all, through);
    relay.kill();
    all.clear();
    let through = purge_many(&root, "q", 30, 3);
    let _restarted = site("site", Some(relay.proxies), root.proxies, &[]);
    let all = leaves(20, &[relay.proxies]);
    for leaf in &all {
        // Earlier purges are not sent to a leaf without objects.
        assert_eq!((leaf.progress().through, leaf.invalidated()), (through, 0));
    }
    let through = purge_many(&root, "r", 10, 1);
    root.wait_applied(through);
    assert!(all.iter().all(|leaf| leaf.invalidated() == 10));
}

#[test]
fn retried_calls_of_two_publishers_are_numbered_once() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let relay = site("site", None, root.proxies, &[]);
    let all = leaves(2, &[relay.proxies]);
    std::thread::scope(|scope| {
        for (publisher, from) in [("a", 0), ("b", 0), ("a", 20), ("b", 20)] {
            let root = &root;
            scope.spawn(move || {
                for sequence in from..from + 40 {
                    let first = root.purge(publisher, sequence, &["x", "y"]);
                    assert_eq!(root.purge(publisher, sequence, &["x", "y"]), first);
                }
            });
        }
    });
    // Each publisher sends 60 requests, 20 of them from both of its threads.
    root.wait_applied(240);
    wait_invalidated_individually(&all, 240);
}

#[test]
fn a_lost_acknowledgement_is_sent_again() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let link = Link::to(root.proxies);
    let relay = site("site", None, link.addr, &[]);
    let all = leaves(2, &[relay.proxies]);
    root.wait_applied(0);
    link.lose(true, false);
    let through = purge_many(&root, "p", 10, 10);
    wait_invalidated_individually(&all, through);
    until("named", || root.purge_status() == (through, 1, vec!["site@0".into()]));
    link.cut(true);
    link.lose(false, false);
    link.cut(false);
    root.wait_applied(through);
    wait_invalidated_individually(&all, through);
}

#[test]
fn purges_are_not_reported_as_applied_before_a_late_acknowledgement() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let long_timeouts = ["--lease", "1s", "--grace", "20s", "--stuck", "1m"];
    let relay = Process::relay("site", None, &[root.proxies], &long_timeouts);
    let all = leaves(3, &[relay.proxies]);
    root.wait_applied(0);
    all[0].withholds_acks.store(true, Ordering::Relaxed);
    let through = purge_many(&root, "p", 10, 10);
    wait_invalidated_individually(&all, through);
    // The relay still waits for the leaf, and the root reports the relay as lagging.
    until("named", || root.purge_status() == (through, 1, vec!["site@0".into()]));
    all[0].withholds_acks.store(false, Ordering::Relaxed);
    let through = purge_many(&root, "q", 1, 1);
    root.wait_applied(through);
}
