//! One path through root, region, site and leaf.

use crate::leaf::Leaf;
use crate::tree::{until, Process};
use aniseyoke_control::frame::{FromOperator, ToOperator};
use serde_json::json;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);
/// Relays that need not wait long for those they knew before.
pub const QUICK: [&str; 4] = ["--lease", "1s", "--grace", "1s"];

#[test]
fn a_purge_reaches_all_leaves_and_the_root_knows() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let region =
        Process::relay("region", None, &[root.proxies], &[&QUICK[..], &["--batch", "50ms"]].concat());
    let sites = ["site-1", "site-2"].map(|name| {
        Process::relay(name, None, &[region.proxies], &[&QUICK[..], &["--batch", "100ms"]].concat())
    });
    let leaves: Vec<Leaf> =
        (0..6).map(|n| Leaf::start(&format!("leaf-{n}"), &[sites[n % 2].proxies], LEASE)).collect();
    for leaf in &leaves {
        leaf.holds("a");
        leaf.holds("b");
        until("fresh", || leaf.fresh());
    }
    // Each was told once to drop what it held before it was known where it stands.
    leaves.iter().for_each(|leaf| ["a", "b"].iter().for_each(|key| leaf.holds(key)));
    root.done(0);
    let (_, through) = root.purge("p", 1, &["a"]);
    assert_eq!(through, 1);
    root.done(1);
    for leaf in &leaves {
        assert!(leaf.serves("b") && !leaf.serves("a"));
        assert_eq!(leaf.progress().through, 1);
    }
    // The same call again has the same answer, and nothing is sent.
    assert_eq!(root.purge("p", 1, &["a"]).1, 1);
    assert_eq!(root.purge("q", 1, &["b"]).1, 2);
    root.done(2);
    assert!(leaves.iter().all(|leaf| leaf.dropped() == 2 && !leaf.serves("b")));
    let Ok(ToOperator::Purges { took, .. }) = root.call(&FromOperator::Purges) else { panic!("no answer") };
    assert_eq!((took.count, took.short), (2, 0), "{took:?}");
    assert!(took.most < 5000.0, "{took:?}");
}

#[test]
fn a_version_reaches_all_leaves_under_its_own_stamp_and_refusals_are_named_at_the_root() {
    let dir = tempfile::tempdir().expect("a folder");
    let root = Process::root(dir.path(), None, &QUICK);
    let region = Process::relay("region", None, &[root.proxies], &QUICK);
    let site = Process::relay("site", None, &[region.proxies], &QUICK);
    let leaves = ["a", "b"].map(|name| Leaf::start(name, &[site.proxies], LEASE));
    let publish = |n: u64| match root
        .call(&FromOperator::Publish { body: json!({ "n": n }), plan: Default::default() })
    {
        Ok(ToOperator::Published { stamp }) => stamp,
        other => panic!("{other:?}"),
    };
    let row = || match root.call(&FromOperator::Status) {
        Ok(ToOperator::Status { proxies, .. }) => proxies.into_iter().next(),
        other => panic!("{other:?}"),
    };
    let below = |count: usize| match site.call(&FromOperator::Status) {
        Ok(ToOperator::Status { proxies, .. }) => proxies.len() == count,
        other => panic!("{other:?}"),
    };
    until("both are there, and the relays", || below(2) && row().is_some());
    for n in 0..3 {
        let stamp = publish(n);
        until("taken by the whole subtree", || row().is_some_and(|row| row.running == Some(stamp)));
        assert!(leaves.iter().all(|leaf| *leaf.taken.lock().expect("whole") == Some(stamp)));
    }
    let _refusing = Leaf::with("c", &[site.proxies], LEASE, true);
    until("c is there", || below(3));
    let stamp = publish(9);
    until("refused", || row().is_some_and(|row| row.refused.is_some()));
    let (refused, reasons) = row().and_then(|row| row.refused).expect("refused");
    assert_eq!((refused, reasons.join("")), (stamp, "site: c: not here".into()));
    let published = site.call(&FromOperator::Halt { why: "no".into() });
    assert!(matches!(published, Ok(ToOperator::No { .. })), "{published:?}");
}
