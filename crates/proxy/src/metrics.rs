//! Counters of what happened to requests and answers beyond their outcome. They are part of the answer to an
//! operator's call for the version.

use std::cell::Cell;
use std::rc::Rc;

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Metric {
    /// An answer that was being forwarded ended early at its node.
    BrokenByNode,
    /// An answer that was being forwarded was not taken to its end: its client left or the process ended.
    NotTaken,
    /// An attempt ended for lack of time although the head of its answer had been received.
    TimedOut,
    /// An attempt was cancelled after the head of its answer had been received.
    Cancelled,
    /// A request was rejected, since its id was in use or was sent before.
    RepeatedId,
}

impl Metric {
    const ALL: [Metric; 5] =
        [Metric::BrokenByNode, Metric::NotTaken, Metric::TimedOut, Metric::Cancelled, Metric::RepeatedId];

    fn name(self) -> &'static str {
        match self {
            Metric::BrokenByNode => "answers_broken_by_node",
            Metric::NotTaken => "answers_not_taken",
            Metric::TimedOut => "answers_timed_out",
            Metric::Cancelled => "answers_cancelled",
            Metric::RepeatedId => "repeated_ids",
        }
    }
}

/// The counters of a process, since its start.
#[derive(Debug, Default)]
pub struct Metrics {
    counts: [Cell<u64>; Metric::ALL.len()],
}

impl Metrics {
    /// Creates counters at zero.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Counts one event.
    pub fn count(&self, metric: Metric) {
        let count = &self.counts[metric as usize];
        count.set(count.get() + 1);
    }

    /// Returns all counters by name.
    pub fn to_json(&self) -> serde_json::Value {
        let counts = Metric::ALL.iter().zip(&self.counts);
        counts
            .map(|(metric, count)| (metric.name().to_owned(), serde_json::Value::from(count.get())))
            .collect()
    }
}

#[cfg(test)]
mod tests;
