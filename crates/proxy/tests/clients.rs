//! Which client connections the proxy closes when they are idle or when descriptors run out.

mod rig;

use rig::*;
use serde_json::json;
use std::io::BufRead;
use std::time::{Duration, Instant};

#[test]
fn clients_with_incomplete_heads_are_closed_and_idle_ones_kept() {
    let r = rig();
    let mut good = r.proxy.client();
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
    let mut bad: Vec<Peer> = (0..4).map(|_| r.proxy.client()).collect();
    bad[1].write("GET /read/1 HTTP/1.1\r\nX-Corr");
    bad[2].write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\nGET /read/1 HT");
    assert_eq!(bad[2].answer().status(), 200);
    bad[3].write("PUT /order/1 HTTP/1.1\r\nX-Correlation-Id: 1\r\nContent-Length: 9\r\n\r\nhalf");
    assert_eq!(bad[3].answer().status(), 408);
    // A partly read request gets an error answer; a connection on which nothing was read gets none.
    assert_eq!((bad[1].answer().status(), bad[2].answer().status()), (503, 503));
    bad.iter_mut().for_each(|client| assert_eq!(client.read(), None));
    good.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(good.answer().status(), 200);
}

/// When descriptors are short, a connection with one request is closed only after this idle time
/// (`REUSE_WITHIN` of the proxy).
const MIN_IDLE_AFTER_REQUEST: Duration = Duration::from_millis(40);

/// Guards against silent connections that displace clients with requests: a connection with two requests
/// stays open, one with a single request stays open for a minimum idle time.
#[test]
fn a_flood_of_silent_connections_does_not_displace_those_with_requests() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    settings["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&settings);
    let mut two_requests = proxy.client();
    for _ in 0..2 {
        two_requests.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(two_requests.answer().status(), 200);
    }
    let mut one_request = proxy.client();
    let sent = Instant::now();
    one_request.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(one_request.answer().status(), 200);
    let mut silent: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    for client in &mut silent[..30] {
        assert_eq!(client.read(), None);
    }
    one_request.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    match one_request.read() {
        Some(answer) => assert_eq!(answer.status(), 200),
        None => assert!(sent.elapsed() > MIN_IDLE_AFTER_REQUEST, "closed after {:?}", sent.elapsed()),
    }
    two_requests.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(two_requests.answer().status(), 200);
}

#[test]
fn descriptor_shortage_closes_idle_connections_but_not_waiting_ones() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    settings["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&settings);
    let mut waiting = proxy.client();
    waiting.ask("read", "");
    let mut node = cache.take();
    node.request();
    let mut idle: Vec<Peer> = (0..40).map(|_| proxy.client()).collect();
    let last = idle.last_mut().expect("one");
    last.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(last.answer().status(), 200);
    assert_eq!(idle[0].read(), None);
    node.reply("200 OK", "X-Lookup: hit\r\n", "value");
    assert_eq!(waiting.answer().body, b"value");
}

#[test]
fn idle_connections_are_closed_before_all_descriptors_are_taken() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    // Room for eight clients: from the fifth on, the connection that was idle longest is closed.
    settings["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&settings);
    let health = |client: &mut Peer| {
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
    };
    let mut idle: Vec<Peer> = (0..6).map(|_| proxy.client()).collect();
    idle.iter_mut().for_each(health);
    let mut newest = proxy.client();
    health(&mut newest);
    // It is closed once it has been idle for the minimum time, which takes a little longer on a busy machine.
    assert_eq!(idle[0].read(), None);
    health(&mut newest);
}

#[test]
fn many_attempts_do_not_prevent_new_client_connections() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    // 32 descriptors are for sockets: 16 of these for clients, but 11 waiting clients take 11 more for their
    // attempts.
    settings["limits"]["sockets"] = json!(56);
    let proxy = Proxy::new(&settings);
    let mut clients: Vec<Peer> = (0..11).map(|_| proxy.client()).collect();
    let mut nodes: Vec<Peer> = Vec::new();
    for client in &mut clients {
        client.ask("read", "");
        nodes.push(cache.take());
    }
    let mut more: Vec<Peer> = (0..5).map(|_| proxy.client()).collect();
    for client in &mut more {
        client.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
        assert_eq!(client.answer().status(), 200);
    }
    for (node, client) in nodes.iter_mut().zip(&mut clients) {
        node.request();
        node.reply("200 OK", "X-Lookup: hit\r\n", "");
        assert_eq!(client.answer().status(), 200);
    }
}

