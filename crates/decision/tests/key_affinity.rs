//! Key affinity: candidate servers, winners, hot buckets and pools.

mod common;
use aniseyoke_decision::api::*;
use common::*;
use std::collections::BTreeMap;

const KEY: u64 = 0xabcdef;

/// The server that gets the first request for each of 400 keys, at a new proxy with this history of endpoint
/// lists.
fn first_servers(histories: &[(ListKind, Vec<Entry>)]) -> BTreeMap<u64, ServerId> {
    let mut homes = BTreeMap::new();
    for key in 0..400u64 {
        let mut p = Proxy::new(settings(), key);
        for (kind, entries) in histories {
            p.list(*kind, entries.clone());
        }
        homes.insert(key, sent(&p.request(key * 0x1234_5677).1).expect("sent"));
    }
    homes
}

fn routed(pools: &[Option<u32>]) -> Settings {
    let pool = |zone: &Option<u32>| Pool { zones: zone.map(|z| vec![z]), kinds: None };
    Settings { pools: pools.iter().map(pool).collect(), ..settings() }
}

/// Serves a request routed to a pool and returns its server.
fn serve_in(p: &mut Proxy, pool: Option<u32>, key: u64) -> ServerId {
    let request = Request { key: Some(key), pool, remaining: 800 * MS, ..Request::default() };
    let (id, actions) = p.submit(request);
    let server = sent(&actions).expect("sent");
    p.end(id, 0, server, Status::Ok, Some(true));
    server
}

#[test]
fn hits_in_a_row_win_a_bucket_and_the_winner_stays_through_misses() {
    let mut p = Proxy::with_list(settings(), entries(0..20));
    p.background_traffic(0..300);
    let first = p.serve(KEY, true);
    for _ in 0..3 {
        assert_eq!(p.serve(KEY, true), first);
        p.background_traffic(0..100);
    }
    for _ in 0..4 {
        assert_eq!(p.serve(KEY, false), first, "a bucket with a winner stays at it");
        p.background_traffic(0..100);
    }
}

#[test]
fn misses_move_an_undecided_bucket_to_its_other_candidate() {
    let mut p = Proxy::with_list(settings(), entries(0..20));
    p.background_traffic(0..300);
    let mut servers = Vec::new();
    for _ in 0..8 {
        servers.push(p.serve(KEY, false));
        p.background_traffic(0..100);
    }
    servers.sort_unstable();
    servers.dedup();
    assert_eq!(servers.len(), 2, "only the two candidates of the bucket are used");
}

#[test]
fn a_bucket_reopens_when_its_winner_is_gone() {
    let mut p = Proxy::with_list(settings(), entries(0..20));
    p.background_traffic(0..300);
    let first = p.serve(KEY, true);
    for _ in 0..4 {
        p.serve(KEY, true);
        p.background_traffic(0..100);
    }
    let gone = entries(0..20).into_iter().find(|e| e.server == first).expect("listed");
    p.list(ListKind::Delta, vec![Entry { state: State::Gone, ..gone }]);
    let next = p.serve(KEY, true);
    assert_ne!(next, first);
    p.background_traffic(0..100);
    assert_eq!(p.serve(KEY, true), next);
}

#[test]
fn candidates_do_not_depend_on_the_history_of_the_list() {
    let full = entries(0..30);
    let mut reversed = full.clone();
    reversed.reverse();
    let straight = first_servers(&[(ListKind::Cached, full.clone())]);
    let other = first_servers(&[
        (ListKind::Cached, entries(10..60)),
        (ListKind::Full, entries(25..50)),
        (ListKind::Full, reversed),
    ]);
    assert_eq!(straight, other);
}

#[test]
fn a_removed_server_moves_only_its_own_keys() {
    let before = first_servers(&[(ListKind::Cached, entries(0..30))]);
    let after = first_servers(&[(ListKind::Cached, entries(1..30))]);
    let removed = entry(0).server;
    for (key, home) in &before {
        if *home != removed {
            assert_eq!(after[key], *home);
        }
    }
    assert!(before.values().any(|h| *h == removed));
}

