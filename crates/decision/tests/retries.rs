//! Retries, hedged requests and their budgets.

mod common;
use aniseyoke_decision::api::*;
use common::*;

const KEY: u64 = 0xabcdef;

#[test]
fn a_rejected_or_failed_attempt_is_not_retried_elsewhere_but_a_broken_connection_is() {
    // Guards against retries that feed an overload: under load or with a slow origin, a retry at a server
    // that lacks the key is a miss.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..300);
    for (key, status, again) in [
        (11, Status::Rejected, false),
        (12, Status::Error, false),
        (13, Status::ConnectFailed, true),
        (14, Status::Reset, true),
    ] {
        let (id, actions) = p.request(key * 7919);
        let first = sent(&actions).expect("sent");
        let actions = p.end(id, 0, first, status, None);
        assert_eq!(sent(&actions).is_some(), again, "{status:?}");
        assert_eq!(final_answers(&actions) == 1, !again, "{status:?}");
        if let Some(second) = sent(&actions) {
            p.end(id, 1, second, Status::Ok, Some(true));
        }
    }
}

#[test]
fn an_overdue_attempt_is_hedged_and_the_loser_cancelled() {
    // Guards against a request that waits past its deadline for a lost answer or for a server that hangs.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..100);
    let (id, actions) = p.request(KEY);
    let first = sent(&actions).expect("sent");
    let timer = actions.iter().find_map(|a| {
        if let Action::Timer { token, delay } = a {
            Some((*token, *delay))
        } else {
            None
        }
    });
    let (token, delay) = timer.expect("a timer");
    assert!(delay >= 60 * MS, "the delay is well over the usual 20 ms: {delay} ns");
    p.now += delay;
    let second = sent(&p.event(Event::Timer(token))).expect("a hedged request");
    assert_ne!(first, second);
    let actions = p.end(id, 1, second, Status::Ok, Some(true));
    assert!(actions.contains(&Action::Cancel { id, attempt: 0 }));
}

#[test]
fn hedged_requests_stay_within_their_budget() {
    // Guards against doubled load: when all servers are slow at once, every request would be hedged.
    let mut p = Proxy::with_list(settings(), entries(0..10));
    p.background_traffic(0..100);
    let mut hedged = 0;
    for i in 0..200 {
        let (_, actions) = p.request(i * 7919);
        p.now += 100 * MS;
        for a in actions {
            if let Action::Timer { token, .. } = a {
                hedged += usize::from(sent(&p.event(Event::Timer(token))).is_some());
            }
        }
    }
    assert!(hedged > 0 && hedged <= 10 + 60, "{hedged} hedged requests of 200");
}

#[test]
fn in_cache_aside_deployments_silence_counts_as_a_miss_and_goes_to_the_origin() {
    // Guards against a useless retry at another server: where answers get lost, the other servers lack the
    // key, and the request ends too late.
    let origin = entry(7).server;
    let s =
        Settings { cache_aside: true, origin_kind: Some(1), hedging: false, max_attempts: 2, ..settings() };
    let mut p = Proxy::with_list(s, entries(0..8));
    p.background_traffic(0..100);
    let (id, actions) = p.request(KEY);
    let timeout =
        actions.iter().find_map(|a| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None });
    let (server, timeout) = (sent(&actions).expect("sent"), timeout.expect("sent"));
    assert!(timeout < 150 * MS, "the timeout leaves time for another attempt: {timeout} ns");
    p.now += timeout;
    let actions = p.end_after(id, 0, server, Status::Timeout, None, timeout);
    assert_eq!(sent(&actions), Some(origin));
}

/// Guards against a shared retry budget that a tenant whose requests are all lost uses up for the others.
#[test]
fn a_tenant_whose_requests_are_all_lost_does_not_use_the_retries_of_others() {
    let tenants = vec![Tenant { quota_rps: 1e6 }; 2];
    let mut p = Proxy::with_list(Settings { tenants, proxies: 1, ..settings() }, entries(0..40));
    let mut retried = [0, 0];
    for n in 0..400u64 {
        // One request in ten is of the second tenant. The first attempt of each is reset.
        let tenant = u32::from(n % 10 == 9);
        let key = Some(n * 0x9e37_79b9);
        let (id, actions) =
            p.submit(Request { key, tenant: Some(tenant), remaining: 800 * MS, ..Request::default() });
        let Some(server) = sent(&actions) else { continue };
        let again = p.end(id, 0, server, Status::Reset, None);
        if let Some(server) = sent(&again) {
            retried[tenant as usize] += 1;
            p.end(id, 1, server, Status::Ok, Some(true));
        }
        p.now += 50 * MS;
    }
    assert!(retried[1] >= 11, "{retried:?}: 0.3 earned by each of its 40 requests");
    assert!(retried[0] <= 120, "{retried:?}: 0.3 earned by each of 400");
}
