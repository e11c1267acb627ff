//! Slow start at a single proxy.

mod common;
use aniseyoke_decision::api::*;
use common::*;

#[test]
fn a_server_in_slow_start_gets_no_more_than_it_can_serve() {
    // Guards against a burst of hot keys soon after a start that overloads a warming server permanently.
    let mut list = entries(0..4);
    let mut p = Proxy::with_list(settings(), list.clone());
    for i in 0..2000u64 {
        p.now += 2 * MS;
        p.serve(i * 7919, true);
    }
    list[0].started = p.now;
    let warming = list[0].server;
    p.list(ListKind::Delta, vec![list[0].clone()]);
    let mut to_warming = 0;
    for i in 0..45u64 {
        to_warming += usize::from(p.serve(i * 7919, true) == warming);
    }
    // 45 requests in 0.9 s over four servers, one of them at a fifth of its capacity, which fails at three
    // times that load.
    assert!(to_warming <= 7, "{to_warming} of 45");
}

#[test]
fn a_restarted_proxy_keeps_to_the_slow_start_budget() {
    let mut list = entries(0..4);
    list[0].started = 999 * SECOND;
    let mut p = Proxy::with_list(settings(), list.clone());
    let to_warming = (0..200u64).filter(|i| p.serve(i * 7919, true) == list[0].server).count();
    assert!(to_warming <= 30, "{to_warming} of 200 at a proxy that just restarted");
}

#[test]
fn new_servers_get_more_keys_than_their_warm_fraction() {
    // Guards against overloading the servers not yet replaced during a release while new servers are idle.
    let mut list = entries(0..8);
    list.iter_mut().take(4).for_each(|e| e.started = 996 * SECOND);
    let warming: Vec<ServerId> = list.iter().take(4).map(|e| e.server).collect();
    let mut p = Proxy::with_list(settings(), list);
    (0..200u64).for_each(|i| assert!(p.serve(i * 7919, true) > 0));
    let part = (0..200u64).filter(|i| warming.contains(&p.serve(i * 104_729, true))).count();
    // After 8 to 12 of 20 s they have at least 0.5 to 0.7 of their capacity; by that fraction alone they
    // would get 58.
    assert!(part >= 70, "{part} of 200 sent to the half that started recently");
}
