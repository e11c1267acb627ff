//! The hard cases: what breaks between the root and the leaves, and that nothing is missed.

use crate::leaf::Leaf;
use crate::path::QUICK;
use crate::tree::{until, Process};
use crate::wire::Wire;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);
/// An hour's worth at 66 a second.
const HOUR: u64 = 237_600;

fn site(name: &str, listen: Option<SocketAddr>, upstream: SocketAddr, more: &[&str]) -> Process {
    let args = [&QUICK[..], &["--batch", "30ms"], more].concat();
    Process::relay(name, listen, &[upstream], &args)
}

fn leaves(count: usize, upstream: &[SocketAddr]) -> Vec<Leaf> {
    let all: Vec<Leaf> = (0..count).map(|n| Leaf::start(&format!("leaf-{n}"), upstream, LEASE)).collect();
    all.iter().for_each(|leaf| until("fresh", || leaf.fresh()));
    all
}

/// Purges so many objects, in calls of so many; where the log stands then.
fn purge_many(root: &Process, publisher: &str, count: u64, of: u64) -> u64 {
    let mut through = 0;
    for (sequence, from) in (0..count).step_by(of as usize).enumerate() {
        let keys: Vec<String> = (from..count.min(from + of)).map(|n| format!("{publisher}-{n}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        through = root.purge(publisher, sequence as u64, &keys).1;
    }
    through
}

/// All have dropped each of so many one by one, and everything at once no more often than they were told at first.
fn missed_nothing(leaves: &[Leaf], through: u64) {
    for leaf in leaves {
        until(&format!("{through} reached by all"), || leaf.progress().through >= through);
        assert_eq!((leaf.dropped(), leaf.flushed()), (through, 1));
    }
}

#[test]
fn a_relay_killed_in_the_midst_of_purges_and_its_members_go_to_its_sibling() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let mut first = site("site-1", None, root.proxies, &[]);
    let second = site("site-2", None, root.proxies, &[]);
    let both = leaves(4, &[first.proxies, second.proxies]);
    let waits = Leaf::start("waits", &[first.proxies], LEASE);
    until("fresh", || waits.fresh());
    std::thread::scope(|scope| {
        let publishing = scope.spawn(|| purge_many(&root, "p", 200, 1));
        until("in the midst", || both[0].dropped() > 20);
        first.kill();
        assert_eq!(publishing.join().expect("published"), 200);
    });
    missed_nothing(&both, 200);
    // The one without a sibling waits, and does not claim to know.
    until("its lease is over", || !waits.fresh());
    let _again = site("site-1", Some(first.proxies), root.proxies, &[]);
    missed_nothing(&[waits], 200);
    root.done(200);
}

#[test]
fn the_same_address_back_with_empty_state_fetches_what_those_below_lack() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let region = site("region", None, root.proxies, &[]);
    let mut below = site("site", None, region.proxies, &[]);
    let all = leaves(5, &[below.proxies]);
    purge_many(&root, "p", 20, 5);
    missed_nothing(&all, 20);
    below.kill();
    assert_eq!(purge_many(&root, "q", 300, 10), 320);
    let _again = site("site", Some(below.proxies), region.proxies, &[]);
    missed_nothing(&all, 320);
    root.done(320);
}

#[test]
fn a_region_cut_off_for_an_hours_purges_has_them_replayed() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let wire = Wire::to(root.proxies);
    let region = site("region", None, wire.addr, &[]);
    let below = site("site", None, region.proxies, &[]);
    let all = leaves(3, &[below.proxies]);
    root.done(0);
    wire.cut(true);
    until("no longer fresh", || !all.iter().any(|leaf| leaf.fresh()));
    assert_eq!(purge_many(&root, "p", HOUR, 10_000), HOUR);
    until("named", || root.far().2 == ["region@0"]);
    wire.cut(false);
    missed_nothing(&all, HOUR);
    root.done(HOUR);
    all.iter().for_each(|leaf| until("fresh again", || leaf.fresh()));
}

#[test]
fn a_region_cut_off_past_the_logs_cap_is_flushed_once_each() {
    let dir = tempfile::tempdir().expect("a folder");
    let root =
        Process::root(dir.path(), None, &[&QUICK[..], &["--log-entries", "100", "--spread", "1s"]].concat());
    let wire = Wire::to(root.proxies);
    let region = site("region", None, wire.addr, &["--spread", "1s"]);
    let all = leaves(5, &[region.proxies]);
    assert_eq!(purge_many(&root, "p", 50, 10), 50);
    missed_nothing(&all, 50);
    all.iter().for_each(|leaf| leaf.holds("old"));
    wire.cut(true);
    until("no longer fresh", || !all.iter().any(|leaf| leaf.fresh()));
    assert_eq!(purge_many(&root, "q", 5000, 10), 5050);
    wire.cut(false);
    root.done(5050);
    for leaf in &all {
        assert_eq!((leaf.progress().through, leaf.dropped(), leaf.flushed()), (5050, 50, 2));
        until("fresh again", || leaf.fresh());
        assert!(!leaf.serves("old"));
    }
    // The log on disk is bounded too.
    let segments = std::fs::read_dir(dir.path().join("purges")).expect("the log").count();
    assert!(segments <= 2, "{segments}");
}

