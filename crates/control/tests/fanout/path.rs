//! Tests of the path from the root through a region and a site to the leaves.

use crate::leaf::Leaf;
use crate::tree::{until, Process};
use aniseyoke_control::frame::{OperatorRequest, OperatorResponse};
use serde_json::json;
use std::time::Duration;

const LEASE: Duration = Duration::from_secs(3);
/// Arguments by which relays wait only briefly for children of previous connections.
pub const SHORT_TIMEOUTS: [&str; 4] = ["--lease", "1s", "--grace", "1s"];

#[test]
fn a_purge_reaches_all_leaves_and_the_root_reports_it_as_applied() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let region = Process::relay(
        "region",
        None,
        &[root.proxies],
        &[&SHORT_TIMEOUTS[..], &["--batch", "50ms"]].concat(),
    );
    let sites = ["site-1", "site-2"].map(|name| {
        Process::relay(name, None, &[region.proxies], &[&SHORT_TIMEOUTS[..], &["--batch", "100ms"]].concat())
    });
    let leaves: Vec<Leaf> =
        (0..6).map(|n| Leaf::start(&format!("leaf-{n}"), &[sites[n % 2].proxies], LEASE)).collect();
    for leaf in &leaves {
        leaf.store_object("a");
        leaf.store_object("b");
        until("fresh", || leaf.is_fresh());
    }
    // Each leaf was flushed once at its connection, before its position was known.
    leaves.iter().for_each(|leaf| ["a", "b"].iter().for_each(|key| leaf.store_object(key)));
    root.wait_applied(0);
    let (_, through) = root.purge("p", 1, &["a"]);
    assert_eq!(through, 1);
    root.wait_applied(1);
    for leaf in &leaves {
        assert!(leaf.serves("b") && !leaf.serves("a"));
        assert_eq!(leaf.progress().through, 1);
    }
    // A retried request gets the same response, and no purge is sent.
    assert_eq!(root.purge("p", 1, &["a"]).1, 1);
    assert_eq!(root.purge("q", 1, &["b"]).1, 2);
    root.wait_applied(2);
    assert!(leaves.iter().all(|leaf| leaf.invalidated() == 2 && !leaf.serves("b")));
    let Ok(OperatorResponse::PurgeStatus { latency, .. }) = root.call(&OperatorRequest::PurgeStatus) else {
        panic!("no response")
    };
    assert_eq!((latency.count, latency.incomplete), (2, 0), "{latency:?}");
    assert!(latency.max < 5000.0, "{latency:?}");
}

#[test]
fn a_version_reaches_all_leaves_under_its_own_stamp_and_rejections_are_reported_at_the_root() {
    let directory = tempfile::tempdir().expect("a folder");
    let root = Process::root(directory.path(), None, &SHORT_TIMEOUTS);
    let region = Process::relay("region", None, &[root.proxies], &SHORT_TIMEOUTS);
    let site = Process::relay("site", None, &[region.proxies], &SHORT_TIMEOUTS);
    let leaves = ["a", "b"].map(|name| Leaf::start(name, &[site.proxies], LEASE));
    let publish = |n: u64| match root
        .call(&OperatorRequest::Publish { body: json!({ "n": n }), plan: Default::default() })
    {
        Ok(OperatorResponse::Published { stamp }) => stamp,
        other => panic!("{other:?}"),
    };
    let status = || match root.call(&OperatorRequest::Status) {
        Ok(OperatorResponse::Status { proxies, .. }) => proxies.into_iter().next(),
        other => panic!("{other:?}"),
    };
    let has_children = |count: usize| match site.call(&OperatorRequest::Status) {
        Ok(OperatorResponse::Status { proxies, .. }) => proxies.len() == count,
        other => panic!("{other:?}"),
    };
    until("leaves and relays are connected", || has_children(2) && status().is_some());
    for n in 0..3 {
        let stamp = publish(n);
        until("acknowledged by the whole subtree", || status().is_some_and(|s| s.running == Some(stamp)));
        assert!(leaves.iter().all(|leaf| *leaf.acked.lock().expect("not poisoned") == Some(stamp)));
    }
    let _rejecting = Leaf::start_with("c", &[site.proxies], LEASE, true);
    until("c is connected", || has_children(3));
    let stamp = publish(9);
    until("rejected", || status().is_some_and(|s| s.rejected.is_some()));
    let (rejected, reasons) = status().and_then(|s| s.rejected).expect("rejected");
    assert_eq!((rejected, reasons.join("")), (stamp, "site: c: not here".into()));
    let published = site.call(&OperatorRequest::Halt { reason: "no".into() });
    assert!(matches!(published, Ok(OperatorResponse::Rejected { .. })), "{published:?}");
}
