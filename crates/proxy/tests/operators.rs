//! What operators see of the real program: the door, bans and the drain.

mod rig;

use rig::*;
use serde_json::json;
use std::net::SocketAddr;

/// Two cache nodes, an origin, and a door.
struct Site {
    proxy: Proxy,
    door: SocketAddr,
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
    // Nodes are warm from the first, so that which one gets a read is the hash's matter alone.
    config["settings"]["rules"]["cold_ns"] = json!(0);
    let mut proxy = Proxy::new(&config);
    let door = proxy.admin_addr();
    Site { proxy, door, nodes, discovery, _origin: origin }
}

impl Site {
    /// Has one read served by the node that it goes to, on a new connection there; which node that is.
    fn read(&self, client: &mut Peer) -> usize {
        client.ask("read", "");
        let (at, mut node) = accept_any(&self.nodes);
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "value");
        assert_eq!(client.answer().status(), 200);
        at
    }
}

#[test]
fn every_call_is_answered_at_once_as_the_page_says() {
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
        assert_eq!(call(s.door, method, path, body), status, "{method} {path} {body}");
    }
    assert_eq!(call(s.door, "POST", "/api/exclude", &"x".repeat(20 << 10)), 400);
    assert_eq!(s.proxy.health(), 200);
}

/// Danger: callers that hold their connection and never finish would keep operators out.
#[test]
fn callers_that_never_finish_make_room_for_those_that_do() {
    let s = site();
    let mut held: Vec<Peer> = (0..40).map(|_| Peer::to(s.door)).collect();
    held.iter_mut().step_by(2).for_each(|caller| caller.write("POST /api/evacuate HTTP/1.1\r\nHost"));
    for _ in 0..20 {
        assert_eq!(call(s.door, "GET", "/api/ready", ""), 200);
    }
    assert_eq!(held[1].read(), None);
    assert_eq!(s.proxy.health(), 200);
}

#[test]
fn a_proxy_without_a_node_that_takes_work_is_not_ready() {
    let discovery = Server::new();
    let mut config = config(discovery.addr, &[]);
    config["mgmt"] = json!("127.0.0.1:0");
    let mut proxy = Proxy::new(&config);
    let door = proxy.admin_addr();
    assert_eq!(call(door, "GET", "/api/ready", ""), 503);
}

#[test]
fn a_drain_asks_clients_away_and_ends_with_the_call_back() {
    let mut s = site();
    let (mut idle, mut used) = (s.proxy.client(), s.proxy.client());
    s.read(&mut idle);
    used.ask("read", "");
    let (_, mut node) = accept_any(&s.nodes);
    node.request();
    assert_eq!(call(s.door, "POST", "/api/evacuate", ""), 200);
    assert_eq!(s.proxy.health(), 503);
    s.proxy.logged("drain: called");
    // Who still comes is served, and asked to go.
    let mut late = s.proxy.client();
    s.read(&mut late);
    assert_eq!(late.read(), None);
    assert_eq!(idle.read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\nConnection: close\r\n", "value");
    let answer = used.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    // A connection that asks nothing is not held either.
    assert_eq!(s.proxy.client().read(), None);
    assert_eq!(call(s.door, "POST", "/api/rejoin", ""), 200);
    assert_eq!(s.proxy.health(), 200);
    s.read(&mut s.proxy.client());
}

/// Danger: a node that operators work on must get nothing, whatever discovery says of it.
#[test]
fn a_node_that_is_out_gets_nothing_until_the_call_back() {
    let s = site();
    let mut watch = s.discovery.take();
    watch.request();
    let mut client = s.proxy.client();
    let home = s.read(&mut client);
    let id = format!("c{home}");
    assert_eq!(call_for_node(s.door, "/api/exclude", &id), 200);
    assert_eq!(s.read(&mut client), 1 - home);
    let news = [("gone", 42), ("ready", 43)];
    for (state, version) in news {
        let changed = [member(&id, s.nodes[home].addr, "std", state)];
        watch.reply("200 OK", "", &list(version, false, &changed).to_string());
        // The next watch is called once the news has been taken in.
        watch.request();
        assert_eq!(s.read(&mut client), 1 - home, "{state}");
    }
    assert_eq!(call_for_node(s.door, "/api/include", &id), 200);
    assert_eq!(s.read(&mut client), home);
}
