//! What one server that is warming up is sent by all proxies together, which know of each other only how many they are: never more in a
//! window of the rule than N + 2 root of N + 2, N being what the settings allow it then.

mod common;

use aniseyoke_decision::api::*;
use aniseyoke_decision::Balancer;
use common::{entries, entry, settings, MS, SECOND};
use std::collections::VecDeque;

/// Servers that were there before, and when the new one starts.
const SERVERS: u64 = 19;
const START: Nanos = 1_000 * SECOND;
/// So long after its start it is looked at.
const PLAYED: Nanos = 12 * SECOND;

/// How clients come.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    proxies: usize,
    /// Sigma of the log-normal weights of proxies.
    uneven: f64,
    /// The part of all requests that comes to the first proxy beside its share.
    heavy: f64,
    /// Requests a second over all.
    rate: f64,
    /// From five seconds after the start on: times as many requests, and the part of all that asks for keys of the server that is warming up.
    burst: f64,
    hot: f64,
    seed: u64,
}

struct Draw(u64);

impl Draw {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// What the server that is warming up has got, and its fullest window.
struct Received {
    with: Settings,
    /// An even share of the requests a second.
    even: f64,
    at: VecDeque<Nanos>,
    /// What it got, N, and N + 2 root of N + 2.
    fullest: (f64, f64, f64),
}

impl Received {
    fn one(&mut self, now: Nanos) {
        let with = &self.with;
        while self.at.front().is_some_and(|at| at + with.overload_window < now) {
            self.at.pop_front();
        }
        self.at.push_back(now);
        let window = with.overload_window as f64 / SECOND as f64;
        let age = (now - START) as f64 / with.slow_start_time as f64;
        let warm_fraction = with.slow_start_from + (1.0 - with.slow_start_from) * age;
        let allowed = with.overload_multiple * warm_fraction * self.even * window;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let got = self.at.len() as f64;
        if got / bound > self.fullest.0 / self.fullest.2 {
            self.fullest = (got, allowed, bound);
        }
    }
}

/// Weights of the proxies, summed up to each.
fn summed_weights(load: &Load, draw: &mut Draw) -> Vec<f64> {
    let mut sum = 0.0;
    let weights = (0..load.proxies).map(|_| {
        let normal = (0..12).map(|_| draw.unit()).sum::<f64>() - 6.0;
        sum += (load.uneven * normal).exp().clamp(1.0 / 6.0, 6.0);
        sum
    });
    weights.collect()
}

/// The proxies, with the list of the servers that were there before.
fn proxies(load: &Load, with: &Settings, now: Nanos) -> Vec<Balancer> {
    let one = |index: usize| {
        let own = Settings { proxies: load.proxies as u32, proxy_index: index as u32, ..with.clone() };
        let mut balancer = Balancer::new(own, load.seed ^ (index as u64) << 32);
        let (kind, entries) = (ListKind::Cached, entries(0..SERVERS));
        balancer.handle(now, Event::EndpointList { kind, entries }, &mut Vec::new());
        balancer
    };
    (0..load.proxies).map(one).collect()
}

/// When each proxy hears of the new server.
fn notifications(load: &Load, draw: &mut Draw) -> VecDeque<(Nanos, usize)> {
    let mut all: Vec<(Nanos, usize)> = (0..load.proxies)
        .map(|p| (START + 300 * MS + (draw.unit() * 1_200.0 * MS as f64) as Nanos, p))
        .collect();
    all.sort_unstable();
    VecDeque::from(all)
}

/// The fullest window of the server that is warming up: what it got, N, and N + 2 root of N + 2.
fn fullest(load: Load, with: &Settings) -> (f64, f64, f64) {
    let mut draw = Draw(load.seed);
    let weights = summed_weights(&load, &mut draw);
    let sum = weights.last().copied().unwrap_or(0.0);
    let mut now = START - 10 * SECOND;
    let mut proxies = proxies(&load, with, now);
    let warming = Entry { started: START, ..entry(SERVERS) };
    let mut notified = notifications(&load, &mut draw);
    let (even, at) = (load.rate / (SERVERS + 1) as f64, VecDeque::new());
    let mut received = Received { with: with.clone(), even, at, fullest: (0.0, 1.0, 1.0) };
    let (mut its_keys, mut actions, mut id) = (Vec::<u64>::new(), Vec::new(), 0);
    while now < START + PLAYED.min(with.slow_start_time) {
        let late = now > START + 5 * SECOND;
        let rate = load.rate * if late { load.burst } else { 1.0 };
        now += (-(1.0 - draw.unit()).ln() / rate * SECOND as f64) as Nanos;
        while notified.front().is_some_and(|(at, _)| *at <= now) {
            let Some((at, p)) = notified.pop_front() else { break };
            let entries = vec![warming.clone()];
            proxies[p].handle(at, Event::EndpointList { kind: ListKind::Delta, entries }, &mut actions);
        }
        let drawn = draw.unit() * sum;
        let even_one = weights.partition_point(|upto| *upto <= drawn).min(load.proxies - 1);
        let p = if draw.unit() < load.heavy { 0 } else { even_one };
        let hot = late && !its_keys.is_empty() && draw.unit() < load.hot;
        let key = match hot {
            true => its_keys[(draw.unit() * its_keys.len().min(4) as f64) as usize],
            false => (draw.unit() * 4_000.0) as u64,
        };
        id += 1;
        actions.clear();
        let request = Request { id, key: Some(key), remaining: 800 * MS, ..Request::default() };
        proxies[p].handle(now, Event::Arrival(request), &mut actions);
        let Some(server) = common::sent(&actions) else { continue };
        if server == warming.server {
            if !its_keys.contains(&key) {
                its_keys.push(key);
            }
            received.one(now);
        }
        let (status, elapsed) = (Status::Ok, 20 * MS);
        let outcome = Outcome { id, attempt: 0, server, status, elapsed, last: true, hit: Some(true) };
        proxies[p].handle(now, Event::Outcome(outcome), &mut actions);
    }
    received.fullest
}

/// Plays some seeds; what went past its bound.
fn past(loads: impl Iterator<Item = Load>, seeds: u64) -> Vec<String> {
    let one = |load: Load| {
        let (got, allowed, bound) = fullest(load, &settings());
        assert!(got > 0.0, "nothing was sent to the server that is warming up: {load:?}");
        (got > bound).then(|| format!("{got} of N {allowed:.1}, {bound:.1} with chance: {load:?}"))
    };
    let loads: Vec<Load> = loads.collect();
    (1..=seeds).flat_map(|seed| loads.iter().filter_map(move |l| one(Load { seed, ..*l }))).collect()
}

/// Danger: what each proxy does alone adds up, most of all where a proxy's part of N is far under one request.
#[test]
fn a_server_that_is_warming_up_gets_no_more_than_its_budget_from_all_proxies_together() {
    let mut loads = Vec::new();
    for proxies in [20, 30, 300, 2_500] {
        for (uneven, heavy) in [(0.0, 0.0), (0.6, 0.0), (1.2, 0.3)] {
            for burst in [1.0, 1.5] {
                loads.push(Load { proxies, uneven, heavy, rate: 200.0, burst, ..Load::default() });
            }
        }
    }
    assert_eq!(past(loads.into_iter(), 1), Vec::<String>::new());
}

/// Danger: permits that were saved while other keys were asked for is spent at once when a few keys of the server that is warming up draw a
/// third of all requests; a window's income comes on top.
#[test]
fn keys_that_turn_hot_at_a_server_that_is_warming_up_spend_no_more_than_its_budget() {
    let loads =
        [20, 30].map(|proxies| Load { proxies, rate: 20_000.0, burst: 1.0, hot: 0.3, ..Load::default() });
    assert_eq!(past(loads.into_iter(), 1), Vec::<String>::new());
}
