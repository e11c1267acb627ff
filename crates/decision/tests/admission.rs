//! Which requests are rejected unsent, and what clients are advised.

mod common;
use aniseyoke_decision::api::*;
use common::*;

/// Sends `n` requests of a tenant, 2 ms apart, each ended with `status`; returns how many were sent.
fn burst(p: &mut Proxy, tenant: u32, n: u64, status: Status) -> usize {
    let mut taken = 0;
    for i in 0..n {
        p.now += 2 * MS;
        let r =
            Request { key: Some(i * 7919), tenant: Some(tenant), remaining: 800 * MS, ..Request::default() };
        let (id, actions) = p.ask_as(r);
        if let Some(server) = sent(&actions) {
            taken += 1;
            p.end(id, 0, server, status, Some(true));
        }
    }
    taken
}

fn two_tenants() -> Settings {
    let tenants = vec![Tenant { quota_rps: 400.0 }, Tenant { quota_rps: 4000.0 }];
    Settings { tenants, over_quota_weight: 0.05, ..settings() }
}

/// A class that is nearly all of the traffic, and a slow one with a long latency objective beside it.
fn quick_and_slow() -> Settings {
    let quick = settings().classes[0].clone();
    let slow = Class { latency_objective: 2500 * MS, deadline: 6 * SECOND, ..quick.clone() };
    Settings { classes: vec![quick, slow], ..settings() }
}

/// Requests every 5 ms for a time, each ended so; returns how many were taken and how many were asked.
fn steady_requests(p: &mut Proxy, length: Nanos, status: Status, after: Nanos) -> (u64, u64) {
    let (mut taken, mut asked, end) = (0, 0, p.now + length);
    while p.now < end {
        p.now += 5 * MS;
        asked += 1;
        let (id, actions) = p.ask(asked * 7919);
        if let Some(server) = sent(&actions) {
            taken += 1;
            p.end_after(id, 0, server, status, Some(true), after);
        }
    }
    (taken, asked)
}

#[test]
fn overload_is_shed_and_clears() {
    // Danger: repeats keep servers jammed that go on with work nobody waits for.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let (mut rejected, mut out) = (0, std::collections::VecDeque::new());
    for i in 0..400u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        match sent(&actions) {
            Some(_) => out.push_back((p.now + 300 * MS, id)),
            None => rejected += 1,
        }
        while out.front().is_some_and(|(at, _)| *at <= p.now) {
            let id = out.pop_front().expect("there is one").1;
            p.event(Event::ClientLeft(id));
        }
    }
    out.into_iter().for_each(|(_, id)| drop(p.event(Event::ClientLeft(id))));
    assert!(rejected > 200, "{rejected} of 400 rejected while nothing is served");
    for i in 0..2000u64 {
        p.now += 20 * MS;
        let (id, actions) = p.ask(i * 7919);
        if let Some(server) = sent(&actions) {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    for i in 0..100 {
        p.now += 20 * MS;
        p.served(i * 7919, true); // Panics unless all is taken again once it is served.
    }
}

#[test]
fn the_last_retry_of_a_client_does_not_make_first_attempts_look_late() {
    // Danger: the last attempt is given all the time left, more than a first one; rejecting by the longest time seen
    // rejects nearly everything for good.
    let mut p = Proxy::with(settings(), entries(0..10));
    p.crowd(0..50);
    let long = Request { key: Some(1), remaining: 790 * MS, ..Request::default() };
    let (id, _) = p.ask_as(long);
    p.event(Event::ClientLeft(id));
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, _) = p.ask_as(Request { key: Some(i), remaining: 500 * MS, ..Request::default() });
        p.event(Event::ClientLeft(id));
    }
    let mut taken = 0;
    for i in 0..1500u64 {
        p.now += 10 * MS;
        let (id, a) = p.ask_as(Request { key: Some(i * 31), remaining: 500 * MS, ..Request::default() });
        if let Some(server) = sent(&a) {
            taken += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(taken > 800, "{taken} of 1500 taken");
}

#[test]
fn when_servers_are_overloaded_a_tenant_over_its_quota_is_rejected_first() {
    // Danger: rejecting all alike when one tenant sends thrice its share starves those within theirs.
    let mut p = Proxy::with(two_tenants(), entries(0..10));
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 3000, Status::Rejected);
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 500, Status::Rejected);
    let within = burst(&mut p, 1, 500, Status::Rejected);
    assert!(within > 450, "{within} of 500 taken, all within the share though many were rejected before");
    let over = burst(&mut p, 0, 500, Status::Ok);
    assert!(over < 300, "{over} of 500 taken where 200 are within the share");
    for _ in 0..8 {
        burst(&mut p, 0, 500, Status::Ok);
    }
    assert!(burst(&mut p, 0, 500, Status::Ok) > 450, "all is taken again once there is room");
}

#[test]
fn rejections_by_servers_alone_shed_nothing_of_usual_weight() {
    // Danger: a server that is full rejects for itself, at no cost; rejecting ahead of it only leaves it idle.
    let mut p = Proxy::with(settings(), entries(0..10));
    burst(&mut p, 0, 2000, Status::Rejected);
    assert_eq!(burst(&mut p, 0, 200, Status::Rejected), 200);
    // Where each attempt costs a handshake that has a price, hammering full servers wastes what they have left.
    let mut p = Proxy::with(Settings { handshake_cost: 0.05, ..settings() }, entries(0..10));
    burst(&mut p, 0, 4000, Status::Rejected);
    assert!(burst(&mut p, 0, 200, Status::Rejected) < 120);
}

