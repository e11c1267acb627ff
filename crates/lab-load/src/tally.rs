//! What the clients counted: outcomes and latencies by class and tenant, and the load tool's own error.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use aniseyoke_lab_day::Day;
use hdrhistogram::Histogram;
use serde::Serialize;

/// How a request ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Served within its aim.
    Served,
    /// Served, but late.
    Late,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed.
    Failed,
    /// No answer came.
    Unanswered,
    /// The connection ended without a whole answer.
    Broken,
    /// No connection came up.
    Unreachable,
    /// The client left by itself.
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

/// What was counted for one class or one tenant.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// Requests by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Latency of what was served, from the time that it was due, in microseconds.
    pub served: Histogram<u64>,
    /// Latency of what ended otherwise.
    pub other: Histogram<u64>,
    /// Worth answered within its aim, and worth asked for.
    pub worth: (f64, f64),
}

impl Row {
    fn new(name: &str) -> Self {
        let outcomes = [0; OUTCOMES.len()];
        Row { name: name.to_owned(), outcomes, served: latencies(), other: latencies(), worth: (0.0, 0.0) }
    }

    fn add(&mut self, outcome: Outcome, latency: Nanos, worth: f64) {
        self.outcomes[OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0)] += 1;
        let served = matches!(outcome, Outcome::Served | Outcome::Late);
        let histogram = if served { &mut self.served } else { &mut self.other };
        histogram.saturating_record((latency / 1000).max(1));
        // Who leaves has asked for nothing.
        if outcome != Outcome::Left {
            self.worth.1 += worth;
            self.worth.0 += if outcome == Outcome::Served { worth } else { 0.0 };
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

    /// Worth answered within its aim, as a part of what was asked for.
    pub fn goodput(&self) -> f64 {
        if self.worth.1 > 0.0 {
            self.worth.0 / self.worth.1
        } else {
            1.0
        }
    }
}

/// Everything that was counted.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Over all.
    pub all: Row,
    /// By class, in the day's order.
    pub classes: Vec<Row>,
    /// By tenant, in the day's order.
    pub tenants: Vec<Row>,
    /// How much later than due a first try's first byte was written, in microseconds.
    pub lateness: Histogram<u64>,
    /// By the second in which they were due: worth answered within its aim, and worth asked for.
    pub seconds: Vec<(f64, f64)>,
    /// By the second in which they were due: requests by outcome, in the order of [`OUTCOMES`].
    pub outcomes: Vec<[u64; OUTCOMES.len()]>,
    /// Tries, first ones and retries.
    pub tries: u64,
    /// Arrivals that were not sent because too many were out. A trial with any is void.
    pub not_sent: u64,
    /// Idle connections that the proxies closed.
    pub idle_closed: u64,
}

impl Tally {
    /// An empty tally for a day.
    pub fn new(day: &Day) -> Self {
        Tally {
            all: Row::new("all"),
            classes: day.load.classes.iter().map(|c| Row::new(&c.name)).collect(),
            tenants: day.load.tenants.iter().map(|t| Row::new(&t.name)).collect(),
            lateness: latencies(),
            // One more for what is due at the very end.
            seconds: vec![(0.0, 0.0); day.length.as_secs() as usize + 1],
            outcomes: vec![[0; OUTCOMES.len()]; day.length.as_secs() as usize + 1],
            tries: 0,
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
        worth: f64,
    ) {
        if let Some(second) =
            self.seconds.get_mut((since / SECOND) as usize).filter(|_| outcome != Outcome::Left)
        {
            second.0 += if outcome == Outcome::Served { worth } else { 0.0 };
            second.1 += worth;
        }
        if let Some(counts) = self.outcomes.get_mut((since / SECOND) as usize) {
            counts[OUTCOMES.iter().position(|o| *o == outcome).unwrap_or(0)] += 1;
        }
        self.all.add(outcome, latency, worth);
        self.classes[class].add(outcome, latency, worth);
        self.tenants[tenant].add(outcome, latency, worth);
    }
}

#[cfg(test)]
mod tests;
