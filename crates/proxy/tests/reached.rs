//! From when on a list service that could not be reached is back, at the real program: a change counts as told 6 s after
//! the service had it and could be reached, whatever became of the calls before. In each test the service is back the very
//! moment after a call went out that fails, and the next call waits for its turn.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A change counts as told so long after the list service had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A call may wait for its turn there for so long.
const TURN: Duration = Duration::from_secs(2);

/// What becomes of a call.
#[derive(Clone, Copy)]
enum Fate {
    Ended,
    Silent,
    Refused,
}

use Fate::{Ended, Refused, Silent};

/// Calls come to their ends; the service is back just after the last of them came, with a drain. Returns how long after
/// that the drain was told.
fn told_after(r: &Rig, fates: &[Fate]) -> Duration {
    let (mut held, mut back) = (Vec::new(), Instant::now());
    for fate in fates {
        let mut call = r.discovery.take();
        call.request();
        back = Instant::now();
        match fate {
            Ended => drop(call),
            Silent => held.push(call),
            Refused => {
                call.reply("503 Service Unavailable", "Retry-After: 25\r\n", "");
                held.push(call);
            }
        }
    }
    let mut next = r.discovery.take();
    next.request();
    assert!(next.stays_open(TURN), "given up before its turn came");
    next.reply("200 OK", "", &list(42, true, &[member("c1", r.cache.addr, "std", "draining")]).to_string());
    let told = back.elapsed();
    println!("told after {told:?}");
    assert!(next.request().line.contains("from=42"), "the watch goes on");
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
    assert!(r.cache.no_new_connection());
    told
}

fn in_time(r: &Rig, fates: &[Fate]) {
    let told = told_after(r, fates);
    assert!(told < TOLD_AFTER, "told after {told:?}");
}

/// A proxy by an operator's file; `pushed`: the platform pushes its lists.
fn rig_by(operator: &str, pushed: bool) -> (Rig, tempfile::TempDir) {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    if pushed {
        config["settings"]["discovery"] = json!("automatic");
        config["settings"]["rules"]["must_ask_in_ns"] = Value::Null;
    }
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("operator.toml");
    std::fs::write(&path, operator).expect("written");
    let proxy = Proxy::with(&config, |c| {
        c.env("ANISEYOKE_FILE", &path);
    });
    (Rig { proxy, cache, origin, discovery }, folder)
}

#[test]
fn after_connections_that_ended() {
    in_time(&rig(), &[Ended; 6]);
}

#[test]
fn after_calls_that_fell_silent() {
    in_time(&rig(), &[Silent; 3]);
}

#[test]
fn after_refusals() {
    in_time(&rig(), &[Refused; 6]);
}

#[test]
fn after_all_of_these() {
    in_time(&rig(), &[Ended, Refused, Ended, Silent, Refused, Ended, Silent]);
}

#[test]
fn where_lists_are_pushed() {
    in_time(&rig_by("", true).0, &[Ended, Silent, Silent, Silent]);
}

/// Danger: what is pushed counts as told at once, not from a slot on.
#[test]
fn lists_that_are_pushed_are_watched_without_a_gap_whatever_the_operator_sets() {
    let (r, _folder) = rig_by("[list]\nevery = \"3s\"\n", true);
    assert!(r.proxy.logged_at_startup("list: the platform pushes its lists, so that polls are not limited"));
    let mut watch = r.discovery.take();
    watch.request();
    for version in 42..46 {
        let told = Instant::now();
        watch.reply("200 OK", "", &list(version, false, &[]).to_string());
        watch.request();
        assert!(told.elapsed() < Duration::from_secs(1), "the next watch came {:?} later", told.elapsed());
    }
    drop(watch);
    in_time(&r, &[Silent, Silent]);
}

#[test]
fn where_calls_are_paced_after_connections_that_ended() {
    in_time(&rig_by("[list]\n", false).0, &[Ended; 4]);
}

#[test]
fn where_calls_are_paced_after_calls_that_fell_silent() {
    in_time(&rig_by("[list]\n", false).0, &[Silent; 4]);
}

#[test]
fn where_calls_are_paced_in_a_short_cycle() {
    in_time(&rig_by("[list]\nevery = \"300ms\"\n", false).0, &[Ended, Refused, Silent, Ended, Ended, Silent]);
}

/// A service that asks for a longer silence than there is gets as much as there is.
#[test]
fn where_calls_are_paced_after_a_refusal_that_asks_for_a_long_silence() {
    in_time(&rig_by("[list]\nevery = \"1s\"\n", false).0, &[Refused, Refused]);
}

#[test]
fn what_the_operator_sets_beyond_that_is_named() {
    let text = "[list]\nevery = \"2s\"\nback_off_most = \"10s\"\n";
    let (r, _folder) = rig_by(text, false);
    assert!(r.proxy.logged_at_startup("list.every: 2s counts as 2.4s"), "{:?}", r.proxy.startup_log);
    assert!(r.proxy.logged_at_startup("list.back_off_most: 10s counts as 3.6s"), "{:?}", r.proxy.startup_log);
    assert!(!r.proxy.logged_at_startup("list.answer_most"), "{:?}", r.proxy.startup_log);
}

/// Danger: a first call that is given up before its turn, again and again, never has one.
#[test]
fn at_a_new_address() {
    let mut r = rig();
    r.discovery.take().request();
    let there = Server::new();
    let mut moved = config(there.addr, &[]);
    moved["known"] = Value::Null;
    std::fs::write(&r.proxy.file, moved.to_string()).expect("written");
    r.discovery = there;
    r.proxy.signal("-HUP");
    in_time(&r, &[Silent]);
}
