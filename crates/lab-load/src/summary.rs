//! What clients counted, as reports tell it.

use super::stats::{LoadStats, OutcomeStats, OUTCOMES};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// 90% are below it.
    pub p90_ms: f64,
    /// 99% are below it.
    pub p99_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl From<&Histogram<u64>> for Percentiles {
    /// From a histogram in microseconds.
    fn from(h: &Histogram<u64>) -> Self {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        Percentiles { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), max_ms: h.max() as f64 / 1e3 }
    }
}

/// What was counted for one class, one tenant, or all.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeSummary {
    /// Its name.
    pub name: String,
    /// Requests in all.
    pub requests: u64,
    /// Requests by outcome; those that did not occur are left out.
    pub outcomes: BTreeMap<String, u64>,
    /// Weight served within the latency objective over weight offered.
    pub goodput: f64,
    /// Latency of what was served, from the time it was due.
    pub served: Percentiles,
}

impl From<&OutcomeStats> for OutcomeSummary {
    fn from(stats: &OutcomeStats) -> Self {
        let name = |n: usize| format!("{:?}", OUTCOMES[n]).to_lowercase();
        let outcomes = stats.outcomes.iter().enumerate().filter(|(_, c)| **c > 0).map(|(n, c)| (name(n), *c));
        OutcomeSummary {
            name: stats.name.clone(),
            requests: stats.requests(),
            outcomes: outcomes.collect(),
            goodput: stats.goodput(),
            served: (&stats.served).into(),
        }
    }
}

/// What the clients counted, summarized.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSummary {
    /// Over all requests.
    pub all: OutcomeSummary,
    /// By class, in the day's order.
    pub classes: Vec<OutcomeSummary>,
    /// By tenant, in the day's order.
    pub tenants: Vec<OutcomeSummary>,
}

impl From<&LoadStats> for LoadSummary {
    fn from(stats: &LoadStats) -> Self {
        let summaries = |of: &[OutcomeStats]| of.iter().map(OutcomeSummary::from).collect();
        LoadSummary {
            all: (&stats.all).into(),
            classes: summaries(&stats.classes),
            tenants: summaries(&stats.tenants),
        }
    }
}
