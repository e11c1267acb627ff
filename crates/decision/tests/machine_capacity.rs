//! What a proxy learns from load reports of the kinds of machines, and where its keys go by that.

mod common;
use aniseyoke_decision::api::*;
use common::*;

/// Machines of three kinds, whom the list calls alike.
fn site() -> Vec<Entry> {
    (0..60).map(|n| Entry { kind: (n % 3) as u32, ..entry(n) }).collect()
}

/// Requests a second that a machine of each kind serves while all of it is busy.
const BEARS: [f64; 3] = [66.0, 42.0, 27.0];

/// A report of a server of this kind, off by a part of noise.
fn report(p: &mut Proxy, n: u64, busy: f64, noise: f64) {
    let served = BEARS[(n % 3) as usize] * busy * (1.0 + noise);
    let load = Load::new(busy, served).expect("sound");
    p.event(Event::LoadReport { server: entry(n).server, load });
}

/// The part of the keys that each kind gets from a fresh proxy of this seed once it has heard of its servers.
fn shares(p: &mut Proxy) -> [f64; 3] {
    let mut shares = [0.0; 3];
    let list = site();
    for key in 0..3000u64 {
        p.now += 50 * MS;
        let (id, actions) = p.ask(key * 0x9e37_79b9);
        let server = sent(&actions).expect("sent");
        shares[list.iter().find(|e| e.server == server).expect("listed").kind as usize] += 1.0 / 3000.0;
        p.now += MS;
        p.end(id, 0, server, Status::Ok, Some(true));
    }
    shares
}

/// Each server reports once, in turn and with noise that differs from proxy to proxy.
fn after_reports(seed: u64) -> Proxy {
    let mut p = Proxy::new(settings(), seed);
    p.list(ListKind::Cached, site());
    for n in 0..60 {
        report(
            &mut p,
            n,
            0.3 + 0.01 * (n % 60) as f64,
            0.3 * (((n * 7 + seed * 13) % 11) as f64 / 5.0 - 1.0),
        );
    }
    p
}

/// Danger: one proxy of a hundred meets a server once in seconds and never sees that slow ones drown.
#[test]
fn keys_go_by_what_a_kind_bears_and_not_by_number_of_machines() {
    let even = shares(&mut Proxy::with(settings(), site()));
    assert!(even.iter().all(|s| (s - 1.0 / 3.0).abs() < 0.06), "nothing reported, all alike: {even:?}");
    let by_kind = shares(&mut after_reports(3));
    for (kind, bears) in BEARS.iter().enumerate() {
        let due = bears / BEARS.iter().sum::<f64>();
        assert!((by_kind[kind] - due).abs() < 0.07, "kind {kind}: {} of the keys, due {due}", by_kind[kind]);
    }
}

/// Danger: proxies that know a little different things of the kinds would each fill another server.
#[test]
fn proxies_that_heard_noisy_reports_agree_on_nearly_all_keys() {
    let (mut one, mut other) = (after_reports(1), after_reports(2));
    let mut alike = 0;
    for key in 0..1000u64 {
        let mut to = [0; 2];
        for (p, to) in [&mut one, &mut other].into_iter().zip(&mut to) {
            p.now += 50 * MS;
            let (id, actions) = p.ask(key * 0x9e37_79b9);
            *to = sent(&actions).expect("sent");
            p.now += MS;
            p.end(id, 0, *to, Status::Ok, Some(true));
        }
        alike += u32::from(to[0] == to[1]);
    }
    assert!(alike > 900, "{alike} of 1000 keys go to one server from both");
}

/// Danger: a list that tells sizes already would count them twice.
#[test]
fn what_the_list_says_of_a_size_is_not_counted_twice() {
    let list = |weight: [f64; 3]| -> Vec<Entry> {
        site().into_iter().map(|e| Entry { weight: weight[e.kind as usize], ..e }).collect()
    };
    let mut p = Proxy::with(settings(), list(BEARS));
    (0..600).for_each(|n| report(&mut p, n % 60, 0.6, 0.0));
    let parts = shares(&mut p);
    for (kind, bears) in BEARS.iter().enumerate() {
        assert!((parts[kind] - bears / BEARS.iter().sum::<f64>()).abs() < 0.07, "{parts:?}");
    }
}

