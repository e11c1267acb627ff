//! Recovery of a list service that was unreachable. The proxy has to be notified of a change within 6 s from
//! when the service had it and was reachable, whatever the outcome of earlier calls. In each test the service
//! recovers right after the proxy has sent a call that fails, and the next call is queued at the service.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Time within which the proxy must know of a change, from when the list service had it and was reachable.
const MAX_NOTIFY_DELAY: Duration = Duration::from_secs(6);
/// Longest time that a call may be queued at the list service.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// The outcome of a call to the list service.
#[derive(Clone, Copy)]
enum CallOutcome {
    Closed,
    Silent,
    Refused,
}

use CallOutcome::{Closed, Refused, Silent};

/// Gives calls these outcomes. The service recovers right after the last of them has arrived, with a drain of
/// the node. Returns the time from then until the proxy is notified of the drain.
fn notify_delay(r: &Rig, outcomes: &[CallOutcome]) -> Duration {
    let (mut open_calls, mut recovered) = (Vec::new(), Instant::now());
    for outcome in outcomes {
        let mut call = r.discovery.take();
        call.request();
        recovered = Instant::now();
        match outcome {
            Closed => drop(call),
            Silent => open_calls.push(call),
            Refused => {
                call.reply("503 Service Unavailable", "Retry-After: 25\r\n", "");
                open_calls.push(call);
            }
        }
    }
    let mut next = r.discovery.take();
    next.request();
    assert!(next.stays_open(MAX_QUEUE_TIME), "the call was abandoned while it was queued");
    next.reply("200 OK", "", &list(42, true, &[member("c1", r.cache.addr, "std", "draining")]).to_string());
    let notified = recovered.elapsed();
    println!("notified after {notified:?}");
    assert!(next.request().line.contains("from=42"), "the watch continues");
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
    assert!(r.cache.no_new_connection());
    notified
}

fn assert_notified_in_time(r: &Rig, outcomes: &[CallOutcome]) {
    let notified = notify_delay(r, outcomes);
    assert!(notified < MAX_NOTIFY_DELAY, "notified after {notified:?}");
}

/// Starts a proxy with an operator's file. `pushed`: whether the platform pushes its lists.
fn rig_with_operator_file(operator_file: &str, pushed: bool) -> (Rig, tempfile::TempDir) {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    if pushed {
        config["settings"]["discovery"] = json!("automatic");
        config["settings"]["rules"]["must_ask_in_ns"] = Value::Null;
    }
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.toml");
    std::fs::write(&path, operator_file).expect("written");
    let proxy = Proxy::with(&config, |c| {
        c.env("ANISEYOKE_FILE", &path);
    });
    (Rig { proxy, cache, origin, discovery }, folder)
}

#[test]
fn notified_in_time_after_closed_connections() {
    assert_notified_in_time(&rig(), &[Closed; 6]);
}

#[test]
fn notified_in_time_after_calls_without_an_answer() {
    assert_notified_in_time(&rig(), &[Silent; 3]);
}

#[test]
fn notified_in_time_after_rejected_calls() {
    assert_notified_in_time(&rig(), &[Refused; 6]);
}

#[test]
fn notified_in_time_after_calls_that_failed_in_different_ways() {
    assert_notified_in_time(&rig(), &[Closed, Refused, Closed, Silent, Refused, Closed, Silent]);
}

#[test]
fn notified_in_time_with_pushed_lists() {
    assert_notified_in_time(&rig_with_operator_file("", true).0, &[Closed, Silent, Silent, Silent]);
}

/// A proxy must know of a pushed list at once. Guards against polls that are delayed to the next interval in
/// this mode.
#[test]
fn pushed_lists_are_watched_without_a_gap_whatever_the_operator_sets() {
    let (r, _folder) = rig_with_operator_file("[list]\nevery = \"3s\"\n", true);
    assert!(r.proxy.logged_at_startup("list: the platform pushes its lists, so that polls are not limited"));
    let mut watch = r.discovery.take();
    watch.request();
    for version in 42..46 {
        let answered = Instant::now();
        watch.reply("200 OK", "", &list(version, false, &[]).to_string());
        watch.request();
        assert!(
            answered.elapsed() < Duration::from_secs(1),
            "the next watch began {:?} later",
            answered.elapsed()
        );
    }
    drop(watch);
    assert_notified_in_time(&r, &[Silent, Silent]);
}

#[test]
fn notified_in_time_with_a_poll_interval_after_closed_connections() {
    assert_notified_in_time(&rig_with_operator_file("[list]\n", false).0, &[Closed; 4]);
}

#[test]
fn notified_in_time_with_a_poll_interval_after_calls_without_an_answer() {
    assert_notified_in_time(&rig_with_operator_file("[list]\n", false).0, &[Silent; 4]);
}

#[test]
fn notified_in_time_with_a_short_poll_interval() {
    assert_notified_in_time(
        &rig_with_operator_file("[list]\nevery = \"300ms\"\n", false).0,
        &[Closed, Refused, Silent, Closed, Closed, Silent],
    );
}

/// A `Retry-After` beyond the allowed delay is cut to that delay.
#[test]
fn notified_in_time_after_a_rejection_with_a_long_retry_after() {
    assert_notified_in_time(
        &rig_with_operator_file("[list]\nevery = \"1s\"\n", false).0,
        &[Refused, Refused],
    );
}

#[test]
fn operator_settings_beyond_the_allowed_delay_are_logged() {
    let text = "[list]\nevery = \"2s\"\nback_off_most = \"10s\"\n";
    let (r, _folder) = rig_with_operator_file(text, false);
    assert!(r.proxy.logged_at_startup("list.every: 2s counts as 2.4s"), "{:?}", r.proxy.startup_log);
    assert!(r.proxy.logged_at_startup("list.back_off_most: 10s counts as 3.6s"), "{:?}", r.proxy.startup_log);
    assert!(!r.proxy.logged_at_startup("list.answer_most"), "{:?}", r.proxy.startup_log);
}

/// Guards against a first call to a new address that is abandoned and repeated while it is queued, so that
/// the service never answers it.
#[test]
fn notified_in_time_at_a_new_address() {
    let mut r = rig();
    r.discovery.take().request();
    let new_service = Server::new();
    let mut platform = config(new_service.addr, &[]);
    platform["known"] = Value::Null;
    std::fs::write(&r.proxy.file, platform.to_string()).expect("written");
    r.discovery = new_service;
    r.proxy.signal("-HUP");
    assert_notified_in_time(&r, &[Silent]);
}