#[test]
fn weights_decide_how_many_keys_a_server_gets() {
    let mut list = entries(0..10);
    list[0].weight = 4.0;
    let heavy = list[0].server;
    let homes = first_servers(&[(ListKind::Cached, list)]);
    let part = homes.values().filter(|h| **h == heavy).count();
    assert!((80..180).contains(&part), "expected about 4/13 of 400 keys, got {part}");
}

#[test]
fn a_hot_key_is_spread_over_several_servers() {
    let mut p = Proxy::with_list(settings(), entries(0..20));
    let mut servers = std::collections::BTreeSet::new();
    for i in 0..200u64 {
        p.now += 2 * MS;
        servers.insert(p.serve(if i % 2 == 0 { KEY } else { i * 7919 }, true));
        p.now += 2 * MS;
    }
    let on_key: std::collections::BTreeSet<_> = (0..20).map(|_| p.serve(KEY, true)).collect();
    assert!(on_key.len() >= 4, "half of all traffic on {} servers", on_key.len());
}

#[test]
fn servers_that_a_class_is_restricted_to_get_fewer_keys_of_other_classes() {
    // Guards against overloading the servers that a class is restricted to: they serve all of that class, and
    // must not get a full share of the other traffic as well.
    let mut s = settings();
    let tied = Class { allowed_servers: Pool { zones: Some(vec![0]), kinds: None }, ..s.classes[0].clone() };
    s.classes.push(tied);
    let part = |s: &Settings| {
        let in_zone = |key: u64| {
            let mut p = Proxy::with_list(s.clone(), entries(0..21));
            let first = sent(&p.request(key * 0x1234_5677).1).expect("sent");
            entries(0..21).iter().any(|e| e.server == first && e.zone == 0)
        };
        (0..600).filter(|k| in_zone(*k)).count()
    };
    let (tied, free) = (part(&s), part(&settings()));
    assert!((170..230).contains(&free), "a third of the keys where no class is restricted: {free}");
    assert!(
        (90..150).contains(&tied),
        "a fifth of the keys where a class is restricted to a third of the servers: {tied}"
    );
}

#[test]
fn a_routed_request_goes_to_its_pool_and_each_pool_has_its_own_affinity() {
    let zone = |server: ServerId| entries(0..9).iter().find(|e| e.server == server).map(|e| e.zone);
    let mut p = Proxy::with_list(routed(&[Some(0), Some(1)]), entries(0..9));
    let keys: Vec<u64> = (0..60).map(|n| n * 0x9e37_79b9).collect();
    let mut pass = || -> Vec<[ServerId; 3]> {
        keys.iter().map(|key| [Some(0), Some(1), None].map(|pool| serve_in(&mut p, pool, *key))).collect()
    };
    // At first each key is a large part of the traffic and is spread over several servers.
    (0..3).for_each(|_| drop(pass()));
    let homes = pass();
    assert!(homes.iter().all(|h| (zone(h[0]), zone(h[1])) == (Some(0), Some(1))));
    assert!(homes.iter().any(|h| zone(h[2]) == Some(2)), "requests without a route use all servers");
    assert_eq!(pass(), homes, "each pool has its own server for a key");
}

/// Guards against cache misses for all keys of the other pools when a new version of the settings adds a
/// pool.
#[test]
fn a_pool_that_is_added_moves_no_key_of_another_pool_and_few_of_the_rest() {
    let mut p = Proxy::with_list(routed(&[Some(0)]), entries(0..21));
    let keys: Vec<u64> = (0..200).map(|n| n * 0x9e37_79b9).collect();
    let homes: Vec<_> =
        keys.iter().map(|k| (serve_in(&mut p, Some(0), *k), serve_in(&mut p, None, *k))).collect();
    assert!(p.balancer.update_settings(routed(&[Some(0), Some(1)])));
    let after: Vec<_> =
        keys.iter().map(|k| (serve_in(&mut p, Some(0), *k), serve_in(&mut p, None, *k))).collect();
    assert!(homes.iter().zip(&after).all(|(a, b)| a.0 == b.0), "the keys of the other pool stay");
    // Zone 1 serves a pool now, so that it gets fewer keys of other requests.
    let moved = homes.iter().zip(&after).filter(|(a, b)| a.1 != b.1).count();
    assert!(moved < 70, "{moved} of 200 moved");
}
