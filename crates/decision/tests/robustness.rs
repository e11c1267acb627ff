//! Invalid settings and values, and renewal of the subscription to the endpoint list.

mod common;
use aniseyoke_decision::api::*;
use common::*;

#[test]
fn requests_without_servers_time_or_valid_settings_are_answered() {
    let mut p = Proxy::with_list(Settings::default(), Vec::new());
    let (_, actions) = p.request(1);
    assert_eq!(final_answers(&actions), 1);
    let mut p = Proxy::with_list(settings(), entries(0..3));
    let (_, actions) = p.submit(Request { class: 9, key: None, remaining: 0, ..Request::default() });
    assert_eq!(final_answers(&actions), 1);
    let mut odd = entry(1);
    odd.weight = f64::NAN;
    p.list(ListKind::Full, vec![odd]);
    assert!(sent(&p.request(5).1).is_some());
    assert!(p.end(999, 7, 1, Status::Ok, None).is_empty());
    assert!(p.event(Event::Timer(u64::MAX)).is_empty());
}

#[test]
fn the_subscription_to_the_list_is_renewed_in_time_after_failures() {
    let mut s = settings();
    s.subscribes = true;
    let mut p = Proxy::new(s.clone(), 3);
    let mut actions = p.list(ListKind::Cached, entries(0..5));
    for _ in 0..6 {
        let timer = actions.iter().rev().find_map(|a| match a {
            Action::Timer { token, delay } => Some((*token, *delay)),
            _ => None,
        });
        let (token, delay) = timer.expect("armed");
        assert!(delay < s.poll_within);
        p.now += delay;
        assert!(p.event(Event::Timer(token)).contains(&Action::Subscribe));
        actions = p.list(ListKind::Failed, Vec::new());
    }
    assert!(sent(&p.request(1).1).is_some(), "the old list stays in use");
}

/// Submits requests with `long` as time left and attempt duration, with various outcomes and timers.
fn submit_with_extreme_times(p: &mut Proxy, long: Nanos) {
    for i in 0..200u64 {
        p.now = if i == 150 { u64::MAX - 1 } else { p.now.saturating_add(MS) };
        let (class, tenant) = ((i % 3) as u32, Some((i % 2) as u32));
        let key = (i % 7 > 0).then_some(i % 7);
        let request =
            Request { class, tenant, key, remaining: long, write: i % 5 == 0, ..Request::default() };
        let (id, mut actions) = p.submit(request);
        for attempt in 0..3 {
            let Some(server) = sent(&actions) else { break };
            if i % 2 == 0 {
                p.event(Event::ResponseStarted { id, attempt });
                p.event(Event::ResponseStarted { id: i, attempt: u32::MAX });
            }
            let status = [Status::Ok, Status::Miss, Status::Timeout, Status::ConnectFailed][i as usize % 4];
            let (elapsed, last) = (long, status == Status::Ok);
            let hit = Some(i % 2 == 0);
            actions = p.event(Event::Outcome(Outcome { id, attempt, server, status, elapsed, last, hit }));
        }
        for token in [id, i << 56, 1 << 56 | id, 2 << 56 | i, u64::MAX] {
            p.event(Event::Timer(token));
        }
        p.event(Event::ClientLeft(id));
    }
}

#[test]
fn invalid_settings_and_values_never_panic() {
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, 0.0, 1e300] {
        for (long, aside) in [(0, true), (1, false), (u64::MAX, true), (u64::MAX, false)] {
            let class = Class {
                latency_objective: long,
                deadline: long,
                late_weight: odd,
                priority_weight: odd,
                ..Class::default()
            };
            let keyed = Class { idempotency: Idempotency::WithKey, dedup_window: long, ..class.clone() };
            let s = Settings {
                classes: vec![class, keyed],
                tenants: vec![Tenant { quota_rps: odd }],
                proxies: if long == 0 { 0 } else { u32::MAX },
                proxy_index: u32::MAX,
                subscribes: true,
                cache_aside: aside,
                origin_kind: Some(1),
                over_quota_weight: odd,
                weight_by_work: long == 1,
                max_attempts: if long == 0 { 0 } else { u32::MAX },
                cancellation: true,
                hedging: true,
                max_retry_after: long,
                idle_timeout: long,
                handshake_cost: odd,
                cross_zone_cost: odd,
                slow_start_from: odd,
                slow_start_time: long,
                overload_multiple: odd,
                overload_window: long,
                poll_within: long,
                ..Settings::default()
            };
            let mut p = Proxy::new(s, long);
            let list = (0..8).map(|n| Entry { weight: odd, started: long * (n % 2), ..entry(n) }).collect();
            p.list(ListKind::Cached, list);
            submit_with_extreme_times(&mut p, long);
            p.list(ListKind::Failed, Vec::new());
        }
    }
}
