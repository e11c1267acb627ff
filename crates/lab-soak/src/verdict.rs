//! The results of a run.
//!
//! The checked requirements are those in the documentation of the platform, never a measured figure:
//! - each accepted request gets one final response, by its deadline plus [`ANSWER_GRACE`];
//! - no connection is closed while a request that was read has no response, neither as observed by the clients nor as
//!   logged by the proxies;
//! - no request that is not idempotent is executed twice;
//! - no attempt reaches a node for a client that has disconnected, or reaches a node that the proxy was notified is
//!   draining;
//! - a terminated process exits with success before it may be killed.

use crate::connection_ends::ConnectionEnds;
use crate::plan::SoakPlan;
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_load::LoadSummary;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// Time after its deadline by which a request must have its final response.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// The end of a process that was terminated.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessEnd {
    /// The index of the proxy.
    pub proxy: usize,
    /// Seconds from the first SIGTERM to the end.
    pub after_s: f64,
    /// The exit status; none if the process was killed.
    pub status: Option<String>,
}

impl ProcessEnd {
    /// Returns whether the process exited with success and was not killed.
    pub fn is_clean(&self) -> bool {
        self.status.as_deref() == Some("exit status: 0")
    }
}

/// The report of a run.
#[derive(Debug, Serialize)]
pub struct RunReport {
    /// The plan of the run.
    pub plan: SoakPlan,
    /// Requests by outcome.
    pub load: LoadSummary,
    /// The ends of the processes that were terminated.
    pub process_ends: Vec<ProcessEnd>,
    /// The ends of connections in the log of the proxies.
    pub connection_ends: ConnectionEnds,
    /// The result of the audit.
    pub verdict: Verdict,
    /// Descriptions of the processes that exited unexpectedly, with the last lines of their output.
    pub crashes: Vec<String>,
}

impl RunReport {
    /// Returns the requirements that were not met, one line each.
    pub fn failures(&self) -> Vec<String> {
        let ends = self.process_ends.iter().filter(|end| !end.is_clean()).map(|end| {
            let how = end.status.as_deref().unwrap_or("killed");
            format!("proxy {} {how} {:.3} s after SIGTERM", end.proxy, end.after_s)
        });
        let rules = self.verdict.broken.iter().map(|(rule, count)| format!("{rule:?} {count} times"));
        let unanswered = self.connection_ends.unanswered.iter();
        let unanswered = unanswered.map(|line| format!("request read but not answered: {line}"));
        ends.chain(rules).chain(unanswered).chain(self.crashes.iter().cloned()).collect()
    }

    /// Returns whether all requirements were met.
    pub fn is_clean(&self) -> bool {
        self.failures().is_empty()
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SoakPlan { seed, succession, restarts, longest_deadline_ms, hanging, crowd, .. } = &self.plan;
        let verdict = if self.is_clean() { "ok" } else { "FAILED" };
        let last_end = self.process_ends.iter().map(|end| end.after_s).fold(0.0, f64::max);
        write!(
            f,
            "seed {seed:4} {verdict:6} {succession:?}, {} proxies, deadline {longest_deadline_ms} ms, \
             {hanging:.2} hanging, crowd {crowd}: {} requests checked, {} connections ended, \
             {} of them by clients during a close, last process after {last_end:.2} s",
            restarts.len(),
            self.verdict.requests,
            self.connection_ends.ended,
            self.connection_ends.crossed,
        )
    }
}
