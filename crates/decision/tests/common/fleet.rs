//! A model of a fleet for the slow-start tests: many proxies, each with its own decision module, that know
//! only the number of proxies, and the requests that each server that is warming up gets from all of them
//! together.

use super::{entries, entry, settings, MS, SECOND};
use aniseyoke_decision::api::*;
use aniseyoke_decision::Balancer;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Number of warm servers.
pub const SERVERS: u64 = 19;
/// When the first warming server starts.
pub const START: Nanos = 1_000 * SECOND;
/// Duration of the load before the first start.
const BEFORE: Nanos = 10 * SECOND;
/// When the burst and the hot keys begin, counted from the start.
const BURST_AT: Nanos = 5 * SECOND;
/// Number of distinct keys.
const KEYS: f64 = 4_000.0;

/// A SplitMix64 pseudorandom number generator.
pub struct Rng(pub u64);

impl Rng {
    pub fn uniform(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Parameters of one simulation.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub settings: Settings,
    pub proxies: usize,
    /// Sigma of the log-normal weights of proxies.
    pub uneven: f64,
    /// The fraction of all requests that goes to the first proxy in addition to its share.
    pub heavy: f64,
    /// Requests per second over all proxies.
    pub rate: f64,
    /// Factor on the request rate from five seconds after the start.
    pub burst: f64,
    /// The fraction of the requests that are for keys of warming servers from five seconds after the start.
    pub hot: f64,
    /// Number of keys that turn hot.
    pub hot_keys: usize,
    /// Number of servers that start warming up at the same time.
    pub warming: u64,
    /// Restarts of the first warming server, counted from its start.
    pub restarts: Vec<Nanos>,
    /// Whether the first warming server ran before, so that proxies not yet notified of its start treat it as
    /// warm.
    pub known: bool,
    /// The longest delay until a proxy is notified of a start (the shortest is 0.3 s).
    pub notified_within: Nanos,
    /// Changes of the number of proxies, counted from the start; the settings change with it.
    pub changes: Vec<(Nanos, usize)>,
    /// When this fraction of the proxies is killed, counted from the start; each restarts a second later with
    /// the endpoint list alone.
    pub killed: Vec<(Nanos, f64)>,
    /// The fraction of the requests in the heavy class, and their work relative to the light class.
    pub heavy_class: (f64, f64),
    /// The fraction of the attempts at warm servers that are reset.
    pub reset: f64,
    /// The fraction of the attempts at warm servers that are answered so late that a hedged request is sent.
    pub late: f64,
    /// Whether a read that misses at a warming server is stored there, which counts as one more request.
    pub fills: bool,
    /// The utilization of the servers before the burst, which warm servers report, and the relative error of
    /// the reports. Without it servers are fully utilized and report nothing.
    pub utilization: Option<(f64, f64)>,
    /// Duration of the simulation after the start.
    pub length: Nanos,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            settings: settings(),
            proxies: 30,
            uneven: 0.6,
            heavy: 0.0,
            rate: 2_000.0,
            burst: 1.0,
            hot: 0.0,
            hot_keys: 4,
            warming: 1,
            restarts: Vec::new(),
            known: false,
            notified_within: 1_500 * MS,
            changes: Vec::new(),
            killed: Vec::new(),
            heavy_class: (0.0, 1.0),
            reset: 0.0,
            late: 0.0,
            fills: false,
            utilization: None,
            length: 9 * SECOND,
        }
    }
}

/// The fullest window of a warming server, in requests of mean work.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullestWindow {
    /// Work from all proxies.
    pub got: f64,
    /// Work from proxies that had been notified of the server's start.
    pub notified: f64,
    /// N: the work that the settings allow in the window.
    pub allowed: f64,
    /// N plus the slack for chance.
    pub bound: f64,
}

