//! Reuse of idle connections to cache nodes.

mod rig;

use rig::*;
use serde_json::Value;

/// Starts a proxy with the given idle timeout of connections, or none, in front of one cache node and an
/// origin.
fn rig_with_idle_timeout(idle: Option<u64>) -> Rig {
    let (cache, origin, discovery) = (Server::new(), Server::new(), Server::new());
    let servers = [member("c1", cache.addr, "std", "ready"), member("o1", origin.addr, "origin", "ready")];
    let mut config = config(discovery.addr, &servers);
    config["settings"]["caps"]["conn_idle_ns"] = idle.map_or(Value::Null, Value::from);
    Rig { proxy: Proxy::new(&config), cache, origin, discovery }
}

/// Has a request answered on a new connection to the cache node, which stays open on the node's side, and
/// sends the same request again at once. Returns the client's and the node's connection.
fn answer_once_and_repeat(r: &Rig) -> (Peer, Peer) {
    let mut client = r.proxy.client();
    client.ask("read", "");
    let mut node = r.cache.take();
    node.request();
    node.reply("200 OK", "X-Lookup: hit\r\n", "one");
    assert_eq!(client.answer().body, b"one");
    client.ask("read", "");
    (client, node)
}

/// Guards against reusing a connection to a node that closes idle connections right after its answer: a
/// request written to it ends with a reset and may have run.
#[test]
fn with_an_idle_timeout_of_zero_no_connection_is_reused() {
    let r = rig_with_idle_timeout(Some(0));
    let (mut client, mut first) = answer_once_and_repeat(&r);
    let again = first.read();
    assert!(again.is_none(), "request on a connection that its node no longer serves: {again:?}");
    let mut second = r.cache.take();
    second.request();
    second.reply("200 OK", "X-Lookup: hit\r\n", "two");
    assert_eq!(client.answer().body, b"two");
    assert_eq!(second.read(), None);
}

/// Guards against not reusing connections if no idle timeout is set.
#[test]
fn without_an_idle_timeout_a_connection_is_reused() {
    let r = rig_with_idle_timeout(None);
    let (mut client, mut first) = answer_once_and_repeat(&r);
    first.request();
    first.reply("200 OK", "X-Lookup: hit\r\n", "two");
    assert_eq!(client.answer().body, b"two");
    assert!(r.cache.no_new_connection());
}
