//! The report of a trial: text for a reader, JSON for a program.

use super::recovery::{recoveries, Recovery};
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::{Goodput, LoadStats, LoadSummary, OutcomeSummary, Percentiles};
use aniseyoke_lab_process::Usage;
use aniseyoke_lab_site::SiteCounts;
use serde::Serialize;
use std::fmt::Write as _;

/// A trial in which a hundredth of the events came later than this is void, in milliseconds.
const MAX_LATENESS_MS: f64 = 25.0;

/// A trial's report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: f64,
    /// Why its figures don't count, if they don't.
    pub void: Option<String>,
    /// All requests.
    pub all: OutcomeSummary,
    /// By class.
    pub classes: Vec<OutcomeSummary>,
    /// By tenant.
    pub tenants: Vec<OutcomeSummary>,
    /// Attempts of clients for each request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Fraction of the reads at cache nodes that were hits.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Fetches and writes that reached the origin, for each request.
    #[serde(rename = "ledger")]
    pub origin_requests: f64,
    /// What each proxy used, its restarts together.
    pub proxies: Vec<Usage>,
    /// Processor time of the proxies for each attempt of a client, in microseconds.
    pub cpu_us: f64,
    /// How late first attempts were sent.
    #[serde(rename = "load_late")]
    pub load_lateness: Percentiles,
    /// How late the model's events were handled.
    #[serde(rename = "site_late")]
    pub site_lateness: Percentiles,
    /// Idle connections that were closed by the proxies.
    pub idle_closed: u64,
    /// Priority weight by the second in which requests were due.
    pub timeline: Vec<Goodput>,
    /// How long the site took to recover after each fault had ended.
    pub recoveries: Vec<Recovery>,
    /// The auditor's verdict.
    pub audit: Verdict,
    /// Proxies that crashed, with their last lines.
    pub crashes: Vec<String>,
}

impl Report {
    /// Whether its figures count, no rule was broken and no proxy crashed.
    pub fn passed(&self) -> bool {
        self.void.is_none() && self.audit.clean() && self.crashes.is_empty()
    }

    /// The report as text.
    pub fn text(&self) -> String {
        let mut t = String::new();
        self.write(&mut t).unwrap_or_default();
        t
    }

    fn write(&self, t: &mut String) -> std::fmt::Result {
        writeln!(t, "day {} (seed {}), {:.1} s of load", self.day, self.seed, self.seconds)?;
        if let Some(why) = &self.void {
            writeln!(t, "VOID: {why}")?;
        }
        self.write_outcomes(t)?;
        self.write_costs(t)?;
        for recovery in &self.recoveries {
            writeln!(t, "{recovery}")?;
        }
        self.write_audit(t)?;
        for crash in &self.crashes {
            writeln!(t, "\nCRASH: {crash}")?;
        }
        Ok(())
    }

    fn write_outcomes(&self, t: &mut String) -> std::fmt::Result {
        writeln!(
            t,
            "\n{:<14}{:>9}{:>9}{:>10}{:>10}{:>10}  outcomes",
            "", "requests", "goodput", "p50 ms", "p99 ms", "max ms"
        )?;
        for summary in std::iter::once(&self.all).chain(&self.classes).chain(&self.tenants) {
            let outcomes: Vec<String> =
                summary.outcomes.iter().map(|(name, n)| format!("{name} {n}")).collect();
            let OutcomeSummary { name, requests, goodput, served, .. } = summary;
            let Percentiles { p50_ms, p99_ms, max_ms, .. } = served;
            writeln!(
                t,
                "{name:<14}{requests:>9}{goodput:>9.3}{p50_ms:>10.1}{p99_ms:>10.1}{max_ms:>10.1}  {}",
                outcomes.join(", ")
            )?;
        }
        Ok(())
    }

