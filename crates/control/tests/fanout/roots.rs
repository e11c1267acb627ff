//! The root's own troubles: it is killed, its log is torn, lost, or comes back from a backup.

use crate::leaf::Leaf;
use crate::path::QUICK;
use crate::tree::{until, Process};
use std::path::{Path, PathBuf};
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(2);

fn segment(dir: &Path) -> PathBuf {
    let mut all: Vec<PathBuf> = std::fs::read_dir(dir.join("purges"))
        .expect("the log")
        .map(|e| e.expect("an entry").path())
        .collect();
    all.sort();
    all.pop().expect("a segment")
}

fn spread() -> Vec<&'static str> {
    [&QUICK[..], &["--spread", "500ms"]].concat()
}

fn grown(root: &Process, site: &Process) -> Vec<Leaf> {
    let leaves: Vec<Leaf> =
        (0..3).map(|n| Leaf::start(&format!("leaf-{n}"), &[site.proxies], LEASE)).collect();
    leaves.iter().for_each(|leaf| until("fresh", || leaf.fresh()));
    (1..=10).for_each(|n| _ = root.purge("p", n, &["x"]));
    root.done(10);
    leaves
}

#[test]
fn a_root_killed_and_back_goes_on_where_its_log_ends_and_a_torn_end_is_cut_and_said() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(dir.path(), None, &spread());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread());
    let leaves = grown(&root, &site);
    root.kill();
    // A crash in the midst of a batch that nobody was answered about.
    let path = segment(dir.path());
    let mut bytes = std::fs::read(&path).expect("read");
    bytes.extend([0, 0, 0, 40, 1, 2, 3]);
    std::fs::write(&path, bytes).expect("written");
    let root = Process::root(dir.path(), Some(at), &spread());
    assert!(root.said("7 bytes at its end are torn, and cut off"));
    assert_eq!(root.purge("p", 10, &["x"]).1, 10, "what was answered is still known");
    assert_eq!(root.purge("p", 11, &["x"]).1, 11);
    root.done(11);
    assert!(leaves.iter().all(|leaf| (leaf.dropped(), leaf.flushed()) == (11, 1)));
}

#[test]
fn a_lost_log_is_a_new_epoch_and_everybody_drops_everything_once() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(dir.path(), None, &spread());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread());
    let leaves = grown(&root, &site);
    let before = leaves[0].progress().epoch;
    leaves.iter().for_each(|leaf| leaf.holds("old"));
    root.kill();
    std::fs::remove_dir_all(dir.path().join("purges")).expect("removed");
    let root = Process::root(dir.path(), Some(at), &spread());
    let (epoch, through) = root.purge("p", 11, &["y"]);
    assert!(epoch > before && through == 1);
    root.done(1);
    for leaf in &leaves {
        until("in the new epoch", || leaf.progress().epoch == epoch);
        assert_eq!(leaf.flushed(), 2);
        assert!(!leaf.serves("old"));
    }
}

#[test]
fn a_log_from_a_backup_gives_no_number_out_twice() {
    let dir = tempfile::tempdir().expect("a folder");
    let mut root = Process::root(dir.path(), None, &spread());
    let at = root.proxies;
    let site = Process::relay("site", None, &[at], &spread());
    let leaves = grown(&root, &site);
    let before = leaves[0].progress().epoch;
    let path = segment(dir.path());
    let backup = std::fs::read(&path).expect("read");
    (11..=20).for_each(|n| _ = root.purge("p", n, &["x"]));
    root.done(20);
    root.kill();
    std::fs::write(&path, backup).expect("written");
    let root = Process::root(dir.path(), Some(at), &spread());
    until("it is seen", || root.said("is older than what is known below"));
    let (epoch, through) = root.purge("p", 21, &["y"]);
    assert!(epoch > before && through == 1);
    root.done(1);
    assert!(leaves.iter().all(|leaf| leaf.progress().epoch == epoch && leaf.flushed() == 2));
}
