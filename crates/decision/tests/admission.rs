//! Admission: which requests are rejected unsent, and the `Retry-After` advice to clients.

mod common;
use aniseyoke_decision::api::*;
use common::*;

/// Sends `n` requests of a tenant, 2 ms apart, each ended with `status`; returns the number sent.
fn burst(p: &mut Proxy, tenant: u32, n: u64, status: Status) -> usize {
    let mut admitted = 0;
    for i in 0..n {
        p.now += 2 * MS;
        let r =
            Request { key: Some(i * 7919), tenant: Some(tenant), remaining: 800 * MS, ..Request::default() };
        let (id, actions) = p.submit(r);
        if let Some(server) = sent(&actions) {
            admitted += 1;
            p.end(id, 0, server, status, Some(true));
        }
    }
    admitted
}

fn two_tenants() -> Settings {
    let tenants = vec![Tenant { quota_rps: 400.0 }, Tenant { quota_rps: 4000.0 }];
    Settings { tenants, over_quota_weight: 0.05, ..settings() }
}

/// A class with nearly all of the traffic, and a slow class with a long latency objective.
fn quick_and_slow() -> Settings {
    let quick = settings().classes[0].clone();
    let slow = Class { latency_objective: 2500 * MS, deadline: 6 * SECOND, ..quick.clone() };
    Settings { classes: vec![quick, slow], ..settings() }
}

/// Submits a request every 5 ms for `length`, each ended with `status` after `after`; returns the numbers of
/// admitted and of all requests.
fn steady_requests(p: &mut Proxy, length: Nanos, status: Status, after: Nanos) -> (u64, u64) {
    let (mut admitted, mut submitted, end) = (0, 0, p.now + length);
    while p.now < end {
        p.now += 5 * MS;
        submitted += 1;
        let (id, actions) = p.request(submitted * 7919);
        if let Some(server) = sent(&actions) {
            admitted += 1;
            p.end_after(id, 0, server, status, Some(true), after);
        }
    }
    (admitted, submitted)
}