#[test]
fn a_client_that_stalls_in_its_request_head_loses_its_descriptor_to_others() {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    settings["limits"]["sockets"] = json!(40);
    let proxy = Proxy::new(&settings);
    let mut stalled: Vec<Peer> = (0..12).map(|_| proxy.client()).collect();
    stalled.iter_mut().for_each(|client| client.write("GET /_hea"));
    assert_eq!(proxy.health(), 200);
}

/// A proxy with room for eight client connections.
fn proxy_with_eight_clients() -> (Proxy, Server, Server) {
    let (cache, discovery) = (Server::new(), Server::new());
    let mut settings = config(discovery.addr, &[member("c1", cache.addr, "std", "ready")]);
    settings["limits"]["sockets"] = json!(40);
    (Proxy::new(&settings), cache, discovery)
}

/// Guards against closing a slow client that still sends its head because its connection is older than those
/// of stalled ones.
#[test]
fn when_descriptors_are_short_a_slow_head_is_kept_and_stalled_ones_are_closed() {
    let (proxy, _cache, _discovery) = proxy_with_eight_clients();
    let mut slow = proxy.client();
    slow.write("GET /_health HTTP/1.1\r\nHost: a\r\nX-Slow: ");
    let mut stalled = Vec::new();
    for _ in 0..30 {
        let mut half_sent = proxy.client();
        half_sent.write("GET /_health HT");
        stalled.push(half_sent);
        // Once this request is answered, earlier connections have been accepted and have displaced others.
        assert_eq!(proxy.health(), 200);
        slow.write("x");
    }
    assert_eq!((stalled[0].answer().status(), stalled[0].read()), (503, None));
    slow.write("\r\n\r\n");
    assert_eq!(slow.answer().status(), 200);
}

/// Guards against clients that send one request and keep their connection until no descriptor is left.
#[test]
fn when_descriptors_are_short_the_first_answer_closes_its_connection() {
    let (proxy, _cache, _discovery) = proxy_with_eight_clients();
    // Most of the descriptors are taken by connections that may still send a request.
    let _halves: Vec<Peer> = (0..6)
        .map(|_| {
            let mut half_sent = proxy.client();
            half_sent.write("GET /_health HT");
            half_sent
        })
        .collect();
    let mut one_request = proxy.client();
    one_request.write("GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    let answer = one_request.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    assert_eq!(one_request.read(), None);
}

/// Answers every request on every connection to a node, until the server is dropped.
fn answer_all(node: Server) {
    std::thread::spawn(move || {
        for stream in node.accepted {
            std::thread::spawn(move || {
                let mut peer = Peer::new(stream);
                while peer.read().is_some() {
                    peer.reply("200 OK", "X-Lookup: hit\r\n", "value");
                }
            });
        }
    });
}

/// Guards against connections that a request leaves dead in the registry, with their descriptors and places:
/// the proxy then accepts nobody else and does not end after SIGTERM.
#[test]
fn requests_that_name_their_id_in_connection_leave_no_dead_connections() {
    const REQUESTS: usize = 24;
    let (mut proxy, cache, _discovery) = proxy_with_eight_clients();
    answer_all(cache);
    for _ in 0..REQUESTS {
        let mut client = proxy.client();
        client.ask("read", "Connection: keep-alive, X-Correlation-Id\r\n");
        client.0.get_ref().set_read_timeout(Some(Duration::from_secs(1))).expect("a time-out");
        // An answer or a close; with neither the connection counts as dead.
        let _ = client.0.fill_buf();
    }
    let mut usual = proxy.client();
    usual.ask("read", "");
    assert_eq!(usual.answer().status(), 200);
    proxy.signal("-TERM");
    until("it has ended", || proxy.child.try_wait().expect("a state").is_some_and(|s| s.success()));
}
