//! What the clients counted: outcomes and latencies by class and tenant, and the load tool's own error.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use aniseyoke_lab_day::Day;
use hdrhistogram::Histogram;
use serde::Serialize;

/// How a request ended, over all its attempts. Reports use these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Served within its latency objective.
    Served,
    /// Served, but late.
    Late,
    /// Rejected; a retry is harmless.
    Refused,
    /// Failed.
    Failed,
    /// No response came.
    Unanswered,
    /// The connection ended without a whole response.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The client disconnected by itself.
    Left,
}

/// All outcomes.
pub const OUTCOMES: [Outcome; 8] = [
    Outcome::Served,
    Outcome::Late,
    Outcome::Refused,
    Outcome::Failed,
    Outcome::Unanswered,
    Outcome::Broken,
    Outcome::Unreachable,
    Outcome::Left,
];

/// Latencies in microseconds, up to a minute, to 1%.
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 2).expect("sound bounds")
}

/// Priority weight of requests: served within the latency objective, and offered. Written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
#[serde(into = "(f64, f64)")]
pub struct Goodput {
    /// Weight served within the latency objective.
    pub good: f64,
    /// Weight of all requests.
    pub offered: f64,
}

impl From<Goodput> for (f64, f64) {
    fn from(goodput: Goodput) -> Self {
        (goodput.good, goodput.offered)
    }
}

impl Goodput {
    fn add(&mut self, outcome: Outcome, weight: f64) {
        self.offered += weight;
        self.good += if outcome == Outcome::Served { weight } else { 0.0 };
    }

    /// The sum over several seconds.
    pub fn sum(seconds: &[Goodput]) -> Goodput {
        seconds.iter().fold(Goodput::default(), |sum, second| Goodput {
            good: sum.good + second.good,
            offered: sum.offered + second.offered,
        })
    }

    /// Weight served within the latency objective over weight offered; 1 if nothing was offered.
    pub fn ratio(self) -> f64 {
        if self.offered > 0.0 {
            self.good / self.offered
        } else {
            1.0
        }
    }
}

/// What was counted for one class or one tenant.
#[derive(Clone, Debug)]
pub struct OutcomeStats {
    /// Its name.
    pub name: String,
    /// Requests by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Latency of what was served, from the time that it was due, in microseconds.
    pub served: Histogram<u64>,
    /// Latency of what ended otherwise.
    pub other: Histogram<u64>,
    /// Priority weight of its requests.
    pub weight: Goodput,
}

impl OutcomeStats {
    fn new(name: &str) -> Self {
        let outcomes = [0; OUTCOMES.len()];
        OutcomeStats {
            name: name.to_owned(),
            outcomes,
            served: latencies(),
            other: latencies(),
            weight: Goodput::default(),
        }
    }

    fn add(&mut self, outcome: Outcome, latency: Nanos, weight: f64) {
        self.outcomes[OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0)] += 1;
        let served = matches!(outcome, Outcome::Served | Outcome::Late);
        let histogram = if served { &mut self.served } else { &mut self.other };
        histogram.saturating_record((latency / 1000).max(1));
        // A client that disconnects has asked for nothing.
        if outcome != Outcome::Left {
            self.weight.add(outcome, weight);
        }
    }

    /// Requests in all.
    pub fn requests(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// Requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        OUTCOMES.iter().position(|o| *o == outcome).map_or(0, |n| self.outcomes[n])
    }

    /// Weight served within the latency objective over weight offered.
    pub fn goodput(&self) -> f64 {
        self.weight.ratio()
    }
}

/// Everything that the clients counted.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// Over all.
    pub all: OutcomeStats,
    /// By class, in the day's order.
    pub classes: Vec<OutcomeStats>,
    /// By tenant, in the day's order.
    pub tenants: Vec<OutcomeStats>,
    /// How much later than due a first attempt's first byte was written, in microseconds.
    pub lateness: Histogram<u64>,
    /// Priority weight of requests by the second in which they were due.
    pub seconds: Vec<Goodput>,
    /// Requests by the second in which they were due and by outcome, in the order of [`OUTCOMES`].
    pub outcomes: Vec<[u64; OUTCOMES.len()]>,
    /// Attempts of clients, first ones and retries.
    pub attempts: u64,
    /// Arrivals that were not sent because too many were in flight. A trial with any is void.
    pub not_sent: u64,
    /// Idle connections that the proxies closed.
    pub idle_closed: u64,
}

impl LoadStats {
    /// Nothing counted yet, for a day.
    pub fn new(day: &Day) -> Self {
        LoadStats {
            all: OutcomeStats::new("all"),
            classes: day.load.classes.iter().map(|c| OutcomeStats::new(&c.name)).collect(),
            tenants: day.load.tenants.iter().map(|t| OutcomeStats::new(&t.name)).collect(),
            lateness: latencies(),
            // One more for what is due at the very end.
            seconds: vec![Goodput::default(); day.length.as_secs() as usize + 1],
            outcomes: vec![[0; OUTCOMES.len()]; day.length.as_secs() as usize + 1],
            attempts: 0,
            not_sent: 0,
            idle_closed: 0,
        }
    }

    /// Counts a request that has ended; `since` is when it was due, from the start of the load.
    pub fn add(
        &mut self,
        class: usize,
        tenant: usize,
        outcome: Outcome,
        since: Nanos,
        latency: Nanos,
        weight: f64,
    ) {
        if let Some(second) =
            self.seconds.get_mut((since / SECOND) as usize).filter(|_| outcome != Outcome::Left)
        {
            second.add(outcome, weight);
        }
        if let Some(counts) = self.outcomes.get_mut((since / SECOND) as usize) {
            counts[OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0)] += 1;
        }
        self.all.add(outcome, latency, weight);
        self.classes[class].add(outcome, latency, weight);
        self.tenants[tenant].add(outcome, latency, weight);
    }
}

#[cfg(test)]
mod tests;
