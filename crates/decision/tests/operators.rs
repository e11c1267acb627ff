//! What operators change while the proxy runs: servers taken out, versions of the settings.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

/// Danger: were a node that is out struck from the hash, its keys would settle elsewhere and each would be a miss
/// more on its return.
#[test]
fn an_excluded_server_gets_nothing_and_its_keys_return_when_it_is_included() {
    let mut p = Proxy::with(settings(), entries(0..6));
    let keys: Vec<u64> = (0..300).map(|k| k * 7919).collect();
    let mut homes = Vec::new();
    for key in &keys {
        // Three hits win a bucket.
        homes.push((0..4).map(|_| p.served(*key, true)).last().expect("a server"));
    }
    let out = homes[0];
    p.event(Event::Excluded(out));
    p.event(Event::Excluded(out));
    for key in &keys {
        assert!((0..4).all(|_| p.served(*key, true) != out));
    }
    // A list from discovery changes nothing of it.
    let listed = entries(0..6).into_iter().find(|e| e.server == out).expect("listed");
    p.list(ListKind::Delta, vec![Entry { state: State::Gone, ..listed.clone() }]);
    p.list(ListKind::Delta, vec![listed]);
    p.list(ListKind::Full, entries(0..6));
    assert!(keys.iter().all(|key| p.served(*key, true) != out));
    p.event(Event::Included(out));
    // It was restarted, for all that is known: it warms first, but is in use at once.
    let asked = |p: &mut Proxy| keys.iter().filter(|key| p.served(**key, true) == out).count();
    assert!(asked(&mut p) > 0);
    p.now += 30 * SECOND;
    let home = homes.iter().filter(|h| **h == out).count();
    let now = asked(&mut p);
    assert!(now * 10 >= home * 7, "{now} of {home} keys came home");
}

#[test]
fn an_unknown_server_may_be_excluded_and_stays_so_when_it_is_listed() {
    let mut p = Proxy::new(settings(), 7);
    let out = entry(0).server;
    p.event(Event::Excluded(out));
    p.list(ListKind::Cached, entries(0..1));
    let (_, actions) = p.ask(1);
    assert_eq!((sent(&actions), finals(&actions)), (None, 1));
    p.event(Event::Included(out));
    p.now += 30 * SECOND;
    assert_eq!(p.served(1, true), out);
}

/// Danger: a request that came under one version and is repeated under another would see half of each.
#[test]
fn requests_keep_the_settings_they_came_under_and_later_ones_go_by_the_new() {
    let zone = |server: ServerId| entries(0..9).iter().find(|e| e.server == server).map(|e| e.zone);
    let only = |zone: u32| {
        let mut only = settings();
        only.classes[0].allowed_servers.zones = Some(vec![zone]);
        only
    };
    for key in 0..40u64 {
        let mut p = Proxy::with(only(0), entries(0..9));
        let (id, actions) = p.ask(key * 0x9e37_79b9);
        let first = sent(&actions).expect("sent");
        assert_eq!(zone(first), Some(0));
        assert!(p.balancer.update_settings(only(1)));
        assert_eq!(zone(sent(&p.ask(key).1).expect("sent")), Some(1), "a later one goes by the new");
        let again = sent(&p.end(id, 0, first, Status::ConnectFailed, None)).expect("sent again");
        assert!(again != first && zone(again) == Some(0), "an open one keeps to what it came under");
    }
    let mut p = Proxy::with(settings(), entries(0..9));
    let mut fewer = settings();
    fewer.classes.clear();
    assert!(!p.balancer.update_settings(fewer), "classes are the platform's matter");
}

/// Danger: with retries turned off in a storm, requests that came before would go on repeating, or lose one that
/// they were promised.
#[test]
fn a_feature_that_is_turned_off_is_off_for_requests_that_come_after() {
    let mut p = Proxy::with(settings(), entries(0..9));
    let (before, actions) = p.ask(KEY);
    let first = sent(&actions).expect("sent");
    assert!(p.balancer.update_settings(Settings { max_attempts: 1, ..settings() }));
    let (after, actions) = p.ask(KEY + 1);
    let other = sent(&actions).expect("sent");
    assert!(sent(&p.end(before, 0, first, Status::ConnectFailed, None)).is_some(), "it came before");
    let end = p.end(after, 0, other, Status::ConnectFailed, None);
    assert!(matches!(end[..], [Action::Reject { .. }]), "{end:?}");
}
