//! Tests of faults of the root: it is killed, or its log is torn, lost or restored from a backup.

use crate::leaf::Leaf;
use crate::path::SHORT_TIMEOUTS;
use crate::tree::{until, Process};
use std::path::{Path, PathBuf};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);

fn last_segment(directory: &Path) -> PathBuf {
    let mut all: Vec<PathBuf> = std::fs::read_dir(directory.join("purges"))
        .expect("the log")
        .map(|e| e.expect("an entry").path())
        .collect();
    all.sort();
    all.pop().expect("a segment")
}

fn spread_args() -> Vec<&'static str> {
    [&SHORT_TIMEOUTS[..], &["--spread", "500ms"]].concat()
}

fn leaves_with_ten_purges(root: &Process, site: &Process) -> Vec<Leaf> {
    let leaves: Vec<Leaf> =
        (0..3).map(|n| Leaf::start(&format!("leaf-{n}"), &[site.proxies], LEASE)).collect();
    leaves.iter().for_each(|leaf| until("fresh", || leaf.is_fresh()));
    (1..=10).for_each(|n| _ = root.purge("p", n, &["x"]));
    root.wait_applied(10);
    leaves
}

#[test]
fn a_root_restarted_after_a_kill_continues_its_log_and_reports_a_torn_end() {
    let directory = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(directory.path(), None, &spread_args());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread_args());
    let leaves = leaves_with_ten_purges(&root, &site);
    root.kill();
    // Simulates a crash during the write of a batch that was not acknowledged.
    let path = last_segment(directory.path());
    let mut bytes = std::fs::read(&path).expect("read");
    bytes.extend([0, 0, 0, 40, 1, 2, 3]);
    std::fs::write(&path, bytes).expect("written");
    let root = Process::root(directory.path(), Some(at), &spread_args());
    assert!(root.has_logged("7 bytes at its end are torn, and cut off"));
    assert_eq!(root.purge("p", 10, &["x"]).1, 10, "an acknowledged request gets the same number");
    assert_eq!(root.purge("p", 11, &["x"]).1, 11);
    root.wait_applied(11);
    assert!(leaves.iter().all(|leaf| (leaf.invalidated(), leaf.flushes()) == (11, 1)));
}

#[test]
fn a_lost_log_starts_a_new_epoch_and_flushes_every_leaf_once() {
    let directory = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(directory.path(), None, &spread_args());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread_args());
    let leaves = leaves_with_ten_purges(&root, &site);
    let before = leaves[0].progress().epoch;
    leaves.iter().for_each(|leaf| leaf.store_object("old"));
    root.kill();
    std::fs::remove_dir_all(directory.path().join("purges")).expect("removed");
    let root = Process::root(directory.path(), Some(at), &spread_args());
    let (epoch, through) = root.purge("p", 11, &["y"]);
    assert!(epoch > before && through == 1);
    root.wait_applied(1);
    for leaf in &leaves {
        until("in the new epoch", || leaf.progress().epoch == epoch);
        assert_eq!(leaf.flushes(), 2);
        assert!(!leaf.serves("old"));
    }
}

#[test]
fn a_log_from_a_backup_assigns_no_number_twice() {
    let directory = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(directory.path(), None, &spread_args());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread_args());
    let leaves = leaves_with_ten_purges(&root, &site);
    let before = leaves[0].progress().epoch;
    let path = last_segment(directory.path());
    let backup = std::fs::read(&path).expect("read");
    (11..=20).for_each(|n| _ = root.purge("p", n, &["x"]));
    root.wait_applied(20);
    root.kill();
    std::fs::write(&path, backup).expect("written");
    let root = Process::root(directory.path(), Some(at), &spread_args());
    until("the restored log is detected", || root.has_logged("is older than what is known downstream"));
    let (epoch, through) = root.purge("p", 21, &["y"]);
    assert!(epoch > before && through == 1);
    root.wait_applied(1);
    assert!(leaves.iter().all(|leaf| leaf.progress().epoch == epoch && leaf.flushes() == 2));
}
