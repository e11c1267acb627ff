//! For how long a connection to a cache node is used again.

mod rig;

use rig::*;
use serde_json::Value;

/// A proxy that is told the given idle time, or none, in front of one cache node and an origin.
fn told(idle: Option<u64>) -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["settings"]["caps"]["conn_idle_ns"] = idle.map_or(Value::Null, Value::from);
    Rig { proxy: Proxy::new(&config), cache, origin, discovery }
}

/// Has a request answered on a new connection of the cache node, which stays open on the node's side, and has the
/// client ask the same again at once.
fn answered_once(r: &Rig) -> (Peer, Peer) {
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "one");
    assert_eq!(client.answer().body, b"one");
    client.ask("read", "");
    (client, node)
}

/// Danger: a node that keeps no idle connection shuts it right after its answer, and what is written to it from then
/// on ends as a reset and may have run.
#[test]
fn with_an_idle_time_of_zero_no_connection_is_used_again() {
    let r = told(Some(0));
    let (mut client, mut first) = answered_once(&r);
    let again = first.read();
    assert!(again.is_none(), "written to a connection that its node no longer serves: {again:?}");
    let mut second = r.cache.take();
    second.request();
    second.reply("200 OK", "X-Lookup: hit\r\n", "two");
    assert_eq!(client.answer().body, b"two");
    assert_eq!(second.read(), None);
}

/// The other way about: where nothing is said of it, connections are used again.
#[test]
fn with_no_idle_time_told_a_connection_is_used_again() {
    let r = told(None);
    let (mut client, mut first) = answered_once(&r);
    first.request();
    first.reply("200 OK", "X-Lookup: hit\r\n", "two");
    assert_eq!(client.answer().body, b"two");
    assert!(r.cache.no_new_connection());
}
