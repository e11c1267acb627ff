//! Outlier ejection: which servers are ejected, and for how long.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

#[test]
fn a_silent_server_is_ejected_and_used_again_later() {
    let mut p = Proxy::with_list(settings(), entries(0..20));
    p.background_traffic(0..100);
    let first = p.serve(KEY, true);
    let mut moved = false;
    for _ in 0..3 {
        let (id, actions) = p.request(KEY);
        let server = sent(&actions).expect("sent");
        moved |= server != first;
        p.now += 400 * MS;
        let actions = p.end_after(id, 0, server, Status::Timeout, None, 400 * MS);
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, Some(true));
        }
        p.background_traffic(0..5);
    }
    assert!(moved, "consecutive timeouts must send the key to another server");
    p.now += 60 * SECOND;
    p.background_traffic(0..300);
    let mut back = Vec::new();
    for _ in 0..4 {
        back.push(p.serve(KEY, true));
        p.background_traffic(0..100);
    }
    assert!(back.contains(&first), "the server is used again after its ejection");
}

#[test]
fn when_all_servers_fail_equally_often_none_is_ejected() {
    // Guards against ejections for a slow origin, which makes every server time out at times: all keys would
    // move to the few remaining servers, and each move is a miss that loads the origin further.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..300);
    let mut moved = 0;
    for i in 0..2000u64 {
        p.now += 4 * MS;
        let (id, actions) = p.request((i % 50) * 7919);
        let Some(server) = sent(&actions) else { continue };
        let home = sent(&Proxy::with_list(settings(), entries(0..10)).request((i % 50) * 7919).1);
        moved += usize::from(i > 1000 && home != Some(server));
        let bad = i.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 62 == 0;
        let (status, after) = if bad { (Status::Timeout, 300 * MS) } else { (Status::Ok, 20 * MS) };
        p.end_after(id, 0, server, status, Some(true), after);
    }
    assert!(moved < 400, "{moved} of 1000 sent elsewhere while a quarter fails at every server");
}

#[test]
fn a_server_that_fails_fast_most_of_the_time_is_ejected() {
    // Guards against a server that fails fast and so looks quick, and whose few successes reset its failure
    // count.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..300);
    let bad = sent(&p.request(KEY).1).expect("sent");
    let mut to_bad = 0;
    for i in 0..2000u64 {
        p.now += 4 * MS;
        let (id, actions) = p.request(i * 7919);
        let Some(server) = sent(&actions) else { continue };
        to_bad += usize::from(server == bad);
        let fails = server == bad && i % 8 != 0;
        p.end(id, 0, server, if fails { Status::Error } else { Status::Ok }, Some(true));
    }
    assert!(to_bad < 60, "{to_bad} of 2000 sent to a server that fails seven requests of eight");
}

#[test]
fn a_connection_that_breaks_once_moves_no_keys() {
    // Guards against ejecting a server for one reset connection in a faulty network: all its keys then moved
    // to servers that lack them.
    let mut p = Proxy::with_list(settings(), entries(0..6));
    p.background_traffic(0..600);
    let first = p.serve(KEY, true);
    let (id, _) = p.request(KEY);
    assert_ne!(sent(&p.end(id, 0, first, Status::Reset, None)), Some(first));
    assert_eq!(p.serve(KEY, true), first);
}

#[test]
fn a_client_that_waits_less_than_the_latency_objective_does_not_count_against_servers() {
    let mut p = Proxy::with_list(Settings { clients_mark_retries: true, ..settings() }, entries(0..6));
    p.background_traffic(0..600);
    let first = p.serve(KEY, true);
    let mut timeouts = 0;
    for key in 0..200u64 {
        p.now += MS;
        let request = Request { key: Some(key * 7919), remaining: 100 * MS, ..Request::default() };
        let (id, actions) = p.submit(request);
        match sent(&actions) {
            Some(server) if server == first && timeouts < 6 => {
                timeouts += 1;
                p.now += 100 * MS;
                p.end_after(id, 0, first, Status::Timeout, None, 100 * MS);
            }
            Some(server) => drop(p.end(id, 0, server, Status::Ok, Some(true))),
            None => {}
        }
        if timeouts == 6 {
            break;
        }
    }
    // All at the same time, so that no ejection ends meanwhile.
    let used = (1000..1060u64).filter(|key| sent(&p.request(key * 7919).1) == Some(first)).count();
    assert!(timeouts == 6 && used > 3, "{used} of 60 requests after {timeouts} timeouts");
}

#[test]
fn rejections_do_not_clear_a_server_that_serves_nothing() {
    // Guards against an overloaded server that rejects some requests and lets the rest time out: when each
    // rejection reset its failure count, it kept its keys for ten seconds without serving a request.
    let s = Settings { hedging: false, ..settings() };
    let mut p = Proxy::with_list(s, entries(0..20));
    p.background_traffic(0..600);
    let first = p.serve(KEY, true);
    for i in 0..40u64 {
        let (id, actions) = p.request(KEY);
        if sent(&actions).expect("sent") != first {
            return;
        }
        p.now += 300 * MS;
        let status = if i % 2 == 0 { Status::Rejected } else { Status::Timeout };
        p.end_after(id, 0, first, status, None, 300 * MS);
        // A fifth of the requests at other servers fails too.
        for k in 0..20 {
            p.now += MS;
            let (id, actions) = p.request((i * 20 + k) * 7919);
            let server = sent(&actions).expect("sent");
            let status = if k % 5 == 0 { Status::Error } else { Status::Ok };
            if server == first {
                p.event(Event::ClientLeft(id));
            } else {
                p.end(id, 0, server, status, Some(true));
            }
        }
    }
    panic!("a server with only rejections and timeouts still gets requests");
}
