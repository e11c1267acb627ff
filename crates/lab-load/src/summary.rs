//! Summaries of the clients' statistics, for reports.

use super::stats::{LoadStats, OutcomeStats, OUTCOMES};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;

/// Latencies in milliseconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Percentiles {
    /// The median.
    pub p50_ms: f64,
    /// The 90th percentile.
    pub p90_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
}

impl From<&Histogram<u64>> for Percentiles {
    /// From a histogram in microseconds.
    fn from(h: &Histogram<u64>) -> Self {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        Percentiles { p50_ms: at(0.5), p90_ms: at(0.9), p99_ms: at(0.99), max_ms: h.max() as f64 / 1e3 }
    }
}

/// Summary of one class or tenant, or of all requests.
#[derive(Clone, Debug, Serialize)]
pub struct OutcomeSummary {
    /// The name of the class or tenant, or `all`.
    pub name: String,
    /// Total number of requests.
    pub requests: u64,
    /// Requests by outcome; outcomes that did not occur are omitted.
    pub outcomes: BTreeMap<String, u64>,
    /// Ratio of the weight served within the latency objective to the weight offered.
    pub goodput: f64,
    /// Latency of served requests from their due time.
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

/// Summary of the clients' statistics.
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