/// Result of one simulation.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// The window closest to its bound, counting only the requests of proxies that had been notified.
    pub worst: FullestWindow,
    /// Windows beyond their bound with over two thirds of the work from proxies that had been notified.
    pub broken: Vec<FullestWindow>,
    /// Requests sent to warming servers by proxies that had been notified.
    pub to_warming: u64,
    /// Number of requests from the start on.
    pub asked: u64,
    /// Number of those that were answered.
    pub answered: u64,
    /// Number of attempts beyond the first of each request.
    pub further: u64,
}

/// Returns N plus the slack for chance: three deviations and 3 below N = 30, else two deviations and 2.
pub fn with_chance(allowed: f64) -> f64 {
    let (deviations, extra) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    allowed + deviations * allowed.sqrt() + extra
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Notified { proxy: usize, server: usize, started: Nanos },
    Started { server: usize },
    Number { proxies: usize },
    Killed { thousandths: u64 },
    Back { proxy: usize },
    Answer { proxy: usize, id: u64, attempt: u32, server: ServerId, ok: bool, elapsed: Nanos },
    Timer { proxy: usize, token: u64 },
}

/// A request that reached a warming server.
struct ReceivedRequest {
    at: Nanos,
    /// Start time of the process that it reached.
    started: Nanos,
    work: f64,
    /// Whether its proxy had been notified of that start.
    notified: bool,
}

struct Warming {
    entry: Entry,
    started: Nanos,
    got: VecDeque<ReceivedRequest>,
    keys: Vec<u64>,
    stored: std::collections::HashSet<u64>,
    /// The latest start that each proxy has been notified of.
    notified: Vec<Nanos>,
}

struct ProxyState {
    balancer: Balancer,
    up: bool,
    weight: f64,
}

struct OpenRequest {
    key: u64,
    class: usize,
    attempts: u32,
    finished: bool,
}

/// State of a running simulation.
struct Fleet<'a> {
    scenario: &'a Scenario,
    rng: Rng,
    now: Nanos,
    proxy_states: Vec<ProxyState>,
    warming: Vec<Warming>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Due)>>,
    queued: u64,
    pending: HashMap<(usize, u64), OpenRequest>,
    next: u64,
    settings: Settings,
    active: usize,
    weights: Vec<f64>,
    result: FleetResult,
}

/// Runs one simulation.
pub fn simulate(scenario: &Scenario) -> FleetResult {
    let mut fleet = Fleet::new(scenario);
    fleet.prepare();
    let end = START + scenario.length;
    let mut arrival = fleet.now;
    while arrival < end {
        let rate = scenario.rate * if arrival > START + BURST_AT { scenario.burst } else { 1.0 };
        arrival += (-(1.0 - fleet.rng.uniform()).ln() / rate * SECOND as f64) as Nanos;
        fleet.run_until(arrival);
        fleet.arrive();
    }
    fleet.run_until(end + 2 * SECOND);
    fleet.result
}

