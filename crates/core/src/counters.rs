//! Counters of requests by outcome, incremented when requests are answered and read from other threads.

use std::sync::atomic::{AtomicU64, Ordering};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered by a node.
    Served,
    /// It was rejected and never executed.
    Rejected,
    /// It failed.
    Failed,
}

/// Numbers of requests by outcome, over a period of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests answered by a node.
    pub served: u64,
    /// Requests rejected and never executed.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counters of requests by outcome.
#[derive(Debug, Default)]
pub struct RequestCounters {
    served: AtomicU64,
    rejected: AtomicU64,
    failed: AtomicU64,
}

impl RequestCounters {
    /// Counts one request.
    pub fn increment(&self, outcome: RequestOutcome) {
        let counter = match outcome {
            RequestOutcome::Served => &self.served,
            RequestOutcome::Rejected => &self.rejected,
            RequestOutcome::Failed => &self.failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts since the last call and resets the counters to zero.
    pub fn take(&self) -> RequestCounts {
        let take = |counter: &AtomicU64| counter.swap(0, Ordering::Relaxed);
        RequestCounts {
            served: take(&self.served),
            rejected: take(&self.rejected),
            failed: take(&self.failed),
        }
    }
}
