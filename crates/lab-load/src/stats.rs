//! Statistics of the clients: outcomes and latencies by class and tenant, and the load generator's own lateness.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use aniseyoke_lab_day::Day;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The outcome of a request over all its attempts. Reports use these names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Served within its latency objective.
    Served,
    /// Served after its latency objective.
    Late,
    /// Rejected without being executed; a retry is harmless.
    Refused,
    /// Answered with another error status.
    Failed,
    /// No response arrived in time.
    Unanswered,
    /// The connection closed before a complete response.
    Broken,
    /// No connection could be established.
    Unreachable,
    /// The client disconnected of its own accord.
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

/// A histogram of latencies in microseconds, up to one minute, with a precision of 1%.
fn latencies() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 2).expect("valid bounds")
}

/// Priority weight of requests: served within the latency objective, and offered. Serialized as a pair.
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

    /// The sum over several intervals.
    pub fn sum(seconds: &[Goodput]) -> Goodput {
        seconds.iter().fold(Goodput::default(), |sum, second| Goodput {
            good: sum.good + second.good,
            offered: sum.offered + second.offered,
        })
    }

    /// Ratio of the weight served within the latency objective to the weight offered; 1 if nothing was offered.
    pub fn ratio(self) -> f64 {
        if self.offered > 0.0 {
            self.good / self.offered
        } else {
            1.0
        }
    }
}

/// Statistics of one class or tenant, or of all requests.
#[derive(Clone, Debug)]
pub struct OutcomeStats {
    /// The name of the class or tenant.
    pub name: String,
    /// Requests by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Latency of served requests from their due time, in microseconds.
    pub served: Histogram<u64>,
    /// Latency of requests with other outcomes, in microseconds.
    pub other: Histogram<u64>,
    /// Priority weight of the requests.
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
        // A request whose client disconnected counts neither as offered nor as good.
        if outcome != Outcome::Left {
            self.weight.add(outcome, weight);
        }
    }

    /// Total number of requests.
    pub fn requests(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// Number of requests with this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        OUTCOMES.iter().position(|o| *o == outcome).map_or(0, |n| self.outcomes[n])
    }

    /// Ratio of the weight served within the latency objective to the weight offered.
    pub fn goodput(&self) -> f64 {
        self.weight.ratio()
    }
}

/// All statistics of the clients.
#[derive(Clone, Debug)]
pub struct LoadStats {
    /// Over all requests.
    pub all: OutcomeStats,
    /// By class, in the day's order.
    pub classes: Vec<OutcomeStats>,
    /// By tenant, in the day's order.
    pub tenants: Vec<OutcomeStats>,
    /// Delay from a request's due time to the first byte of its first attempt, in microseconds.
    pub lateness: Histogram<u64>,
    /// Priority weight of requests by the second in which they were due.
    pub seconds: Vec<Goodput>,
    /// Requests by the second in which they were due and by outcome, in the order of [`OUTCOMES`].
    pub outcomes: Vec<[u64; OUTCOMES.len()]>,
    /// Number of attempts, including first attempts and retries.
    pub attempts: u64,
    /// Arrivals that were not sent because too many requests were in flight. A trial with any of these is invalid.
    pub not_sent: u64,
    /// Number of idle connections that the proxies closed.
    pub idle_closed: u64,
}

impl LoadStats {
    /// Empty statistics for a day.
    pub fn new(day: &Day) -> Self {
        LoadStats {
            all: OutcomeStats::new("all"),
            classes: day.load.classes.iter().map(|c| OutcomeStats::new(&c.name)).collect(),
            tenants: day.load.tenants.iter().map(|t| OutcomeStats::new(&t.name)).collect(),
            lateness: latencies(),
            // One more second, for requests that are due exactly at the end.
            seconds: vec![Goodput::default(); day.length.as_secs() as usize + 1],
            outcomes: vec![[0; OUTCOMES.len()]; day.length.as_secs() as usize + 1],
            attempts: 0,
            not_sent: 0,
            idle_closed: 0,
        }
    }

    /// Counts a request that has ended; `offset` is its due time from the start of the load.
    pub fn add(
        &mut self,
        class: usize,
        tenant: usize,
        outcome: Outcome,
        offset: Nanos,
        latency: Nanos,
        weight: f64,
    ) {
        if let Some(second) =
            self.seconds.get_mut((offset / SECOND) as usize).filter(|_| outcome != Outcome::Left)
        {
            second.add(outcome, weight);
        }
        if let Some(counts) = self.outcomes.get_mut((offset / SECOND) as usize) {
            counts[OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0)] += 1;
        }
        self.all.add(outcome, latency, weight);
        self.classes[class].add(outcome, latency, weight);
        self.tenants[tenant].add(outcome, latency, weight);
    }
}

#[cfg(test)]
mod tests;
