//! Choice of the server for an attempt.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

#[test]
fn a_draining_server_gets_no_new_requests() {
    let mut list = entries(0..3);
    let mut p = Proxy::with_list(settings(), list.clone());
    list[0].state = State::Draining;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    for key in 0..200 {
        assert_ne!(p.serve(key * 977, true), list[0].server);
    }
}

#[test]
fn while_connects_fail_servers_with_an_open_connection_come_first() {
    // Guards against a failure at each further server while connects fail, for instance because of full
    // connection tables or slow handshakes.
    let mut p = Proxy::with_list(settings(), entries(0..20));
    p.background_traffic(0..40);
    let reached = p.serve(KEY, true);
    // From here on only that server is reachable.
    let mut failed = 0;
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, mut actions) = p.request(i * 7919);
        let mut n = 0;
        while let Some(server) = sent(&actions) {
            let ok = server == reached;
            failed += u32::from(!ok && i >= 200);
            let status = if ok { Status::Ok } else { Status::ConnectFailed };
            actions = p.end(id, n, server, status, Some(true));
            n += 1;
        }
    }
    assert!(failed < 20, "{failed} failed connects in the last 100 requests");
}

/// Guards against head-of-line blocking: requests beyond a slow server's capacity queue there while the other
/// candidate of their keys is idle.
#[test]
fn requests_beyond_the_capacity_of_a_candidate_go_to_the_other() {
    let sent_to_home = |limit: Option<f64>| {
        let mut p = Proxy::with_list(settings(), entries(0..6));
        p.background_traffic(0..300);
        let home = p.serve(KEY, true);
        for _ in 0..3 {
            p.serve(KEY, true);
            p.background_traffic(0..100);
        }
        // All servers are equally busy, so that only the concurrency limit distinguishes this one.
        (0..60).for_each(|key| drop(p.request(key * 0x1234_5677)));
        if let Some(max_in_flight) = limit {
            p.event(Event::ConcurrencyLimit { server: home, limit: max_in_flight });
        }
        sent(&p.request(KEY).1).map(|server| server == home)
    };
    assert_eq!(sent_to_home(None), Some(true));
    assert_eq!(sent_to_home(Some(64.0)), Some(true), "a limit that is not reached has no effect");
    assert_eq!(sent_to_home(Some(2.0)), Some(false));
}
