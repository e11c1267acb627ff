//! What a trial has to report: as text for a reader, as JSON for a program.

use super::recovery::Recovery;
use aniseyoke_lab_audit::Verdict;
use aniseyoke_lab_load::{Line, Percentiles};
use aniseyoke_lab_process::Usage;
use serde::Serialize;
use std::fmt::Write as _;

/// A trial's report.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The day.
    pub day: String,
    /// Its seed.
    pub seed: u64,
    /// Seconds of load.
    pub seconds: f64,
    /// Why its figures count for nothing, if they do not.
    pub void: Option<String>,
    /// All requests.
    pub all: Line,
    /// By class.
    pub classes: Vec<Line>,
    /// By tenant.
    pub tenants: Vec<Line>,
    /// Tries for each request.
    pub tries: f64,
    /// Part of the reads at cache nodes that were hits.
    pub hits: f64,
    /// Fetches and writes that reached the ledger, for each request.
    pub ledger: f64,
    /// What each proxy used, its restarts together.
    pub proxies: Vec<Usage>,
    /// CPU of the proxies for each try, in microseconds.
    pub cpu_us: f64,
    /// How late first tries were sent.
    pub load_late: Percentiles,
    /// How late the model's events were played.
    pub site_late: Percentiles,
    /// Idle connections that were closed by the proxies.
    pub idle_closed: u64,
    /// Worth answered within its aim, and worth asked for, by the second in which it was due.
    pub timeline: Vec<(f64, f64)>,
    /// How long the site took to answer well again after each trouble had ended.
    pub recoveries: Vec<Recovery>,
    /// What the auditor found.
    pub audit: Verdict,
    /// The last lines of proxies that ended by themselves.
    pub crashes: Vec<String>,
}

impl Report {
    /// Whether its figures count and no rule was broken.
    pub fn good(&self) -> bool {
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
        writeln!(
            t,
            "\n{:<14}{:>9}{:>9}{:>10}{:>10}{:>10}  outcomes",
            "", "requests", "goodput", "p50 ms", "p99 ms", "max ms"
        )?;
        for line in std::iter::once(&self.all).chain(&self.classes).chain(&self.tenants) {
            let outcomes: Vec<String> = line.outcomes.iter().map(|(name, n)| format!("{name} {n}")).collect();
            let p = &line.served;
            writeln!(
                t,
                "{:<14}{:>9}{:>9.3}{:>10.1}{:>10.1}{:>10.1}  {}",
                line.name,
                line.requests,
                line.goodput,
                p.p50_ms,
                p.p99_ms,
                p.max_ms,
                outcomes.join(", ")
            )?;
        }
        writeln!(
            t,
            "\n{:.3} tries a request; {:.1}% hits at cache nodes; {:.3} asked of the ledger for each request",
            self.tries,
            self.hits * 100.0,
            self.ledger
        )?;
        for (n, usage) in self.proxies.iter().enumerate() {
            let Usage { cpu_s, memory_mb, descriptors } = usage;
            writeln!(t, "proxy {n}: {cpu_s:.2} s of CPU, {memory_mb:.1} MB at most, {descriptors} descriptors at most")?;
        }
        writeln!(t, "{:.0} us of CPU for each try", self.cpu_us)?;
        writeln!(
            t,
            "the lab's own lateness, p99: {:.2} ms at the load, {:.2} ms at the site",
            self.load_late.p99_ms, self.site_late.p99_ms
        )?;
        if self.idle_closed > 0 {
            writeln!(t, "{} idle connections were closed by the proxies", self.idle_closed)?;
        }
        for recovery in &self.recoveries {
            writeln!(t, "{recovery}")?;
        }
        let a = &self.audit;
        writeln!(
            t,
            "\naudit: {} tries judged, {} attempts at members, {} closed at the door",
            a.requests, a.attempts, a.closed_at_the_door
        )?;
        if a.left > 0 {
            writeln!(
                t,
                "{} clients left while they waited, {} requests sent on late, {} attempts begun late",
                a.left, a.sent_for_nobody, a.attempts_for_nobody
            )?;
        }
        if a.clean() {
            writeln!(t, "no rule broken")?;
        }
        for (rule, count) in &a.broken {
            writeln!(t, "BROKEN {rule:?}: {count}")?;
        }
        for violation in &a.violations {
            writeln!(t, "\n{:?}: {}", violation.rule, violation.what)?;
            for line in &violation.history {
                writeln!(t, "    {line}")?;
            }
        }
        for crash in &self.crashes {
            writeln!(t, "\nCRASH: {crash}")?;
        }
        Ok(())
    }
}