/// Idle servers, ones that are warming up and the origin say nothing of a kind; nor do servers that are not listed.
#[test]
fn only_warm_busy_servers_count() {
    let mut s = settings();
    (s.cache_aside, s.origin_kind) = (true, Some(3));
    let mut list = site();
    list.iter_mut().filter(|e| e.kind == 0).for_each(|e| e.started = 999 * SECOND);
    list.push(Entry { kind: 3, ..entry(60) });
    let mut p = Proxy::with(s, list);
    for n in 0..600u64 {
        let (server, busy) = match n % 3 {
            0 => (entry(n % 60).server, 0.9),
            1 => (entry(n % 60).server, 0.01),
            _ => (if n % 2 == 0 { entry(60).server } else { 4711 }, 0.9),
        };
        p.event(Event::LoadReport { server, load: Load::new(busy, 500.0 * busy).expect("sound") });
    }
    let kept = shares(&mut p);
    let warm = kept[1] / (kept[1] + kept[2]);
    assert!((warm - 0.5).abs() < 0.06, "warm kinds stay alike: {kept:?}");
}

#[test]
fn loads_that_cannot_be_are_none() {
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

/// Danger: what all other proxies send to a server shows at one with little traffic in nothing but the server's own reports.
#[test]
fn a_server_that_reports_it_is_busy_passes_requests_on_while_its_report_is_fresh() {
    let mut p = Proxy::with(settings(), site());
    p.crowd(0..300);
    let first = p.served(77, true);
    let to_first = |p: &mut Proxy, busy: f64, age: Nanos| {
        let mut here = 0;
        for _ in 0..40 {
            // So many others that the key does not count as hot.
            p.crowd(0..600);
            p.event(Event::LoadReport { server: first, load: Load::new(busy, 30.0).expect("sound") });
            p.now += age;
            here += usize::from(p.served(77, true) == first);
        }
        here
    };
    assert_eq!(to_first(&mut p, 0.5, MS), 40, "half busy is no strain");
    assert_eq!(to_first(&mut p, 1.2, MS), 0, "all busy, the other candidate is asked");
    let some = to_first(&mut p, 0.9, MS);
    assert!((5..=35).contains(&some), "nearly all busy, a part is passed on: {some} of 40 stayed");
    assert_eq!(to_first(&mut p, 1.2, 20 * SECOND), 40, "an old report says nothing");
}

/// Danger: each time that suspicion of a silent server lapses a hundred proxies ask it anew, each with a request
/// that would wait for most of its time before it is sent elsewhere.
#[test]
fn the_first_request_after_an_ejection_is_hedged_sooner() {
    let mut p = Proxy::with(settings(), site());
    p.crowd(0..300);
    let mut turn = 0;
    // Answers that vary much make patience long.
    let mut answered = |p: &mut Proxy, id, server| {
        turn += 1;
        let elapsed = (10 + 80 * (turn % 2)) * MS;
        p.now += elapsed;
        p.end_after(id, 0, server, Status::Ok, Some(true), elapsed);
    };
    for k in 0..200 {
        let (id, actions) = p.ask(0x7777 + k * 7919);
        answered(&mut p, id, sent(&actions).expect("sent"));
    }
    let patience = |actions: &[Action]| {
        let timer = |a: &Action| if let Action::Timer { delay, .. } = a { Some(*delay) } else { None };
        actions.iter().find_map(timer).expect("a timer")
    };
    let (id, actions) = p.ask(77);
    let silent = sent(&actions).expect("sent");
    p.now += 300 * MS;
    p.end_after(id, 0, silent, Status::Timeout, None, 300 * MS);
    let mut usual = Vec::new();
    for _ in 0..200 {
        p.now += 100 * MS;
        let (id, actions) = p.ask(77);
        let server = sent(&actions).expect("sent");
        if server == silent {
            assert!(
                patience(&actions) <= 90 * MS,
                "0.3 of the latency_objective: {} ms",
                patience(&actions) / MS
            );
            assert!(usual.iter().all(|p| *p > 120 * MS), "and else longer: {usual:?}");
            assert!(!usual.is_empty(), "it is left alone at first");
            return;
        }
        usual.push(patience(&actions));
        answered(&mut p, id, server);
    }
    panic!("the server is never tried again");
}

/// Danger: reports that are sound as numbers and mean nothing would take all keys from a kind, or give it all.
#[test]
fn absurd_reports_starve_no_kind() {
    for absurd in [1e-300, 1e9] {
        let mut p = Proxy::with(settings(), site());
        for n in 0..600u64 {
            let rate = if n % 3 == 0 { absurd } else { 20.0 };
            let load = Load::new(0.9, rate).expect("sound");
            p.event(Event::LoadReport { server: entry(n % 60).server, load });
        }
        let got = shares(&mut p);
        assert!(got.iter().all(|s| *s > 0.01), "{absurd}: {got:?}");
    }
}