#[test]
fn a_proxy_with_little_traffic_admits_requests_again_within_seconds_of_overload() {
    // Danger: with a few requests a second a window lasts seconds; steps counted by windows take minutes.
    let mut p = Proxy::with(settings(), entries(0..10));
    for i in 0..300u64 {
        p.now += 200 * MS;
        let (id, actions) = p.ask(i * 7919);
        if sent(&actions).is_some() {
            p.event(Event::ClientLeft(id));
        }
    }
    let mut taken = 0;
    for i in 0..150u64 {
        p.now += 200 * MS;
        let (id, actions) = p.ask(i * 7919);
        if let Some(server) = sent(&actions) {
            taken += usize::from(i >= 125);
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(taken >= 20, "{taken} of 25 taken after 25 s of health");
}

#[test]
fn silent_servers_are_noticed_at_the_objective_and_not_when_clients_give_up() {
    // Danger: where clients wait for several objectives, a fleet that has choked is sent all of it in the meantime.
    let mut s = settings();
    s.classes[0].deadline = 10 * SECOND;
    s.classes[0].late_weight = 0.5;
    let mut p = Proxy::with(s, entries(0..10));
    let mut rejected = 0;
    for i in 0..500u64 {
        p.now += 10 * MS;
        let r = Request { key: Some(i * 7919), remaining: 10 * SECOND, ..Request::default() };
        rejected += finals(&p.ask_as(r).1);
    }
    assert!(rejected > 150, "{rejected} of 500 rejected within 5 s in which no request was answered");
}

/// Danger: a client that is rejected with no advice asks again as soon or as late as it likes.
#[test]
fn every_rejection_advises_when_to_retry() {
    let mut p = Proxy::new(settings(), 7);
    let (_, actions) = p.ask(1);
    assert!(matches!(actions[..], [Action::Reject { retry_after, .. }] if retry_after > 0), "{actions:?}");
}

/// Danger: a fault that is over must not have half of all rejected for half a minute after it, by servers that
/// are idle; and a class that is hardly asked for must not set the pace by its long latency objective.
#[test]
fn all_is_admitted_again_within_seconds_of_the_end_of_a_fault() {
    let mut p = Proxy::with(quick_and_slow(), entries(0..10));
    steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
    steady_requests(&mut p, 8 * SECOND, Status::Timeout, 300 * MS);
    let (taken, asked) = steady_requests(&mut p, SECOND, Status::Ok, 20 * MS);
    assert!(taken < asked / 2, "{taken} of {asked}: the fault was bad enough to reject");
    steady_requests(&mut p, 4 * SECOND, Status::Ok, 20 * MS);
    let (taken, asked) = steady_requests(&mut p, 2 * SECOND, Status::Ok, 20 * MS);
    assert!(taken * 100 >= asked * 98, "{taken} of {asked} five seconds after the fault");
}

/// Danger: advised to stay away for a few rejections in a hundred, clients do not come again at all, and what would have been
/// served is lost.
#[test]
fn who_is_rejected_while_nearly_all_is_admitted_is_advised_to_retry_soon() {
    let mut advised = (0, 0);
    for seed in 0..60 {
        let mut p = Proxy::new(quick_and_slow(), seed);
        p.list(ListKind::Cached, entries(0..10));
        steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
        steady_requests(&mut p, 2 * SECOND, Status::Timeout, 300 * MS);
        steady_requests(&mut p, 2 * SECOND, Status::Ok, 20 * MS);
        for key in 0..400 {
            p.now += MS;
            let (_, actions) = p.ask((seed * 1_000 + key) * 7919);
            for action in actions {
                if let Action::Reject { retry_after, .. } = action {
                    advised = (advised.0 + u64::from(retry_after <= 50 * MS), advised.1 + 1);
                }
            }
        }
    }
    assert!(advised.1 > 20, "{} rejected: the fault leaves some", advised.1);
    assert!(advised.0 * 4 > advised.1, "{} of {} advised to come back soon", advised.0, advised.1);
}

/// Danger: those that are rejected together and advised the same wait return together, and are rejected again.
#[test]
fn advice_to_stay_away_goes_to_the_part_not_admitted_and_is_spread_over_its_upper_half() {
    let mut p = Proxy::with(quick_and_slow(), entries(0..10));
    steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
    steady_requests(&mut p, 8 * SECOND, Status::Timeout, 300 * MS);
    let mut advice = Vec::new();
    for key in 0..400 {
        p.now += MS;
        let (_, actions) = p.ask(key * 7919);
        advice.extend(actions.iter().filter_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        }));
    }
    let most = settings().max_retry_after;
    assert!(advice.len() > 100, "{} rejected", advice.len());
    let soon = advice.extract_if(.., |a| *a <= 50 * MS).count();
    assert!(soon < advice.len() / 3, "{soon} advised to come back soon while hardly anything is taken");
    assert!(advice.iter().all(|a| (most / 2..=most).contains(a)));
    let late = advice.iter().filter(|a| **a > most / 4 * 3).count() * 2;
    assert!(
        (advice.len() / 2..advice.len() * 3 / 2).contains(&late),
        "{late} of {} in the later half",
        advice.len()
    );
}