impl<'a> Fleet<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let mut settings = scenario.settings.clone();
        let base = settings.classes[0].clone();
        settings.classes.push(base);
        settings.proxies = scenario.proxies as u32;
        Fleet {
            scenario,
            rng: Rng(scenario.seed),
            now: START - BEFORE,
            proxy_states: Vec::new(),
            warming: Vec::new(),
            queue: BinaryHeap::new(),
            queued: 0,
            pending: HashMap::new(),
            next: 1,
            settings,
            active: scenario.proxies,
            weights: Vec::new(),
            result: FleetResult::default(),
        }
    }

    fn prepare(&mut self) {
        let max_proxies = self.scenario.changes.iter().map(|c| c.1).fold(self.scenario.proxies, usize::max);
        for index in 0..max_proxies {
            let normal = (0..12).map(|_| self.rng.uniform()).sum::<f64>() - 6.0;
            let weight = (self.scenario.uneven * normal).exp().clamp(1.0 / 6.0, 6.0);
            let balancer = self.new_balancer(index);
            self.proxy_states.push(ProxyState { balancer, up: index < self.scenario.proxies, weight });
        }
        for n in 0..self.scenario.warming {
            let known = self.scenario.known && n == 0;
            let entry = entry(if known { 0 } else { SERVERS + n });
            let (got, keys, stored) = Default::default();
            self.warming.push(Warming {
                entry,
                started: START,
                got,
                keys,
                stored,
                notified: vec![0; max_proxies],
            });
            self.schedule(START, Due::Started { server: n as usize });
        }
        for index in 0..max_proxies {
            self.send_full_list(index);
        }
        for after in self.scenario.restarts.clone() {
            self.schedule(START + after, Due::Started { server: 0 });
        }
        for (after, proxies) in self.scenario.changes.clone() {
            self.schedule(START + after, Due::Number { proxies });
        }
        for (after, part) in self.scenario.killed.clone() {
            self.schedule(START + after, Due::Killed { thousandths: (part * 1e3) as u64 });
        }
        self.update_weights();
    }

    fn new_balancer(&mut self, index: usize) -> Balancer {
        let seed = self.scenario.seed ^ (index as u64) << 32 ^ (self.rng.uniform() * 1e9) as u64;
        Balancer::new(Settings { proxy_index: index as u32, ..self.settings.clone() }, seed)
    }

    fn update_weights(&mut self) {
        let active = self.active;
        let mut sum = 0.0;
        let weights = self.proxy_states.iter().enumerate().map(|(n, m)| {
            sum += if m.up && n < active { m.weight } else { 0.0 };
            sum
        });
        self.weights = weights.collect();
    }

    fn schedule(&mut self, at: Nanos, due: Due) {
        self.queued += 1;
        self.queue.push(Reverse((at, self.queued, due)));
    }

    /// Sends a proxy the full endpoint list, with the starts that it has been notified of.
    fn send_full_list(&mut self, proxy: usize) {
        let mut list = entries(0..SERVERS);
        for warming in &self.warming {
            let listed = list.iter_mut().find(|e| e.server == warming.entry.server);
            match (listed, warming.notified[proxy]) {
                (Some(old), at) => old.started = at,
                (None, 0) => {}
                (None, at) => list.push(Entry { started: at, ..warming.entry.clone() }),
            }
        }
        self.deliver(proxy, Event::EndpointList { kind: ListKind::Cached, entries: list });
    }

    fn run_until(&mut self, until: Nanos) {
        while self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until) {
            let Some(Reverse((at, _, due))) = self.queue.pop() else { break };
            self.now = at;
            self.process(due);
        }
        self.now = until;
    }

    fn process(&mut self, due: Due) {
        match due {
            Due::Notified { proxy, server, started } => self.notify(proxy, server, started),
            Due::Started { server } => self.server_started(server),
            Due::Number { proxies } => self.set_proxy_count(proxies),
            Due::Killed { thousandths } => self.kill_proxies(thousandths),
            Due::Back { proxy } => {
                self.proxy_states[proxy].up = true;
                self.update_weights();
                self.proxy_states[proxy].balancer = self.new_balancer(proxy);
                self.send_full_list(proxy);
            }
            Due::Answer { proxy, id, attempt, server, ok, elapsed } => {
                self.answer(proxy, id, attempt, server, ok, elapsed);
            }
            Due::Timer { proxy, token } => self.deliver(proxy, Event::Timer(token)),
        }
    }

    fn server_started(&mut self, server: usize) {
        let now = self.now;
        self.warming[server].started = now;
        let min_delay = 300 * MS;
        for proxy in 0..self.proxy_states.len() {
            let extra = self.rng.uniform() * self.scenario.notified_within.saturating_sub(min_delay) as f64;
            self.schedule(now + min_delay + extra as Nanos, Due::Notified { proxy, server, started: now });
        }
    }

    fn notify(&mut self, proxy: usize, server: usize, started: Nanos) {
        let warming = &mut self.warming[server];
        if started <= warming.notified[proxy] {
            return;
        }
        warming.notified[proxy] = started;
        let entries = vec![Entry { started, ..warming.entry.clone() }];
        self.deliver(proxy, Event::EndpointList { kind: ListKind::Delta, entries });
    }

    fn set_proxy_count(&mut self, proxies: usize) {
        self.active = proxies;
        self.settings.proxies = proxies as u32;
        for index in 0..proxies {
            let settings = Settings { proxy_index: index as u32, ..self.settings.clone() };
            if self.proxy_states[index].up {
                assert!(
                    self.proxy_states[index].balancer.update_settings(settings),
                    "the number of classes is unchanged"
                );
            } else {
                self.process(Due::Back { proxy: index });
            }
        }
        self.update_weights();
    }

    fn kill_proxies(&mut self, thousandths: u64) {
        for proxy in 0..self.active {
            if self.rng.uniform() * 1e3 < thousandths as f64 && proxy != 1 {
                self.proxy_states[proxy].up = false;
                self.schedule(self.now + SECOND, Due::Back { proxy });
            }
        }
        self.update_weights();
    }

    fn arrive(&mut self) {
        let scenario = self.scenario;
        let sum = self.weights.last().copied().unwrap_or(0.0);
        if sum == 0.0 {
            return;
        }
        let position = self.rng.uniform() * sum;
        let by_weight = self
            .weights
            .partition_point(|cumulative| *cumulative <= position)
            .min(self.proxy_states.len() - 1);
        let heavy = self.rng.uniform() < scenario.heavy && self.proxy_states[0].up;
        let proxy = if heavy { 0 } else { by_weight };
        let hot = self.now > START + BURST_AT && self.rng.uniform() < scenario.hot;
        let keys = &self.warming[(self.next % scenario.warming.max(1)) as usize].keys;
        let key = match (hot, keys.is_empty()) {
            (true, false) => keys[(self.rng.uniform() * keys.len().min(scenario.hot_keys) as f64) as usize],
            _ => (self.rng.uniform() * KEYS) as u64,
        };
        let class = usize::from(self.rng.uniform() < scenario.heavy_class.0);
        let id = self.next;
        self.next += 1;
        self.result.asked += u64::from(self.now >= START);
        self.pending.insert((proxy, id), OpenRequest { key, class, attempts: 0, finished: false });
        let (class, key, remaining) = (class as u32, Some(key), 800 * MS);
        self.deliver(proxy, Event::Arrival(Request { id, class, key, remaining, ..Request::default() }));
    }

    fn deliver(&mut self, proxy: usize, event: Event) {
        let mut actions = Vec::new();
        self.proxy_states[proxy].balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(proxy, id, server),
                Action::Timer { token, delay } => {
                    self.schedule(self.now + delay, Due::Timer { proxy, token })
                }
                Action::Reject { id, .. } | Action::Fail { id } => drop(self.pending.remove(&(proxy, id))),
                _ => {}
            }
        }
    }

    fn send(&mut self, proxy: usize, id: u64, server: ServerId) {
        let Some(request) = self.pending.get_mut(&(proxy, id)) else { return };
        let attempt = request.attempts;
        request.attempts += 1;
        self.result.further += u64::from(attempt > 0);
        let (key, class) = (request.key, request.class);
        let warming = self.warming.iter().position(|c| c.entry.server == server && self.now >= c.started);
        let work = self.work(class);
        if let Some(warming) = warming {
            self.record_arrival(proxy, warming, key, work);
        }
        let reset = warming.is_none() && self.rng.uniform() < self.scenario.reset;
        let late = warming.is_none() && self.rng.uniform() < self.scenario.late;
        let elapsed = if late { 700 * MS } else { (20.0 * work * MS as f64) as Nanos };
        let (at, ok) = (self.now + elapsed, !reset);
        self.schedule(at, Due::Answer { proxy, id, attempt, server, ok, elapsed });
    }

    /// Work of a request of this class, relative to the mean.
    fn work(&self, class: usize) -> f64 {
        let (part, times) = self.scenario.heavy_class;
        (if class == 1 { times } else { 1.0 }) / (1.0 - part + part * times)
    }

    fn record_arrival(&mut self, proxy: usize, server: usize, key: u64, work: f64) {
        let (now, with) = (self.now, &self.scenario.settings);
        let warming = &mut self.warming[server];
        let notified = warming.notified[proxy] == warming.started;
        self.result.to_warming += u64::from(notified);
        if notified && !warming.keys.contains(&key) {
            warming.keys.push(key);
        }
        let fill = self.scenario.fills && warming.stored.insert(key);
        let work = work + f64::from(u8::from(fill));
        while warming.got.front().is_some_and(|one| one.at + with.overload_window < now) {
            warming.got.pop_front();
        }
        warming.got.push_back(ReceivedRequest { at: now, started: warming.started, work, notified });
        let age = (now - warming.started) as f64 / with.slow_start_time as f64;
        let warm_fraction = with.slow_start_from + (1.0 - with.slow_start_from) * age;
        if warm_fraction >= 1.0 {
            return;
        }
        let even =
            self.scenario.rate / (SERVERS + self.scenario.warming - u64::from(self.scenario.known)) as f64;
        let capacity = even / self.scenario.utilization.map_or(1.0, |(used, _)| used);
        let allowed =
            with.overload_multiple * warm_fraction * capacity * with.overload_window as f64 / SECOND as f64;
        let sum = |of: &dyn Fn(&ReceivedRequest) -> bool| {
            warming.got.iter().filter(|one| of(one)).map(|one| one.work).sum::<f64>()
        };
        let (got, by_notified) = (sum(&|_| true), sum(&|one| one.notified));
        let window = FullestWindow { got, notified: by_notified, allowed, bound: with_chance(allowed) };
        if by_notified / window.bound > self.result.worst.notified / self.result.worst.bound.max(1e-9) {
            self.result.worst = window;
        }
        // A restarted server does not count the requests of its previous process.
        let started = warming.started;
        let (got, by_notified) =
            (sum(&|one| one.started == started), sum(&|one| one.started == started && one.notified));
        if got > window.bound && by_notified > got * 2.0 / 3.0 {
            self.result.broken.push(FullestWindow { got, notified: by_notified, ..window });
        }
    }

    /// Delivers the load report that a warm server sends with its answer.
    fn deliver_report(&mut self, proxy: usize, server: ServerId) {
        let Some((used, noise)) = self.scenario.utilization else { return };
        if self.warming.iter().any(|warming| warming.entry.server == server) {
            return;
        }
        let burst = if self.now > START + BURST_AT { self.scenario.burst } else { 1.0 };
        let busy = (used * burst).min(1.0) * (1.0 + noise * (2.0 * self.rng.uniform() - 1.0));
        let served = self.scenario.rate * burst / SERVERS as f64;
        let load = Load::new(busy, served).expect("sound");
        self.deliver(proxy, Event::LoadReport { server, load });
    }

    fn answer(&mut self, proxy: usize, id: u64, attempt: u32, server: ServerId, ok: bool, elapsed: Nanos) {
        let Some(request) = self.pending.get_mut(&(proxy, id)) else { return };
        if !self.proxy_states[proxy].up {
            return;
        }
        let last = ok || request.finished;
        if ok && !request.finished {
            request.finished = true;
            self.result.answered += u64::from(self.now >= START);
        }
        let status = if ok { Status::Ok } else { Status::Reset };
        let outcome = Outcome { id, attempt, server, status, elapsed, last, hit: ok.then_some(true) };
        self.deliver(proxy, Event::Outcome(outcome));
        self.deliver_report(proxy, server);
        if ok {
            self.pending.remove(&(proxy, id));
        }
    }
}
