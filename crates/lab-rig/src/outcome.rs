//! The outcome of an experiment, and its summary as plain text.

use super::readiness::Readiness;
use super::relays::RelayTotals;
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_load::OutcomeSummary;
use aniseyoke_lab_world::connection_load::MemberLoad;
use serde::Serialize;
use std::collections::BTreeMap;

/// The outcome of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The seed of the schedule.
    pub seed: u64,
    /// The number of real proxies.
    pub proxies: usize,
    /// The number of requests by outcome, over the whole load.
    pub all: OutcomeSummary,
    /// For each second of the load, the number of requests by outcome.
    pub seconds: Vec<BTreeMap<String, u64>>,
    /// The number of calls to the discovery service in each second since the site was opened, before and during the load.
    pub list_asks: Vec<u64>,
    /// The number of these calls that the discovery service rejected for exceeding its limit.
    pub list_refused: Vec<u64>,
    /// The start of the load, in seconds since the site was opened.
    pub began_s: f64,
    /// Connections and attempts at cache nodes.
    pub nodes: MemberLoad,
    /// Connections and attempts at the origin.
    #[serde(rename = "ledger")]
    pub origin: MemberLoad,
    /// The counters of the relays, summed.
    pub links: RelayTotals,
    /// The executed steps of the schedule, with their times in seconds on the clock of the audit. The clock starts with the
    /// rig, shortly before the load.
    #[serde(rename = "done")]
    pub steps: Vec<(f64, String)>,
    /// Proxies that crashed or failed to restart.
    pub crashes: Vec<String>,
    /// The number of times that each proxy was started.
    pub starts: Vec<u32>,
    /// How long restarted proxies took to become ready.
    pub restarted: Readiness,
    /// The auditor's verdict.
    pub verdict: Verdict,
}

impl Outcome {
    /// Returns whether no rule was broken and no proxy crashed.
    pub fn clean(&self) -> bool {
        self.verdict.clean() && self.crashes.is_empty()
    }
}

/// The minimum fraction of requests served in time in a second of steady service.
const STEADY_FRACTION: f64 = 0.95;

/// Returns the second of the load from which on every second is one of steady service, or `None` if the last one is not.
pub fn steady_after(outcome: &Outcome) -> Option<usize> {
    let steady = |counts: &BTreeMap<String, u64>| {
        let all: u64 = counts.values().sum();
        all == 0 || counts.get("served").copied().unwrap_or(0) as f64 >= STEADY_FRACTION * all as f64
    };
    // The last second is incomplete.
    let seconds = outcome.seconds.split_last().map_or(&[][..], |(_, rest)| rest);
    let after = seconds.iter().rposition(|counts| !steady(counts)).map_or(0, |last| last + 1);
    (after < seconds.len()).then_some(after)
}

/// Formats the outcome as a plain-text summary.
pub fn table(outcome: &Outcome) -> String {
    let mut text = format!("{} proxies, seed {}\n", outcome.proxies, outcome.seed);
    for (at, description) in &outcome.steps {
        text += &format!("  {at:8.3} s  {description}\n");
    }
    let all = &outcome.all;
    text += &format!("requests {}, goodput {:.3}\n", all.requests, all.goodput);
    for (outcome, count) in &all.outcomes {
        text += &format!("  {outcome:<12} {count:>8}\n");
    }
    text += &list_lines(outcome);
    text += &member_lines(outcome);
    text += &restart_lines(&outcome.restarted);
    match steady_after(outcome) {
        Some(s) => text += &format!("steady service (95% served in time) from second {s} of the load on\n"),
        None => text += "no steady service (95% served in time) by the end\n",
    }
    let RelayTotals { relays, taken, dropped, cut, reset, held, unreached, .. } = outcome.links;
    text += &format!(
        "links: {relays} relays, {taken} connections; dropped {dropped}, cut {cut}, reset {reset}, stalled {held}, target unreachable {unreached}\n"
    );
    text += &audit_lines(&outcome.verdict);
    for crash in &outcome.crashes {
        text += &format!("crash: {crash}\n");
    }
    text += if outcome.clean() { "clean\n" } else { "RULES BROKEN\n" };
    text
}

fn list_lines(outcome: &Outcome) -> String {
    let mut sorted = outcome.list_asks.clone();
    sorted.sort_unstable();
    format!(
        "list service: {} calls, at most {} in a second, median {} a second, {} rejected\n",
        sorted.iter().sum::<u64>(),
        sorted.last().copied().unwrap_or(0),
        sorted.get(sorted.len() / 2).copied().unwrap_or(0),
        outcome.list_refused.iter().sum::<u64>()
    )
}

fn member_lines(outcome: &Outcome) -> String {
    let mut text = String::new();
    for (member, load) in [("a node", &outcome.nodes), ("the ledger", &outcome.origin)] {
        let (all, max) = (load.opened.iter().sum::<u64>(), load.max_opened.iter().max().unwrap_or(&0));
        text += &format!(
            "{member}: {max} connections a second at most ({all} in all), {} open at once, {} attempts in flight at most, {} attempts rejected for lack of capacity, {} connections rejected\n",
            load.max_open,
            load.max_in_flight,
            load.rejected_attempts,
            load.rejected_connections.iter().sum::<u64>()
        );
    }
    text
}

fn restart_lines(restarted: &Readiness) -> String {
    if restarted.ready + restarted.unready == 0 {
        return String::new();
    }
    let seconds = |time: Option<f64>| time.map_or("not".to_owned(), |s| format!("{s:.3} s"));
    format!(
        "started again: {} ready, {} not; half within {}, nine in ten within {}, all within {}\n",
        restarted.ready,
        restarted.unready,
        seconds(restarted.p50_s),
        seconds(restarted.p90_s),
        seconds(restarted.most_s)
    )
}

fn audit_lines(verdict: &Verdict) -> String {
    let mut text = format!(
        "audit: {} requests, {} unanswered due to a fault of their proxy, {} closed before forwarding, broken {:?}\n",
        verdict.requests, verdict.proxy_faulted, verdict.closed_before_forwarding, verdict.broken
    );
    if !verdict.repeated_after_kill.is_empty() {
        text += &format!(
            "ran twice after a kill and a retry at another proxy (no takeover yet): {:?}\n",
            verdict.repeated_after_kill
        );
    }
    for violation in verdict.violations.iter().chain(&verdict.violations_after_kill) {
        text += &format!("{:?}: {}\n", violation.rule, violation.what);
        for line in &violation.history {
            text += &format!("    {line}\n");
        }
    }
    text
}
