//! What a run came to.
//!
//! What must hold is what the platform's pages ask, and never a measured figure:
//! - each request that was accepted gets one final answer, by its time plus [`ANSWER_GRACE`];
//! - none that was read is closed unanswered, by the clients' account and by the proxies' own;
//! - none that must not run twice does;
//! - nothing reaches a node for a client that has left, and none that the proxy was told is draining;
//! - a process that is told to stop ends by itself, with success, before it may be killed.

use crate::connection_ends::ConnectionEnds;
use crate::plan::SoakPlan;
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_load::LoadSummary;
use serde::Serialize;
use std::fmt;
use std::time::Duration;

/// A request has its final answer this long after its time at the latest.
pub const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// How a process that was told to stop has ended.
#[derive(Clone, Debug, Serialize)]
pub struct ProcessEnd {
    /// The proxy's number.
    pub proxy: usize,
    /// Seconds from the first SIGTERM.
    pub after_s: f64,
    /// Its exit status; none if it had to be killed.
    pub status: Option<String>,
}

impl ProcessEnd {
    /// Whether it ended by itself and with success.
    pub fn is_clean(&self) -> bool {
        self.status.as_deref() == Some("exit status: 0")
    }
}

/// What a run came to.
#[derive(Debug, Serialize)]
pub struct RunReport {
    /// What its seed decided.
    pub plan: SoakPlan,
    /// Requests by outcome.
    pub load: LoadSummary,
    /// The processes that were told to stop.
    pub process_ends: Vec<ProcessEnd>,
    /// The proxies' own account.
    pub connection_ends: ConnectionEnds,
    /// The auditor's verdict.
    pub verdict: Verdict,
    /// Processes that ended by themselves, with their last lines.
    pub crashes: Vec<String>,
}

impl RunReport {
    /// What did not hold, a line each.
    pub fn failures(&self) -> Vec<String> {
        let ends = self.process_ends.iter().filter(|end| !end.is_clean()).map(|end| {
            let how = end.status.as_deref().unwrap_or("killed");
            format!("proxy {} {how} {:.3} s after SIGTERM", end.proxy, end.after_s)
        });
        let rules = self.verdict.broken.iter().map(|(rule, count)| format!("{rule:?} {count} times"));
        let unanswered = self.connection_ends.unanswered.iter();
        let unanswered = unanswered.map(|line| format!("read and not answered: {line}"));
        ends.chain(rules).chain(unanswered).chain(self.crashes.iter().cloned()).collect()
    }

    /// Whether everything held.
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
             {hanging:.2} hanging, crowd {crowd}: {} requests judged, {} connections ended, \
             {} of them by clients amid a close, last process after {last_end:.2} s",
            restarts.len(),
            self.verdict.requests,
            self.connection_ends.ended,
            self.connection_ends.crossed,
        )
    }
}
