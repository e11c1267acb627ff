//! What clients counted, as reports tell it.

use super::tally::{Row, Tally, OUTCOMES};
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

/// One class, or one tenant, or all.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    /// Its name.
    pub name: String,
    /// Requests in all.
    pub requests: u64,
    /// Requests by outcome; those that did not occur are left out.
    pub outcomes: BTreeMap<String, u64>,
    /// Worth answered within its aim over worth asked for.
    pub goodput: f64,
    /// Latency of what was served, from the time it was due.
    pub served: Percentiles,
}

impl From<&Row> for Line {
    fn from(row: &Row) -> Self {
        let name = |n: usize| format!("{:?}", OUTCOMES[n]).to_lowercase();
        let outcomes = row.outcomes.iter().enumerate().filter(|(_, c)| **c > 0).map(|(n, c)| (name(n), *c));
        Line {
            name: row.name.clone(),
            requests: row.requests(),
            outcomes: outcomes.collect(),
            goodput: row.goodput(),
            served: (&row.served).into(),
        }
    }
}

/// What the clients counted: over all, by class, by tenant.
pub fn outcome_lines(tally: &Tally) -> (Line, Vec<Line>, Vec<Line>) {
    let lines = |rows: &[Row]| rows.iter().map(Line::from).collect();
    ((&tally.all).into(), lines(&tally.classes), lines(&tally.tenants))
}
