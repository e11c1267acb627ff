//! What cold nodes are sent by all proxies together, against what the settings allow them while they warm.

use aniseyoke_lab_day::clock::{nanos, Nanos};
use aniseyoke_lab_day::Day;
use rustc_hash::FxHashMap;
use serde::Serialize;
use std::collections::VecDeque;

/// Arrivals that are kept of one node's span; past that the oldest are forgotten.
const KEPT_MOST: usize = 1 << 16;

/// The fullest span of one node while it warmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartWindow {
    /// The node, as the model numbers its members.
    pub member: usize,
    /// How old it was, in milliseconds.
    pub age_ms: u64,
    /// Requests that it got from all proxies within the span up to then, each counted as one of mean work.
    pub got: u64,
    /// Those from proxies that had been notified of its start.
    pub notified: u64,
    /// Requests of mean work that the settings allow it in a span at that age: N.
    pub allowed: f64,
    /// N + 2 root of N + 2: past that it is no chance.
    pub bound: f64,
}

impl SlowStartWindow {
    /// What it got over what is allowed.
    pub fn ratio(&self) -> f64 {
        self.got as f64 / self.allowed.max(f64::MIN_POSITIVE)
    }

    /// What proxies sent that had been notified of its start, over the bound.
    pub fn notified_ratio(&self) -> f64 {
        self.notified as f64 / self.bound.max(f64::MIN_POSITIVE)
    }

    /// Whether it is past the bound, and over two thirds of it came from proxies that had been notified.
    fn breaks_rule(&self) -> bool {
        self.got as f64 > self.bound && 3 * self.notified > 2 * self.got
    }
}

/// The count over all nodes that were cold.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct SlowStartStats {
    /// Starts of nodes that got anything while they were cold.
    pub starts: u64,
    /// Of those, the ones that once got more than N.
    pub past_allowed: u64,
    /// Of those, the ones that once got more than N + 2 root of N + 2.
    pub past_bound: u64,
    /// Of those, the ones of which over two thirds came from proxies that had been notified of the start: these break the rule.
    pub broken: u64,
    /// The span with the most requests for what is allowed.
    pub fullest: SlowStartWindow,
    /// The span that came closest to its bound, or went furthest past it.
    pub closest: SlowStartWindow,
    /// The same by what proxies sent that had been notified.
    pub closest_notified: SlowStartWindow,
}

#[derive(Default)]
struct Node {
    born: Nanos,
    /// When requests came, and whether their proxies had been notified of the start.
    got: VecDeque<(Nanos, bool)>,
    /// Those of `got` whose proxies had been notified.
    notified: u64,
    past_allowed: bool,
    past_bound: bool,
    broken: bool,
}

/// A request that has come to a node that is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdArrival {
    /// The node, as the model numbers its members.
    pub member: usize,
    /// When it started.
    pub started: Nanos,
    /// The work that it may be sent in a span now, in nanoseconds on a core of speed 1.
    pub allowed: f64,
    /// Whether the proxy had been notified of that start.
    pub notified: bool,
}

impl Node {
    /// Adds an arrival, and forgets what is older than the span.
    fn add(&mut self, now: Nanos, span: Nanos, notified: bool) {
        while self.got.front().is_some_and(|(at, _)| at + span < now) || self.got.len() >= KEPT_MOST {
            let oldest = self.got.pop_front();
            self.notified -= u64::from(oldest.is_some_and(|(_, notified)| notified));
        }
        self.got.push_back((now, notified));
        self.notified += u64::from(notified);
    }
}

/// The mean work of a day's requests, in nanoseconds on a core of speed 1.
pub fn mean_work(day: &Day) -> f64 {
    day.load.classes.iter().map(|c| c.share * nanos(c.work) as f64).sum::<f64>().max(1.0)
}

/// Counts arrivals at cold nodes.
pub struct Ramp {
    span: Nanos,
    /// Mean work of a request, in nanoseconds on a core of speed 1.
    work: f64,
    nodes: FxHashMap<usize, Node>,
    found: SlowStartStats,
}

impl Ramp {
    /// Nothing yet, by a day's rule on cold nodes.
    pub fn new(day: &Day) -> Self {
        let span = nanos(day.site.cache.overload_window);
        Ramp { span, work: mean_work(day), nodes: FxHashMap::default(), found: SlowStartStats::default() }
    }

    /// A request has come to a member that is cold.
    pub fn arrived(&mut self, now: Nanos, arrival: ColdArrival) {
        let ColdArrival { member, started, allowed, notified } = arrival;
        let node = self.nodes.entry(member).or_default();
        if node.got.is_empty() || node.born != started {
            *node = Node { born: started, ..Node::default() };
            self.found.starts += 1;
        }
        node.add(now, self.span, notified);
        let (got, allowed) = (node.got.len() as u64, allowed / self.work);
        let bound = allowed + 2.0 * allowed.sqrt() + 2.0;
        let age_ms = now.saturating_sub(started) / aniseyoke_lab_day::clock::MILLISECOND;
        let span = SlowStartWindow { member, age_ms, got, notified: node.notified, allowed, bound };
        let found = &mut self.found;
        if span.ratio() > found.fullest.ratio() {
            found.fullest = span;
        }
        if found.closest.got == 0 || got as f64 / bound > found.closest.got as f64 / found.closest.bound {
            found.closest = span;
        }
        if span.notified_ratio() > found.closest_notified.notified_ratio() {
            found.closest_notified = span;
        }
        let past = |is: bool, was: &mut bool| u64::from(is && !std::mem::replace(was, *was || is));
        found.past_allowed += past(got as f64 > allowed, &mut node.past_allowed);
        found.past_bound += past(got as f64 > bound, &mut node.past_bound);
        found.broken += past(span.breaks_rule(), &mut node.broken);
    }

    /// What was found.
    pub fn found(&self) -> SlowStartStats {
        self.found.clone()
    }
}
