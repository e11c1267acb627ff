//! Counts the requests that all proxies together send to cold nodes, and compares them with the slow-start
//! budget of the settings.

use aniseyoke_lab_day::clock::{nanos, Nanos};
use aniseyoke_lab_day::Day;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::collections::VecDeque;

/// Maximum number of arrivals tracked in the window of one node; beyond it the oldest ones are dropped.
const MAX_TRACKED_ARRIVALS: usize = 1 << 16;

/// The requests that a warming node received within one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartWindow {
    /// The index of the node among the members of the model.
    pub member: usize,
    /// The age of the node at the end of the window, in milliseconds.
    pub age_ms: u64,
    /// Requests received from all proxies within the window, each counted as a request of mean work.
    pub got: u64,
    /// Requests from proxies that had been notified of the node's start.
    pub notified: u64,
    /// Requests of mean work that the settings allow in a window at that age: N.
    pub allowed: f64,
    /// N + 2 sqrt(N) + 2. A count above this bound is not random variation.
    pub bound: f64,
}

impl SlowStartWindow {
    /// The ratio of the requests received to those allowed.
    pub fn ratio(&self) -> f64 {
        self.got as f64 / self.allowed.max(f64::MIN_POSITIVE)
    }

    /// The ratio of the requests from notified proxies to the bound.
    pub fn notified_ratio(&self) -> f64 {
        self.notified as f64 / self.bound.max(f64::MIN_POSITIVE)
    }

    /// Whether the count exceeds the bound and over two thirds of it came from notified proxies.
    fn violates_rule(&self) -> bool {
        self.got as f64 > self.bound && 3 * self.notified > 2 * self.got
    }
}

/// Slow-start statistics over all cold nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartStats {
    /// Starts of nodes that received at least one request while they were cold.
    pub starts: u64,
    /// Of those, the starts with more than N requests in some window.
    pub past_allowed: u64,
    /// Of those, the starts with more than N + 2 sqrt(N) + 2 requests in some window.
    pub past_bound: u64,
    /// Of those, the starts for which over two thirds of the requests came from proxies that had been
    /// notified of the start: these violate the rule.
    pub broken: u64,
    /// The window with the highest ratio of received to allowed requests.
    pub fullest: SlowStartWindow,
    /// The window with the highest ratio of received requests to its bound.
    pub closest: SlowStartWindow,
    /// The window with the highest ratio of requests from notified proxies to its bound.
    pub closest_notified: SlowStartWindow,
}

#[derive(Default)]
struct Node {
    started_at: Nanos,
    /// Arrival times, and whether the sending proxies had been notified of the start.
    got: VecDeque<(Nanos, bool)>,
    /// The number of entries in `got` whose proxies had been notified.
    notified: u64,
    past_allowed: bool,
    past_bound: bool,
    broken: bool,
}

/// A request that has arrived at a cold node.
#[derive(Clone, Copy, Debug)]
pub struct ColdArrival {
    /// The index of the node among the members of the model.
    pub member: usize,
    /// The start time of the node.
    pub started: Nanos,
    /// The work allowed in a window at the node's current age, in nanoseconds on a core of speed 1.
    pub allowed: f64,
    /// Whether the proxy had been notified of the start.
    pub notified: bool,
}

impl Node {
    /// Adds an arrival and drops those older than the window.
    fn add(&mut self, now: Nanos, window: Nanos, notified: bool) {
        while self.got.front().is_some_and(|(at, _)| at + window < now)
            || self.got.len() >= MAX_TRACKED_ARRIVALS
        {
            let oldest = self.got.pop_front();
            self.notified -= u64::from(oldest.is_some_and(|(_, notified)| notified));
        }
        self.got.push_back((now, notified));
        self.notified += u64::from(notified);
    }
}

/// The mean work of a request of the day, in nanoseconds on a core of speed 1.
pub fn mean_work(day: &Day) -> f64 {
    day.load.classes.iter().map(|c| c.share * nanos(c.work) as f64).sum::<f64>().max(1.0)
}

/// Counts arrivals at cold nodes against their slow-start budget.
pub struct SlowStartCounter {
    window: Nanos,
    /// Mean work of a request, in nanoseconds on a core of speed 1.
    work: f64,
    nodes: FxHashMap<usize, Node>,
    stats: SlowStartStats,
}

impl SlowStartCounter {
    /// Creates an empty counter with the overload window of the day.
    pub fn new(day: &Day) -> Self {
        let window = nanos(day.site.cache.overload_window);
        SlowStartCounter {
            window,
            work: mean_work(day),
            nodes: FxHashMap::default(),
            stats: SlowStartStats::default(),
        }
    }

    /// Records a request that has arrived at a cold node.
    pub fn arrived(&mut self, now: Nanos, arrival: ColdArrival) {
        let ColdArrival { member, started, allowed, notified } = arrival;
        let node = self.nodes.entry(member).or_default();
        if node.got.is_empty() || node.started_at != started {
            *node = Node { started_at: started, ..Node::default() };
            self.stats.starts += 1;
        }
        node.add(now, self.window, notified);
        let (got, allowed) = (node.got.len() as u64, allowed / self.work);
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let age_ms = now.saturating_sub(started) / aniseyoke_lab_day::clock::MILLISECOND;
        let window = SlowStartWindow { member, age_ms, got, notified: node.notified, allowed, bound };
        let stats = &mut self.stats;
        if window.ratio() > stats.fullest.ratio() {
            stats.fullest = window;
        }
        if stats.closest.got == 0 || got as f64 / bound > stats.closest.got as f64 / stats.closest.bound {
            stats.closest = window;
        }
        if window.notified_ratio() > stats.closest_notified.notified_ratio() {
            stats.closest_notified = window;
        }
        let newly_set = |is: bool, was: &mut bool| u64::from(is && !std::mem::replace(was, *was || is));
        stats.past_allowed += newly_set(got as f64 > allowed, &mut node.past_allowed);
        stats.past_bound += newly_set(got as f64 > bound, &mut node.past_bound);
        stats.broken += newly_set(window.violates_rule(), &mut node.broken);
    }

    /// The statistics so far.
    pub fn stats(&self) -> SlowStartStats {
        self.stats.clone()
    }
}
