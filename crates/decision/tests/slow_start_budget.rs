//! Requests that one server that is warming up gets from all proxies together, which know only the number of
//! proxies: at most N + 2 * sqrt(N) + 2 in any window of the rule, N being what the settings allow at that
//! time.

mod common;

use aniseyoke_decision::api::*;
use aniseyoke_decision::Balancer;
use common::{entries, entry, settings, MS, SECOND};
use std::collections::VecDeque;

/// Number of warm servers.
const SERVERS: u64 = 19;
/// When the new server starts.
const START: Nanos = 1_000 * SECOND;
/// How long the new server is observed from its start.
const OBSERVATION: Nanos = 12 * SECOND;

/// Traffic of the clients.
#[derive(Clone, Copy, Debug, Default)]
struct Load {
    proxies: usize,
    /// Sigma of the log-normal weights of proxies.
    uneven: f64,
    /// The fraction of all requests that goes to the first proxy in addition to its share.
    heavy: f64,
    /// Requests per second over all proxies.
    rate: f64,
    /// Factor on the request rate from five seconds after the start.
    burst: f64,
    /// The fraction of the requests that are for keys of the warming server from five seconds after the
    /// start.
    hot: f64,
    seed: u64,
}

/// A SplitMix64 pseudorandom number generator.
struct Rng(u64);

