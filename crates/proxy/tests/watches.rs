//! Races between a watch of the endpoint list and other events at the proxy process, each forced by a peer
//! that delays its answer.

mod rig;

use rig::*;
use serde_json::{json, Value};
use std::time::{Duration, Instant};

/// Time within which the proxy must know of a change, counted from when its watch stopped answering.
const MAX_NOTIFY_DELAY: Duration = Duration::from_secs(6);
/// Longest time that a call may be queued at the list service.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Returns the wait that a watch asks for in its request line.
fn watch_wait(line: &str) -> Duration {
    let wait_ms = line.split("hold_ms=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
    Duration::from_millis(wait_ms.and_then(|ms| ms.parse().ok()).expect("a wait"))
}

fn draining_list(r: &Rig, version: u64) -> String {
    list(version, false, &[member("c1", r.cache.addr, "std", "draining")]).to_string()
}

/// The proxy must know within 6 s what a silent watch did not deliver. Guards against a replacing call that
/// begins too late: it may still be queued at the service.
fn assert_silent_watch_is_replaced(answer_start: &str) {
    let r = rig();
    let mut silent = r.discovery.take();
    let (began, wait) = (Instant::now(), watch_wait(&silent.request().line));
    silent.write(answer_start);
    let mut next = r.discovery.take();
    let took = began.elapsed();
    assert!(took > wait, "the watch ended before the wait that it asked for: {took:?} of {wait:?}");
    assert!(took + MAX_QUEUE_TIME < MAX_NOTIFY_DELAY, "the next call began after {took:?}");
    assert_eq!(silent.read(), None, "the old watch is still open");
    next.request();
    next.reply("200 OK", "", &draining_list(&r, 42));
    next.request();
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
    assert!(r.cache.no_new_connection());
}

#[test]
fn a_watch_without_an_answer_is_replaced_in_time() {
    assert_silent_watch_is_replaced("");
}

#[test]
fn a_watch_that_stalls_after_the_head_of_its_answer_is_replaced_in_time() {
    assert_silent_watch_is_replaced("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
}

#[test]
fn a_watch_that_stalls_in_the_middle_of_a_list_is_replaced_in_time() {
    assert_silent_watch_is_replaced(
        "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":42,\"full\":false,\"servers\":[{\"id\":",
    );
}

/// The kernel keeps sending unacknowledged data until the connection is reset. Guards against abandoned calls
/// that are closed in order: once the link works again, those of all proxies would arrive at once, each
/// beside a later call.
#[test]
fn an_abandoned_call_is_reset_so_that_it_is_not_retransmitted() {
    let r = rig();
    let mut silent = r.discovery.take();
    silent.request();
    let mut next = r.discovery.take();
    assert!(silent.ends_with_a_reset(), "the abandoned call was closed without a reset");
    next.request();
    // An open call at an old address of the discovery service is abandoned as well.
    let new_service = Server::new();
    std::fs::write(&r.proxy.file, config(new_service.addr, &[]).to_string()).expect("written");
    r.proxy.signal("-HUP");
    assert!(next.ends_with_a_reset(), "the call at the old address was closed without a reset");
    new_service.take().request();
}

/// One answer says of a node that it drains, is gone, and is ready as a new process. Guards against a proxy
/// that doesn't act on the last of these states.
#[test]
fn a_node_that_restarts_within_one_answer_is_used_on_new_connections() {
    let r = rig();
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "");
    client.answer();
    let mut watch = r.discovery.take();
    watch.request();
    let mut restarted = member("c1", r.cache.addr, "std", "ready");
    restarted["started_ms"] = json!(1_700_000_000_000u64);
    let states = ["draining", "gone"].map(|state| member("c1", r.cache.addr, "std", state));
    let [draining, gone] = states;
    watch.reply("200 OK", "", &list(42, false, &[draining, gone, restarted]).to_string());
    assert_eq!(node.read(), None, "the connection to the old process is still open");
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "back");
    assert_eq!(client.answer().body, b"back");
}

/// Guards against repeated polls of the complete list, which would keep a slow service slow.
#[test]
fn a_slow_list_service_gets_more_time_and_is_not_polled_twice() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let mut platform = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    platform["settings"]["rules"]["must_ask_in_ns"] = json!(2_000_000_000u64);
    let mut r = Rig { proxy: Proxy::new(&platform), cache, origin, discovery };
    let mut silent = r.discovery.take();
    let wait = watch_wait(&silent.request().line);
    let mut slow = r.discovery.take();
    slow.request();
    let delay = wait + Duration::from_millis(1500);
    assert!(slow.stays_open(delay), "the call was abandoned within {delay:?}");
    slow.reply("200 OK", "", &list(41, false, &[]).to_string());
    slow.request();
    r.proxy.signal("-TERM");
    assert_eq!(r.proxy.logged("draining"), 1, "the decision module was notified of a discovery failure");
}

/// A proxy must know of pushed lists at once, but on sockets it gets only what it asks for. Guards against
/// one that doesn't watch in this mode.
#[test]
fn pushed_lists_are_watched_as_well() {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut platform = config(discovery.addr, &servers);
    platform["settings"]["discovery"] = json!("automatic");
    platform["settings"]["rules"]["must_ask_in_ns"] = Value::Null;
    let r = Rig { proxy: Proxy::new(&platform), cache, origin, discovery };
    let mut watch = r.discovery.take();
    assert!(watch.request().line.contains("from=41"));
    watch.reply("200 OK", "", &draining_list(&r, 42));
    assert!(watch_wait(&watch.request().line) + MAX_QUEUE_TIME < MAX_NOTIFY_DELAY);
    let mut client = r.proxy.client();
    client.ask("read", "");
    assert_eq!(client.answer().status(), 503);
}
