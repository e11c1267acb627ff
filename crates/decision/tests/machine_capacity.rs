//! Capacity of kinds of machines, learned from load reports, and its effect on the distribution of keys.

mod common;
use aniseyoke_decision::api::*;
use common::*;

/// Sixty machines of three kinds, with equal weights in the endpoint list.
fn site() -> Vec<Entry> {
    (0..60).map(|n| Entry { kind: (n % 3) as u32, ..entry(n) }).collect()
}

/// Requests per second that a machine of each kind serves at full utilization.
const REQUESTS_PER_SECOND: [f64; 3] = [66.0, 42.0, 27.0];

/// Delivers a load report of server `n`, with `noise` as the relative error of its rate.
fn deliver_report(p: &mut Proxy, n: u64, busy: f64, noise: f64) {
    let served = REQUESTS_PER_SECOND[(n % 3) as usize] * busy * (1.0 + noise);
    let load = Load::new(busy, served).expect("sound");
    p.event(Event::LoadReport { server: entry(n).server, load });
}

/// The fraction of 3,000 keys that the proxy sends to each kind.
fn shares(p: &mut Proxy) -> [f64; 3] {
    let mut shares = [0.0; 3];
    let list = site();
    for key in 0..3000u64 {
        p.now += 50 * MS;
        let (id, actions) = p.request(key * 0x9e37_79b9);
        let server = sent(&actions).expect("sent");
        shares[list.iter().find(|e| e.server == server).expect("listed").kind as usize] += 1.0 / 3000.0;
        p.now += MS;
        p.end(id, 0, server, Status::Ok, Some(true));
    }
    shares
}

/// A proxy that has one load report of each server, with noise that depends on the seed.
fn after_reports(seed: u64) -> Proxy {
    let mut p = Proxy::new(settings(), seed);
    p.list(ListKind::Cached, site());
    for n in 0..60 {
        deliver_report(
            &mut p,
            n,
            0.3 + 0.01 * (n % 60) as f64,
            0.3 * (((n * 7 + seed * 13) % 11) as f64 / 5.0 - 1.0),
        );
    }
    p
}

/// Guards against overloading slow kinds of machines: one proxy of a hundred sends to a server once in
/// seconds and cannot observe the overload itself.
#[test]
fn keys_are_distributed_by_the_capacity_of_a_kind_and_not_by_its_number_of_machines() {
    let even = shares(&mut Proxy::with_list(settings(), site()));
    assert!(even.iter().all(|s| (s - 1.0 / 3.0).abs() < 0.06), "equal shares without reports: {even:?}");
    let by_kind = shares(&mut after_reports(3));
    for (kind, capacity) in REQUESTS_PER_SECOND.iter().enumerate() {
        let due = capacity / REQUESTS_PER_SECOND.iter().sum::<f64>();
        assert!(
            (by_kind[kind] - due).abs() < 0.07,
            "kind {kind}: {} of the keys, expected {due}",
            by_kind[kind]
        );
    }
}

/// Guards against proxies with slightly different estimates that cache the same key at different servers.
#[test]
fn proxies_with_noisy_reports_agree_on_nearly_all_keys() {
    let (mut one, mut other) = (after_reports(1), after_reports(2));
    let mut alike = 0;
    for key in 0..1000u64 {
        let mut to = [0; 2];
        for (p, to) in [&mut one, &mut other].into_iter().zip(&mut to) {
            p.now += 50 * MS;
            let (id, actions) = p.request(key * 0x9e37_79b9);
            *to = sent(&actions).expect("sent");
            p.now += MS;
            p.end(id, 0, *to, Status::Ok, Some(true));
        }
        alike += u32::from(to[0] == to[1]);
    }
    assert!(alike > 900, "{alike} of 1000 keys go to the same server from both proxies");
}

/// Guards against applying the size of a machine twice, from the weight in the list and from load reports.
#[test]
fn a_size_given_by_list_weights_is_not_counted_twice() {
    let list = |weight: [f64; 3]| -> Vec<Entry> {
        site().into_iter().map(|e| Entry { weight: weight[e.kind as usize], ..e }).collect()
    };
    let mut p = Proxy::with_list(settings(), list(REQUESTS_PER_SECOND));
    (0..600).for_each(|n| deliver_report(&mut p, n % 60, 0.6, 0.0));
    let fractions = shares(&mut p);
    for (kind, capacity) in REQUESTS_PER_SECOND.iter().enumerate() {
        assert!(
            (fractions[kind] - capacity / REQUESTS_PER_SECOND.iter().sum::<f64>()).abs() < 0.07,
            "{fractions:?}"
        );
    }
}

/// Reports of idle servers, of servers that are warming up, of the origin and of unlisted servers are
/// ignored.
#[test]
fn only_reports_of_warm_busy_servers_count() {
    let mut s = settings();
    (s.cache_aside, s.origin_kind) = (true, Some(3));
    let mut list = site();
    list.iter_mut().filter(|e| e.kind == 0).for_each(|e| e.started = 999 * SECOND);
    list.push(Entry { kind: 3, ..entry(60) });
    let mut p = Proxy::with_list(s, list);
    for n in 0..600u64 {
        let (server, busy) = match n % 3 {
            0 => (entry(n % 60).server, 0.9),
            1 => (entry(n % 60).server, 0.01),
            _ => (if n % 2 == 0 { entry(60).server } else { 4711 }, 0.9),
        };
        p.event(Event::LoadReport { server, load: Load::new(busy, 500.0 * busy).expect("sound") });
    }
    let fractions = shares(&mut p);
    let warm = fractions[1] / (fractions[1] + fractions[2]);
    assert!((warm - 0.5).abs() < 0.06, "the shares of warm kinds stay equal: {fractions:?}");
}

