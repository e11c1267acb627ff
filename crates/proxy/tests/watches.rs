//! Where a watch on the list and something else cross, at the real program. Each crossing is made by a peer that holds back.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// A watch that says nothing any more counts as having told its news so long after it fell silent.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A call may wait for its turn at the list service for so long.
const TURN: Duration = Duration::from_secs(2);

/// How long a watch asks to wait.
fn hold(line: &str) -> Duration {
    let told = line.split("hold_ms=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
    Duration::from_millis(told.and_then(|ms| ms.parse().ok()).expect("a wait"))
}

fn drained(r: &Rig, version: u64) -> String {
    list(version, false, &[member("c1", r.cache.addr, "std", "draining")]).to_string()
}

/// Danger: what a silent watch would have told counts as told 6 s later; a call that comes after that is too late, and one
/// that comes just before may still wait for its turn.
fn silent_after(said: &str) {
    let r = rig();
    let mut silent = r.discovery.take();
    let (began, asked) = (Instant::now(), hold(&silent.request().line));
    silent.write(said);
    let mut next = r.discovery.take();
    let took = began.elapsed();
    assert!(took > asked, "it was not given the time that it was asked to wait: {took:?} of {asked:?}");
    assert!(took + TURN < TOLD_AFTER, "the next call came after {took:?}");
    assert_eq!(silent.read(), None, "what may still come on the old one is not heard");
    next.request();
    next.reply("200 OK", "", &drained(&r, 42));
    next.request();
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
    assert!(r.cache.no_new_connection());
}

#[test]
fn a_silent_watch_is_replaced_before_its_news_counts_as_told() {
    silent_after("");
}

#[test]
fn so_is_one_that_falls_silent_after_the_head_of_its_answer() {
    silent_after("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
}

#[test]
fn so_is_one_that_falls_silent_in_the_midst_of_a_list() {
    silent_after(
        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":42,\"full\":false,\"servers\":[{\"id\":",
    );
}

/// Danger: the kernel goes on sending what a silent link has not taken, until the connection is reset. Calls that were given up
/// in order would come to the service when the link is well, those of all proxies at once, each beside a later one.
#[test]
fn a_call_that_is_given_up_is_reset_so_that_it_is_not_sent_again() {
    let r = rig();
    let mut silent = r.discovery.take();
    silent.request();
    let mut next = r.discovery.take();
    assert!(silent.ends_with_a_reset(), "the given-up call ended in order");
    next.request();
    // One that stands at an address that discovery has left is given up as well.
    let there = Server::new();
    std::fs::write(&r.proxy.file, config(there.addr, &[]).to_string()).expect("written");
    r.proxy.signal("-HUP");
    assert!(next.ends_with_a_reset(), "the call at the old address ended in order");
    there.take().request();
}

/// Danger: of what one answer says of a node the last word counts: it drains, is gone, and is back as a new process.
#[test]
fn a_node_that_is_gone_and_back_within_one_answer_is_used_on_new_connections() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    client.answer();
    let mut watch = r.discovery.take();
    watch.request();
    let mut back = member("c1", r.cache.addr, "std", "ready");
    back["started_ms"] = json!(1_700_000_000_000u64);
    let states = ["draining", "gone"].map(|state| member("c1", r.cache.addr, "std", state));
    let [draining, gone] = states;
    watch.reply("200 OK", "", &list(42, false, &[draining, gone, back]).to_string());
    assert_eq!(node.read(), None, "the old process's connection is kept");
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "back");
    assert_eq!(client.answer().body, b"back");
}

/// Danger: to ask a service that is slow for all again and again would keep it slow.
#[test]
fn a_list_service_that_is_slow_gets_more_time_and_is_not_asked_twice() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let mut quick = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    quick["settings"]["rules"]["must_ask_in_ns"] = json!(2_000_000_000u64);
    let mut r = Rig { proxy: Proxy::new(&quick), cache, origin, discovery };
    let mut silent = r.discovery.take();
    let asked = hold(&silent.request().line);
    let mut slow = r.discovery.take();
    slow.request();
    let late = asked + Duration::from_millis(1500);
    assert!(slow.stays_open(late), "it was given up within {late:?}");
    slow.reply("200 OK", "", &list(41, false, &[]).to_string());
    slow.request();
    r.proxy.signal("-TERM");
    assert_eq!(r.proxy.logged("draining"), 1, "the module heard of a discovery that is down");
}

/// Danger: where lists are pushed nothing comes on sockets unless it is asked for, and all of it counts as told.
#[test]
fn where_lists_are_pushed_they_are_watched_as_well() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut pushed = config(discovery.addr, &servers);
    pushed["settings"]["discovery"] = json!("automatic");
    pushed["settings"]["rules"]["must_ask_in_ns"] = Value::Null;
    let r = Rig { proxy: Proxy::new(&pushed), cache, origin, discovery };
    let mut watch = r.discovery.take();
    assert!(watch.request().line.contains("from=41"));
    watch.reply("200 OK", "", &drained(&r, 42));
    assert!(hold(&watch.request().line) + TURN < TOLD_AFTER);
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
}
