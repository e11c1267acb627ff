//! The admin endpoint, bans and the drain of the proxy process.

mod rig;

use rig::*;
use serde_json::json;
use std::net::SocketAddr;

/// A proxy with its admin endpoint, two cache nodes and an origin.
struct Site {
    proxy: Proxy,
    admin_addr: SocketAddr,
    nodes: [Server; 2],
    discovery: Server,
    _origin: Server,
}

fn site() -> Site {
    let (nodes, origin, discovery) = ([Server::new(), Server::new()], Server::new(), Server::new());
    let listed = [
        member("c0", nodes[0].addr, "std", "ready"),
        member("c1", nodes[1].addr, "std", "ready"),
        member("o1", origin.addr, "origin", "ready"),
    ];
    let mut config = config(discovery.addr, &listed);
    config["mgmt"] = json!("127.0.0.1:0");
    // Without slow start, only the hash of the key decides which node gets a read.
    config["settings"]["rules"]["cold_ns"] = json!(0);
    let mut proxy = Proxy::new(&config);
    let admin_addr = proxy.admin_addr();
    Site { proxy, admin_addr, nodes, discovery, _origin: origin }
}

impl Site {
    /// Sends a read and answers it on a new connection. Returns the index of the node that got it.
    fn read(&self, client: &mut Peer) -> usize {
        client.ask("read", "");
        let (index, mut node) = accept_any(&self.nodes);
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "value");
        assert_eq!(client.answer().status(), 200);
        index
    }
}

#[test]
fn every_admin_call_gets_the_documented_status() {
    let s = site();
    let cases = [
        ("GET", "/api/ready", "", 200),
        ("POST", "/api/ready", "", 405),
        ("GET", "/api/evacuate", "", 405),
        ("GET", "/api/other", "", 404),
        ("POST", "/api/exclude", "{\"id\":\"never\"}", 404),
        ("POST", "/api/include", "{\"id\":\"never\"}", 404),
        ("POST", "/api/exclude", "c0", 400),
        ("POST", "/api/exclude", "", 400),
        ("POST", "/api/include", "{\"id\":\"c0\"}", 200),
        ("POST", "/api/exclude", "{\"id\":\"c0\"}", 200),
        ("POST", "/api/exclude", "{\"id\":\"c0\"}", 200),
        ("POST", "/api/include", "{\"id\":\"c0\"}", 200),
        ("POST", "/api/rejoin", "", 200),
    ];
    for (method, path, body, status) in cases {
        assert_eq!(call(s.admin_addr, method, path, body), status, "{method} {path} {body}");
    }
    assert_eq!(call(s.admin_addr, "POST", "/api/exclude", &"x".repeat(20 << 10)), 400);
    assert_eq!(s.proxy.health(), 200);
}

/// Guards against connections with unfinished requests that use up the admin endpoint and lock operators out.
#[test]
fn connections_with_unfinished_requests_do_not_block_other_admin_calls() {
    let s = site();
    let mut callers: Vec<Peer> = (0..40).map(|_| Peer::to(s.admin_addr)).collect();
    callers.iter_mut().step_by(2).for_each(|caller| caller.write("POST /api/evacuate HTTP/1.1\r\nHost"));
    for _ in 0..20 {
        assert_eq!(call(s.admin_addr, "GET", "/api/ready", ""), 200);
    }
    assert_eq!(callers[1].read(), None);
    assert_eq!(s.proxy.health(), 200);
}

#[test]
fn a_proxy_without_an_available_node_is_not_ready() {
    let discovery = Server::new();
    let mut config = config(discovery.addr, &[]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut proxy = Proxy::new(&config);
    let admin_addr = proxy.admin_addr();
    assert_eq!(call(admin_addr, "GET", "/api/ready", ""), 503);
}

#[test]
fn a_drain_closes_client_connections_and_ends_with_rejoin() {
    let mut s = site();
    let (mut idle, mut busy) = (s.proxy.client(), s.proxy.client());
    s.read(&mut idle);
    busy.ask("read", "");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    assert_eq!(call(s.admin_addr, "POST", "/api/evacuate", ""), 200);
    assert_eq!(s.proxy.health(), 503);
    s.proxy.logged("drain: called");
    // A new client is served, and its connection is closed after the answer.
    let mut late = s.proxy.client();
    s.read(&mut late);
    assert_eq!(late.read(), None);
    assert_eq!(idle.read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "value");
    let answer = busy.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    // A connection without a request is closed as well.
    assert_eq!(s.proxy.client().read(), None);
    assert_eq!(call(s.admin_addr, "POST", "/api/rejoin", ""), 200);
    assert_eq!(s.proxy.health(), 200);
    s.read(&mut s.proxy.client());
}

/// Guards against requests to a node that an operator has excluded, whatever the endpoint list says of it.
#[test]
fn an_excluded_node_gets_no_requests_until_it_is_included() {
    let s = site();
    let mut watch = s.discovery.take();
    watch.request();
    let mut client = s.proxy.client();
    let home = s.read(&mut client);
    let id = format!("c{home}");
    assert_eq!(call_for_node(s.admin_addr, "/api/exclude", &id), 200);
    assert_eq!(s.read(&mut client), 1 - home);
    let changes = [("gone", 42), ("ready", 43)];
    for (state, version) in changes {
        let changed = [member(&id, s.nodes[home].addr, "std", state)];
        watch.reply("200 OK", "", &list(version, false, &changed).to_string());
        // The next watch begins once the event has been applied.
        watch.request();
        assert_eq!(s.read(&mut client), 1 - home, "{state}");
    }
    assert_eq!(call_for_node(s.admin_addr, "/api/include", &id), 200);
    assert_eq!(s.read(&mut client), home);
}
