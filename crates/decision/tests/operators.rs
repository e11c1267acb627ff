//! Changes by operators while the proxy runs: excluded servers and versions of the settings.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

/// Guards against extra misses: if an excluded node were removed from the hash, its keys would get other
/// servers and each would miss again when the node is included.
#[test]
fn an_excluded_server_gets_nothing_and_its_keys_return_when_it_is_included() {
    let mut p = Proxy::with_list(settings(), entries(0..6));
    let keys: Vec<u64> = (0..300).map(|k| k * 7919).collect();
    let mut homes = Vec::new();
    for key in &keys {
        // Three hits decide the winner of a bucket.
        homes.push((0..4).map(|_| p.serve(*key, true)).last().expect("a server"));
    }
    let out = homes[0];
    p.event(Event::Excluded(out));
    p.event(Event::Excluded(out));
    for key in &keys {
        assert!((0..4).all(|_| p.serve(*key, true) != out));
    }
    // Endpoint lists do not include it again.
    let listed = entries(0..6).into_iter().find(|e| e.server == out).expect("listed");
    p.list(ListKind::Delta, vec![Entry { state: State::Gone, ..listed.clone() }]);
    p.list(ListKind::Delta, vec![listed]);
    p.list(ListKind::Full, entries(0..6));
    assert!(keys.iter().all(|key| p.serve(*key, true) != out));
    p.event(Event::Included(out));
    // It may have been restarted, so it is in slow start, but it is used at once.
    let requests_served = |p: &mut Proxy| keys.iter().filter(|key| p.serve(**key, true) == out).count();
    assert!(requests_served(&mut p) > 0);
    p.now += 30 * SECOND;
    let home = homes.iter().filter(|h| **h == out).count();
    let now = requests_served(&mut p);
    assert!(now * 10 >= home * 7, "{now} of {home} keys returned");
}

#[test]
fn an_unknown_server_can_be_excluded_and_stays_excluded_when_it_is_listed() {
    let mut p = Proxy::new(settings(), 7);
    let out = entry(0).server;
    p.event(Event::Excluded(out));
    p.list(ListKind::Cached, entries(0..1));
    let (_, actions) = p.request(1);
    assert_eq!((sent(&actions), final_answers(&actions)), (None, 1));
    p.event(Event::Included(out));
    p.now += 30 * SECOND;
    assert_eq!(p.serve(1, true), out);
}

/// Guards against a request that arrives under one version of the settings and is retried under another.
#[test]
fn requests_keep_the_settings_of_their_arrival_and_later_ones_use_the_new_settings() {
    let zone = |server: ServerId| entries(0..9).iter().find(|e| e.server == server).map(|e| e.zone);
    let only = |zone: u32| {
        let mut only = settings();
        only.classes[0].allowed_servers.zones = Some(vec![zone]);
        only
    };
    for key in 0..40u64 {
        let mut p = Proxy::with_list(only(0), entries(0..9));
        let (id, actions) = p.request(key * 0x9e37_79b9);
        let first = sent(&actions).expect("sent");
        assert_eq!(zone(first), Some(0));
        assert!(p.balancer.update_settings(only(1)));
        assert_eq!(
            zone(sent(&p.request(key).1).expect("sent")),
            Some(1),
            "a later request uses the new settings"
        );
        let again = sent(&p.end(id, 0, first, Status::ConnectFailed, None)).expect("sent again");
        assert!(again != first && zone(again) == Some(0), "an open request keeps its settings");
    }
    let mut p = Proxy::with_list(settings(), entries(0..9));
    let mut fewer = settings();
    fewer.classes.clear();
    assert!(!p.balancer.update_settings(fewer), "an update cannot change the number of classes");
}

/// Guards against open requests that lose a retry when retries are turned off, and against retries of
/// requests that arrive after that.
#[test]
fn a_feature_that_is_turned_off_is_off_only_for_later_requests() {
    let mut p = Proxy::with_list(settings(), entries(0..9));
    let (before, actions) = p.request(KEY);
    let first = sent(&actions).expect("sent");
    assert!(p.balancer.update_settings(Settings { max_attempts: 1, ..settings() }));
    let (after, actions) = p.request(KEY + 1);
    let other = sent(&actions).expect("sent");
    assert!(
        sent(&p.end(before, 0, first, Status::ConnectFailed, None)).is_some(),
        "a request that arrived before the change is retried"
    );
    let end = p.end(after, 0, other, Status::ConnectFailed, None);
    assert!(matches!(end[..], [Action::Reject { .. }]), "{end:?}");
}
