//! The report of a trial, as text and as JSON.

use super::recovery::{recoveries, Recovery};
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_load::{Goodput, LoadStats, LoadSummary, OutcomeSummary, Percentiles};
use aniseyoke_lab_process::Usage;
use aniseyoke_lab_site::SiteCounts;
use serde::Serialize;
use std::fmt::Write as _;

/// Limit of the lateness at the 99th percentile, in milliseconds; a trial above it is void.
const MAX_LATENESS_MS: f64 = 25.0;

/// The report of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the day.
    pub day: String,
    /// Seed of the day.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// The reason why the figures are void, if they are.
    pub void: Option<String>,
    /// Summary of all requests.
    pub all: OutcomeSummary,
    /// Summary for each class.
    pub classes: Vec<OutcomeSummary>,
    /// Summary for each tenant.
    pub tenants: Vec<OutcomeSummary>,
    /// Attempts of clients per request.
    #[serde(rename = "tries")]
    pub attempts_per_request: f64,
    /// Fraction of the reads at cache nodes that were hits.
    #[serde(rename = "hits")]
    pub hit_ratio: f64,
    /// Fetches and writes that reached the origin, per request.
    #[serde(rename = "ledger")]
    pub origin_requests: f64,
    /// Resource usage of each proxy, over all its processes.
    pub proxies: Vec<Usage>,
    /// CPU time of the proxies per attempt of a client, in microseconds.
    pub cpu_us: f64,
    /// Lateness of the first attempts.
    #[serde(rename = "load_late")]
    pub load_lateness: Percentiles,
    /// Lateness of the events of the site model.
    #[serde(rename = "site_late")]
    pub site_lateness: Percentiles,
    /// Number of idle connections that the proxies closed.
    pub idle_closed: u64,
    /// Priority weight for each second in which requests were due.
    pub timeline: Vec<Goodput>,
    /// Recovery of the site after each fault.
    pub recoveries: Vec<Recovery>,
    /// Result of the audit.
    pub audit: Verdict,
    /// Descriptions of the crashes of proxies, with the last lines of their output.
    pub crashes: Vec<String>,
}

impl Report {
    /// Returns whether the trial is valid, no rule was broken and no proxy crashed.
    pub fn passed(&self) -> bool {
        self.void.is_none() && self.audit.clean() && self.crashes.is_empty()
    }

    /// Formats the report as text.
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
            "\n{:.3} attempts per request; {:.1}% hits at cache nodes; {:.3} origin requests per request",
            self.attempts_per_request,
            self.hit_ratio * 100.0,
            self.origin_requests
        )?;
        for (n, usage) in self.proxies.iter().enumerate() {
            let Usage { cpu_s, memory_mb, descriptors } = usage;
            writeln!(
                t,
                "proxy {n}: {cpu_s:.2} s of CPU, peak {memory_mb:.1} MB, peak {descriptors} descriptors"
            )?;
        }
        writeln!(t, "{:.0} us of CPU per attempt", self.cpu_us)?;
        writeln!(
            t,
            "lateness of the lab itself, p99: {:.2} ms for the load, {:.2} ms for the site",
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
            "\naudit: {} requests checked, {} attempts at members, {} closed before forwarding",
            audit.requests, audit.attempts, audit.closed_before_forwarding
        )?;
        if audit.left > 0 {
            writeln!(
                t,
                "{} clients disconnected early, {} requests forwarded late, {} attempts begun late",
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

/// Creates the report of a trial that ran for `seconds`.
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

/// Returns the reason why the figures of a trial are void, if they are. Guards against a lab that runs late itself,
/// because that makes any proxy look slow.
pub(crate) fn void(requests: u64, not_sent: u64, site: &Percentiles, load: &Percentiles) -> Option<String> {
    let late = |component: &str, p: &Percentiles| {
        (p.p99_ms > MAX_LATENESS_MS)
            .then(|| format!("the {component} ran late: {:.1} ms at the 99th percentile", p.p99_ms))
    };
    if requests == 0 {
        return Some("no request was sent".into());
    }
    if not_sent > 0 {
        return Some(format!("{not_sent} arrivals were not sent because too many were in flight"));
    }
    late("site", site).or(late("load", load))
}

#[cfg(test)]
mod tests;