#[test]
fn load_is_shed_during_overload_and_admitted_again_after_it() {
    // Guards against retries that keep servers overloaded with work that no client waits for any more.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..50);
    let (mut rejected, mut out) = (0, std::collections::VecDeque::new());
    for i in 0..400u64 {
        p.now += 20 * MS;
        let (id, actions) = p.request(i * 7919);
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
    assert!(rejected > 200, "{rejected} of 400 rejected while no request is answered");
    for i in 0..2000u64 {
        p.now += 20 * MS;
        let (id, actions) = p.request(i * 7919);
        if let Some(server) = sent(&actions) {
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    for i in 0..100 {
        p.now += 20 * MS;
        p.serve(i * 7919, true); // Panics unless every request is admitted again.
    }
}

#[test]
fn the_last_retry_of_a_client_does_not_make_first_attempts_look_late() {
    // Guards against rejecting nearly all requests permanently: a client's last attempt has more time left
    // than a first attempt, so the longest time left that was seen must not be taken for the usual one.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..50);
    let long = Request { key: Some(1), remaining: 790 * MS, ..Request::default() };
    let (id, _) = p.submit(long);
    p.event(Event::ClientLeft(id));
    for i in 0..300u64 {
        p.now += 10 * MS;
        let (id, _) = p.submit(Request { key: Some(i), remaining: 500 * MS, ..Request::default() });
        p.event(Event::ClientLeft(id));
    }
    let mut admitted = 0;
    for i in 0..1500u64 {
        p.now += 10 * MS;
        let (id, a) = p.submit(Request { key: Some(i * 31), remaining: 500 * MS, ..Request::default() });
        if let Some(server) = sent(&a) {
            admitted += 1;
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(admitted > 800, "{admitted} of 1500 admitted");
}

#[test]
fn when_servers_are_overloaded_a_tenant_over_its_quota_is_rejected_first() {
    // Guards against starving tenants within their quota when another tenant sends three times its quota.
    let mut p = Proxy::with_list(two_tenants(), entries(0..10));
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 3000, Status::Rejected);
    burst(&mut p, 0, 1000, Status::Ok);
    burst(&mut p, 1, 500, Status::Rejected);
    let within = burst(&mut p, 1, 500, Status::Rejected);
    assert!(
        within > 450,
        "{within} of 500 admitted, all within the quota although servers rejected many before"
    );
    let over = burst(&mut p, 0, 500, Status::Ok);
    assert!(over < 300, "{over} of 500 admitted where 200 are within the quota");
    for _ in 0..8 {
        burst(&mut p, 0, 500, Status::Ok);
    }
    assert!(
        burst(&mut p, 0, 500, Status::Ok) > 450,
        "all requests are admitted again once there is capacity"
    );
}

#[test]
fn rejections_by_servers_alone_shed_no_load_of_usual_weight() {
    // Guards against leaving servers idle: a full server rejects requests itself at no cost, so the proxy
    // need not.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    burst(&mut p, 0, 2000, Status::Rejected);
    assert_eq!(burst(&mut p, 0, 200, Status::Rejected), 200);
    // Where each attempt costs a handshake, attempts at full servers use up their remaining capacity.
    let mut p = Proxy::with_list(Settings { handshake_cost: 0.05, ..settings() }, entries(0..10));
    burst(&mut p, 0, 4000, Status::Rejected);
    assert!(burst(&mut p, 0, 200, Status::Rejected) < 120);
}

#[test]
fn a_proxy_with_little_traffic_admits_requests_again_within_seconds_of_overload() {
    // Guards against a recovery of minutes: with a few requests per second a window lasts seconds, so
    // recovery steps must not be counted in windows.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    for i in 0..300u64 {
        p.now += 200 * MS;
        let (id, actions) = p.request(i * 7919);
        if sent(&actions).is_some() {
            p.event(Event::ClientLeft(id));
        }
    }
    let mut admitted = 0;
    for i in 0..150u64 {
        p.now += 200 * MS;
        let (id, actions) = p.request(i * 7919);
        if let Some(server) = sent(&actions) {
            admitted += usize::from(i >= 125);
            p.end(id, 0, server, Status::Ok, Some(true));
        }
    }
    assert!(admitted >= 20, "{admitted} of 25 admitted after 25 s without faults");
}

#[test]
fn silent_servers_are_detected_at_the_latency_objective_and_not_at_the_deadline() {
    // Guards against sending full load to an overloaded fleet for as long as clients wait, several latency
    // objectives.
    let mut s = settings();
    s.classes[0].deadline = 10 * SECOND;
    s.classes[0].late_weight = 0.5;
    let mut p = Proxy::with_list(s, entries(0..10));
    let mut rejected = 0;
    for i in 0..500u64 {
        p.now += 10 * MS;
        let r = Request { key: Some(i * 7919), remaining: 10 * SECOND, ..Request::default() };
        rejected += final_answers(&p.submit(r).1);
    }
    assert!(rejected > 150, "{rejected} of 500 rejected within 5 s in which no request was answered");
}

/// Guards against clients that retry at an arbitrary time because the rejection has no retry advice.
#[test]
fn every_rejection_advises_when_to_retry() {
    let mut p = Proxy::new(settings(), 7);
    let (_, actions) = p.request(1);
    assert!(matches!(actions[..], [Action::Reject { retry_after, .. }] if retry_after > 0), "{actions:?}");
}

/// Guards against rejecting half of all requests for half a minute after a fault while servers are idle. The
/// long latency objective of a class with hardly any traffic must not slow down the recovery.
#[test]
fn all_requests_are_admitted_again_within_seconds_of_the_end_of_a_fault() {
    let mut p = Proxy::with_list(quick_and_slow(), entries(0..10));
    steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
    steady_requests(&mut p, 8 * SECOND, Status::Timeout, 300 * MS);
    let (admitted, submitted) = steady_requests(&mut p, SECOND, Status::Ok, 20 * MS);
    assert!(admitted < submitted / 2, "{admitted} of {submitted} admitted during the fault");
    steady_requests(&mut p, 4 * SECOND, Status::Ok, 20 * MS);
    let (admitted, submitted) = steady_requests(&mut p, 2 * SECOND, Status::Ok, 20 * MS);
    assert!(
        admitted * 100 >= submitted * 98,
        "{admitted} of {submitted} admitted five seconds after the fault"
    );
}

/// Guards against lost requests: if a few rejections in a hundred carry a long retry delay, those clients do
/// not retry in time, although a retry would be served.
#[test]
fn clients_rejected_while_nearly_all_are_admitted_are_advised_to_retry_soon() {
    let mut advised = (0, 0);
    for seed in 0..60 {
        let mut p = Proxy::new(quick_and_slow(), seed);
        p.list(ListKind::Cached, entries(0..10));
        steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
        steady_requests(&mut p, 2 * SECOND, Status::Timeout, 300 * MS);
        steady_requests(&mut p, 2 * SECOND, Status::Ok, 20 * MS);
        for key in 0..400 {
            p.now += MS;
            let (_, actions) = p.request((seed * 1_000 + key) * 7919);
            for action in actions {
                if let Action::Reject { retry_after, .. } = action {
                    advised = (advised.0 + u64::from(retry_after <= 50 * MS), advised.1 + 1);
                }
            }
        }
    }
    assert!(advised.1 > 20, "{} rejected after the fault, too few to judge", advised.1);
    assert!(advised.0 * 4 > advised.1, "{} of {} advised to retry soon", advised.0, advised.1);
}

/// Guards against clients that are rejected together, get the same retry delay and are rejected together
/// again.
#[test]
fn long_retry_delays_go_to_requests_beyond_the_admitted_part_and_are_spread_over_the_upper_half() {
    let mut p = Proxy::with_list(quick_and_slow(), entries(0..10));
    steady_requests(&mut p, 10 * SECOND, Status::Ok, 20 * MS);
    steady_requests(&mut p, 8 * SECOND, Status::Timeout, 300 * MS);
    let mut advice = Vec::new();
    for key in 0..400 {
        p.now += MS;
        let (_, actions) = p.request(key * 7919);
        advice.extend(actions.iter().filter_map(|a| match a {
            Action::Reject { retry_after, .. } => Some(*retry_after),
            _ => None,
        }));
    }
    let max_retry_after = settings().max_retry_after;
    assert!(advice.len() > 100, "{} rejected", advice.len());
    let soon = advice.extract_if(.., |a| *a <= 50 * MS).count();
    assert!(soon < advice.len() / 3, "{soon} advised to retry soon while hardly any request is admitted");
    assert!(advice.iter().all(|a| (max_retry_after / 2..=max_retry_after).contains(a)));
    let late = advice.iter().filter(|a| **a > max_retry_after / 4 * 3).count() * 2;
    assert!(
        (advice.len() / 2..advice.len() * 3 / 2).contains(&late),
        "{late} of {} in the upper half of the range",
        advice.len()
    );
}