#[test]
fn who_missed_a_purge_serves_the_old_object_no_longer_than_its_lease_and_never_after() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let below = site("site", None, root.proxies, &[]);
    let wire = Wire::to(below.proxies);
    let (all, cut_off) = (leaves(2, &[below.proxies]), Leaf::start("cut-off", &[wire.addr], LEASE));
    until("fresh", || cut_off.fresh());
    root.done(0);
    cut_off.holds("old");
    cut_off.holds("other");
    assert!(cut_off.serves("old"));
    // Nothing comes down, and nobody is told that the connection is dead.
    wire.lose(false, true);
    let (_, through) = root.purge("p", 1, &["old"]);
    missed_nothing(&all, through);
    until("named", || root.far() == (through, 1, vec!["site/cut-off@0".into()]));
    until("it no longer serves the old one", || !cut_off.serves("old"));
    assert!(!cut_off.fresh() && cut_off.progress().through == 0);
    wire.cut(true);
    wire.lose(false, false);
    wire.cut(false);
    until("fresh again", || cut_off.fresh());
    assert!(!cut_off.serves("old") && cut_off.serves("other"));
    root.done(through);
}

#[test]
fn a_slow_receiver_keeps_none_of_the_others_waiting_and_is_repaired_later() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let below = site("site", None, root.proxies, &["--stuck", "2s"]);
    let (all, slow) = (leaves(3, &[below.proxies]), Leaf::start("slow", &[below.proxies], LEASE));
    until("fresh", || slow.fresh());
    slow.stands_still.store(true, Ordering::Relaxed);
    let through = purge_many(&root, "p", 100_000, 2_000);
    missed_nothing(&all, through);
    until("let go", || below.said("slow@0 has not taken purges for too long"));
    until("done but for one", || root.far() == (through, 1, vec!["site/slow@0".into()]));
    assert!(!slow.fresh());
    slow.stands_still.store(false, Ordering::Relaxed);
    missed_nothing(&[slow], through);
    root.done(through);
}

#[test]
fn a_rack_restarted_at_once_is_back_and_holds_nothing_old() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let mut below = site("site", None, root.proxies, &[]);
    let mut all = leaves(20, &[below.proxies]);
    let through = purge_many(&root, "p", 30, 3);
    missed_nothing(&all, through);
    below.kill();
    all.clear();
    let through = purge_many(&root, "q", 30, 3);
    let _again = site("site", Some(below.proxies), root.proxies, &[]);
    let all = leaves(20, &[below.proxies]);
    for leaf in &all {
        // Who comes back empty is not sent what was purged before.
        assert_eq!((leaf.progress().through, leaf.dropped()), (through, 0));
    }
    let through = purge_many(&root, "r", 10, 1);
    root.done(through);
    assert!(all.iter().all(|leaf| leaf.dropped() == 10));
}

#[test]
fn two_publishers_that_repeat_their_calls_have_each_numbered_once() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let below = site("site", None, root.proxies, &[]);
    let all = leaves(2, &[below.proxies]);
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
    // Sixty of each publisher's, twenty of them from two of its threads.
    root.done(240);
    missed_nothing(&all, 240);
}

#[test]
fn an_acknowledgement_that_is_lost_is_made_again() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let wire = Wire::to(root.proxies);
    let below = site("site", None, wire.addr, &[]);
    let all = leaves(2, &[below.proxies]);
    root.done(0);
    wire.lose(true, false);
    let through = purge_many(&root, "p", 10, 10);
    missed_nothing(&all, through);
    until("named", || root.far() == (through, 1, vec!["site@0".into()]));
    wire.cut(true);
    wire.lose(false, false);
    wire.cut(false);
    root.done(through);
    missed_nothing(&all, through);
}

#[test]
fn a_leaf_whose_acknowledgement_is_late_is_not_told_as_done() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let patient = ["--lease", "1s", "--grace", "20s", "--stuck", "1m"];
    let below = Process::relay("site", None, &[root.proxies], &patient);
    let all = leaves(3, &[below.proxies]);
    root.done(0);
    all[0].mute.store(true, Ordering::Relaxed);
    let through = purge_many(&root, "p", 10, 10);
    missed_nothing(&all, through);
    // The relay still waits for it, and the root names the relay.
    until("named", || root.far() == (through, 1, vec!["site@0".into()]));
    all[0].mute.store(false, Ordering::Relaxed);
    let through = purge_many(&root, "q", 1, 1);
    root.done(through);
}