    fn write_costs(&self, t: &mut String) -> std::fmt::Result {
        writeln!(
            t,
            "\n{:.3} tries a request; {:.1}% hits at cache nodes; {:.3} asked of the ledger for each request",
            self.attempts_per_request,
            self.hit_ratio * 100.0,
            self.origin_requests
        )?;
        for (n, usage) in self.proxies.iter().enumerate() {
            let Usage { cpu_s, memory_mb, descriptors } = usage;
            writeln!(t, "proxy {n}: {cpu_s:.2} s of CPU, {memory_mb:.1} MB at most, {descriptors} descriptors at most")?;
        }
        writeln!(t, "{:.0} us of CPU for each try", self.cpu_us)?;
        writeln!(
            t,
            "the lab's own lateness, p99: {:.2} ms at the load, {:.2} ms at the site",
            self.load_lateness.p99_ms, self.site_lateness.p99_ms
        )?;
        if self.idle_closed > 0 {
            writeln!(t, "{} idle connections were closed by the proxies", self.idle_closed)?;
        }
        Ok(())
    }

    fn write_audit(&self, t: &mut String) -> std::fmt::Result {
        let audit = &self.audit;
        writeln!(
            t,
            "\naudit: {} tries judged, {} attempts at members, {} closed at the door",
            audit.requests, audit.attempts, audit.closed_before_forwarding
        )?;
        if audit.left > 0 {
            writeln!(
                t,
                "{} clients left while they waited, {} requests sent on late, {} attempts begun late",
                audit.left, audit.forwarded_after_abort, audit.attempts_after_abort
            )?;
        }
        if audit.clean() {
            writeln!(t, "no rule broken")?;
        }
        for (rule, count) in &audit.broken {
            writeln!(t, "BROKEN {rule:?}: {count}")?;
        }
        for violation in &audit.violations {
            writeln!(t, "\n{:?}: {}", violation.rule, violation.what)?;
            for line in &violation.history {
                writeln!(t, "    {line}")?;
            }
        }
        Ok(())
    }
}

/// The report of a trial that ran for so many seconds.
pub(crate) fn report(
    day: &Day,
    seconds: f64,
    stats: LoadStats,
    counts: &SiteCounts,
    usage: Vec<Usage>,
    crashes: Vec<String>,
    audit: Verdict,
) -> Report {
    let LoadSummary { all, classes, tenants } = (&stats).into();
    let cpu: f64 = usage.iter().map(|u| u.cpu_s).sum();
    let requests = all.requests.max(1) as f64;
    let (load_lateness, site_lateness) = ((&stats.lateness).into(), (&counts.lateness).into());
    Report {
        day: day.name.clone(),
        seed: day.seed,
        seconds: seconds.min(day.length.as_secs_f64()),
        void: void(all.requests, stats.not_sent, &site_lateness, &load_lateness),
        classes,
        tenants,
        attempts_per_request: stats.attempts as f64 / requests,
        hit_ratio: counts.hits as f64 / (counts.hits + counts.misses).max(1) as f64,
        origin_requests: counts.origin_requests as f64 / requests,
        proxies: usage,
        cpu_us: cpu * 1e6 / stats.attempts.max(1) as f64,
        load_lateness,
        site_lateness,
        idle_closed: stats.idle_closed,
        recoveries: recoveries(day, &stats.seconds),
        timeline: stats.seconds,
        audit,
        crashes,
        all,
    }
}

/// Why a trial's figures don't count, if they don't. Danger: a lab that is late itself makes any proxy look slow.
pub(crate) fn void(requests: u64, not_sent: u64, site: &Percentiles, load: &Percentiles) -> Option<String> {
    let late = |who: &str, p: &Percentiles| {
        (p.p99_ms > MAX_LATENESS_MS)
            .then(|| format!("the {who} ran late: {:.1} ms at the 99th percentile", p.p99_ms))
    };
    if requests == 0 {
        return Some("no request was made".into());
    }
    if not_sent > 0 {
        return Some(format!("{not_sent} arrivals were not sent, since too many were out"));
    }
    late("site", site).or(late("load", load))
}

#[cfg(test)]
mod tests;