impl Rng {
    fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Requests that the warming server got, and its fullest window.
struct Received {
    settings: Settings,
    /// An equal share of the requests per second.
    even: f64,
    at: VecDeque<Nanos>,
    /// Requests, N and N + 2 * sqrt(N) + 2 of the fullest window.
    fullest: (f64, f64, f64),
}

impl Received {
    fn record(&mut self, now: Nanos) {
        let settings = &self.settings;
        while self.at.front().is_some_and(|at| at + settings.overload_window < now) {
            self.at.pop_front();
        }
        self.at.push_back(now);
        let window = settings.overload_window as f64 / SECOND as f64;
        let age = (now - START) as f64 / settings.slow_start_time as f64;
        let warm_fraction = settings.slow_start_from + (1.0 - settings.slow_start_from) * age;
        let allowed = settings.overload_multiple * warm_fraction * self.even * window;
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let got = self.at.len() as f64;
        if got / bound > self.fullest.0 / self.fullest.2 {
            self.fullest = (got, allowed, bound);
        }
    }
}

/// Cumulative weights of the proxies.
fn summed_weights(load: &Load, rng: &mut Rng) -> Vec<f64> {
    let mut sum = 0.0;
    let weights = (0..load.proxies).map(|_| {
        let normal = (0..12).map(|_| rng.uniform()).sum::<f64>() - 6.0;
        sum += (load.uneven * normal).exp().clamp(1.0 / 6.0, 6.0);
        sum
    });
    weights.collect()
}

/// The proxies, with the list of the warm servers.
fn proxies(load: &Load, settings: &Settings, now: Nanos) -> Vec<Balancer> {
    let one = |index: usize| {
        let own = Settings { proxies: load.proxies as u32, proxy_index: index as u32, ..settings.clone() };
        let mut balancer = Balancer::new(own, load.seed ^ (index as u64) << 32);
        let (kind, entries) = (ListKind::Cached, entries(0..SERVERS));
        balancer.handle(now, Event::EndpointList { kind, entries }, &mut Vec::new());
        balancer
    };
    (0..load.proxies).map(one).collect()
}

/// When each proxy is notified of the new server.
fn notifications(load: &Load, rng: &mut Rng) -> VecDeque<(Nanos, usize)> {
    let mut all: Vec<(Nanos, usize)> = (0..load.proxies)
        .map(|p| (START + 300 * MS + (rng.uniform() * 1_200.0 * MS as f64) as Nanos, p))
        .collect();
    all.sort_unstable();
    VecDeque::from(all)
}

/// Simulates the load; returns the requests, N and N + 2 * sqrt(N) + 2 of the fullest window of the warming
/// server.
fn fullest_window(load: Load, settings: &Settings) -> (f64, f64, f64) {
    let mut rng = Rng(load.seed);
    let weights = summed_weights(&load, &mut rng);
    let sum = weights.last().copied().unwrap_or(0.0);
    let mut now = START - 10 * SECOND;
    let mut proxies = proxies(&load, settings, now);
    let warming = Entry { started: START, ..entry(SERVERS) };
    let mut notified = notifications(&load, &mut rng);
    let (even, at) = (load.rate / (SERVERS + 1) as f64, VecDeque::new());
    let mut received = Received { settings: settings.clone(), even, at, fullest: (0.0, 1.0, 1.0) };
    let (mut warming_keys, mut actions, mut id) = (Vec::<u64>::new(), Vec::new(), 0);
    while now < START + OBSERVATION.min(settings.slow_start_time) {
        let late = now > START + 5 * SECOND;
        let rate = load.rate * if late { load.burst } else { 1.0 };
        now += (-(1.0 - rng.uniform()).ln() / rate * SECOND as f64) as Nanos;
        while notified.front().is_some_and(|(at, _)| *at <= now) {
            let Some((at, p)) = notified.pop_front() else { break };
            let entries = vec![warming.clone()];
            proxies[p].handle(at, Event::EndpointList { kind: ListKind::Delta, entries }, &mut actions);
        }
        let position = rng.uniform() * sum;
        let by_weight = weights.partition_point(|cumulative| *cumulative <= position).min(load.proxies - 1);
        let p = if rng.uniform() < load.heavy { 0 } else { by_weight };
        let hot = late && !warming_keys.is_empty() && rng.uniform() < load.hot;
        let key = match hot {
            true => warming_keys[(rng.uniform() * warming_keys.len().min(4) as f64) as usize],
            false => (rng.uniform() * 4_000.0) as u64,
        };
        id += 1;
        actions.clear();
        let request = Request { id, key: Some(key), remaining: 800 * MS, ..Request::default() };
        proxies[p].handle(now, Event::Arrival(request), &mut actions);
        let Some(server) = common::sent(&actions) else { continue };
        if server == warming.server {
            if !warming_keys.contains(&key) {
                warming_keys.push(key);
            }
            received.record(now);
        }
        let (status, elapsed) = (Status::Ok, 20 * MS);
        let outcome = Outcome { id, attempt: 0, server, status, elapsed, last: true, hit: Some(true) };
        proxies[p].handle(now, Event::Outcome(outcome), &mut actions);
    }
    received.fullest
}

/// Simulates the loads with some seeds; describes the windows beyond their bound.
fn windows_beyond_bound(loads: impl Iterator<Item = Load>, seeds: u64) -> Vec<String> {
    let one = |load: Load| {
        let (got, allowed, bound) = fullest_window(load, &settings());
        assert!(got > 0.0, "nothing was sent to the server that is warming up: {load:?}");
        (got > bound).then(|| format!("{got} requests, N {allowed:.1}, bound {bound:.1}: {load:?}"))
    };
    let loads: Vec<Load> = loads.collect();
    (1..=seeds).flat_map(|seed| loads.iter().filter_map(move |l| one(Load { seed, ..*l }))).collect()
}

/// Guards against budgets of single proxies that add up to more than N, above all where a proxy's part of N
/// is far below one request.
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
    assert_eq!(windows_beyond_bound(loads.into_iter(), 1), Vec::<String>::new());
}

/// Guards against a burst of permits that were saved while other keys were requested: when a few keys of the
/// warming server get a third of all requests, the permits earned in the window come on top.
#[test]
fn keys_that_turn_hot_at_a_server_that_is_warming_up_spend_no_more_than_its_budget() {
    let loads =
        [20, 30].map(|proxies| Load { proxies, rate: 20_000.0, burst: 1.0, hot: 0.3, ..Load::default() });
    assert_eq!(windows_beyond_bound(loads.into_iter(), 1), Vec::<String>::new());
}