#[test]
fn invalid_loads_are_none() {
    for (busy, rate) in [(f64::NAN, 1.0), (-0.1, 1.0), (0.5, f64::INFINITY), (0.5, -3.0), (1e9, 1.0)] {
        assert_eq!(Load::new(busy, rate), None, "{busy} {rate}");
    }
    let columns = ReportColumns { busy: Some(0), rate: Some(2) };
    let load = columns.load(&[Some(0.5), None, Some(20.0)]).expect("a load");
    assert_eq!((load.busy(), load.rate()), (0.5, 20.0));
    assert_eq!(columns.load(&[Some(0.5), None, None]), None);
    assert_eq!(columns.load(&[Some(0.5)]), None);
    assert_eq!(ReportColumns::default().load(&[Some(0.5), Some(1.0), Some(20.0)]), None);
}

/// Guards against overloading a server with the traffic of all proxies together: a proxy with little traffic
/// sees it only in the server's load reports.
#[test]
fn requests_for_a_server_that_reports_high_load_go_to_the_other_candidate_while_the_report_is_recent() {
    let mut p = Proxy::with_list(settings(), site());
    p.background_traffic(0..300);
    let first = p.serve(77, true);
    let to_first = |p: &mut Proxy, busy: f64, age: Nanos| {
        let mut here = 0;
        for _ in 0..40 {
            // Enough requests for other keys that the key does not count as hot.
            p.background_traffic(0..600);
            p.event(Event::LoadReport { server: first, load: Load::new(busy, 30.0).expect("sound") });
            p.now += age;
            here += usize::from(p.serve(77, true) == first);
        }
        here
    };
    assert_eq!(to_first(&mut p, 0.5, MS), 40, "half busy is not overloaded");
    assert_eq!(to_first(&mut p, 1.2, MS), 0, "fully busy, the other candidate is used");
    let some = to_first(&mut p, 0.9, MS);
    assert!((5..=35).contains(&some), "nearly fully busy, some requests go elsewhere: {some} of 40 stayed");
    assert_eq!(to_first(&mut p, 1.2, 20 * SECOND), 40, "an old report is ignored");
}

/// Guards against late requests after each ejection: when it ends, a hundred proxies each try the silent
/// server with a request that would wait most of its time there before it is sent elsewhere.
#[test]
fn the_first_request_after_an_ejection_is_hedged_sooner() {
    let mut p = Proxy::with_list(settings(), site());
    p.background_traffic(0..300);
    let mut turn = 0;
    // Widely varying response times lead to a long hedging delay.
    let mut answered = |p: &mut Proxy, id, server| {
        turn += 1;
        let elapsed = (10 + 80 * (turn % 2)) * MS;
        p.now += elapsed;
        p.end_after(id, 0, server, Status::Ok, Some(true), elapsed);
    };
    for k in 0..200 {
        let (id, actions) = p.request(0x7777 + k * 7919);
        answered(&mut p, id, sent(&actions).expect("sent"));
    }
    let hedging_delay = |actions: &[Action]| {
        let timer = |a: &Action| if let Action::Timer { delay, .. } = a { Some(*delay) } else { None };
        actions.iter().find_map(timer).expect("a timer")
    };
    let (id, actions) = p.request(77);
    let silent = sent(&actions).expect("sent");
    p.now += 300 * MS;
    p.end_after(id, 0, silent, Status::Timeout, None, 300 * MS);
    let mut usual = Vec::new();
    for _ in 0..200 {
        p.now += 100 * MS;
        let (id, actions) = p.request(77);
        let server = sent(&actions).expect("sent");
        if server == silent {
            assert!(
                hedging_delay(&actions) <= 90 * MS,
                "hedged within 0.3 of the latency objective, not after {} ms",
                hedging_delay(&actions) / MS
            );
            assert!(usual.iter().all(|p| *p > 120 * MS), "other requests are hedged later: {usual:?}");
            assert!(!usual.is_empty(), "the server is ejected at first");
            return;
        }
        usual.push(hedging_delay(&actions));
        answered(&mut p, id, server);
    }
    panic!("the server is never tried again");
}

/// Guards against reports of valid but absurd rates that take all keys from a kind or give it all keys.
#[test]
fn absurd_reports_do_not_take_all_keys_from_a_kind() {
    for absurd in [1e-300, 1e9] {
        let mut p = Proxy::with_list(settings(), site());
        for n in 0..600u64 {
            let rate = if n % 3 == 0 { absurd } else { 20.0 };
            let load = Load::new(0.9, rate).expect("sound");
            p.event(Event::LoadReport { server: entry(n % 60).server, load });
        }
        let fractions = shares(&mut p);
        assert!(fractions.iter().all(|s| *s > 0.01), "{absurd}: {fractions:?}");
    }
}
