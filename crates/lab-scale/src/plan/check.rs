//! Checks that the values of a parsed experiment can be executed.

use super::*;

/// Passes every problem of an experiment to `report`, with its byte offset in the file.
pub fn check(plan: &Plan, report: &mut dyn FnMut(usize, String)) {
    check_sizes(plan, report);
    check_rates(plan, report);
    for kill in &plan.kills {
        check_kill(plan, kill, report);
    }
    for cut in &plan.cuts {
        check_cut(plan, cut, report);
    }
}

fn check_sizes(plan: &Plan, report: &mut dyn FnMut(usize, String)) {
    if plan.length().is_zero() || plan.length() > MAX_LENGTH {
        let max = humantime::format_duration(MAX_LENGTH);
        report(plan.length.span().start, format!("length: must be positive and at most {max}"));
    }
    let mut check_range = |key: &str, value: &Spanned<usize>, min: usize, max: usize| {
        if !(min..=max).contains(value.get_ref()) {
            report(value.span().start, format!("{key} = {}: from {min} to {max}", value.get_ref()));
        }
    };
    check_range("regions", &plan.regions, 1, MAX_PROCESSES);
    check_range("zones", &plan.zones, plan.regions(), MAX_MEMBERS);
    check_range("sites", &plan.sites, plan.zones(), MAX_MEMBERS);
    check_range("proxies", &plan.proxies, 1, MAX_MEMBERS.saturating_sub(plan.nodes));
    check_range("real", &plan.real, 0, MAX_REAL_PROXIES);
    check_range("listed", &plan.listed, 1, MAX_LISTED_NODES);
    check_range("asked", &plan.polled, 0, MAX_LISTED_NODES);
    check_range("hosts", &plan.hosts, 1, MAX_HOSTS);
    let processes = plan.processes();
    if processes > MAX_PROCESSES {
        let why = format!("{processes} processes, above the limit of {MAX_PROCESSES}");
        report(plan.sites.span().start, why);
    }
}

fn check_rates(plan: &Plan, report: &mut dyn FnMut(usize, String)) {
    let bad = |n: f64| !n.is_finite() || n < 0.0;
    let (purges, changes) = (plan.purges, plan.changes);
    if bad(purges.per_second) || purges.per_second * plan.length().as_secs_f64() > MAX_PURGES {
        report(
            0,
            format!("purges.per_second: must not be negative, and at most {MAX_PURGES} purges in total"),
        );
    }
    if !(1..=MAX_PUBLISHERS).contains(&purges.publishers) {
        report(0, format!("purges.publishers: from 1 to {MAX_PUBLISHERS}"));
    }
    if bad(changes.per_day) || changes.per_day > SECONDS_PER_DAY || changes.burst == 0 || changes.burst > 1000
    {
        report(0, "changes: at most one per second, in bursts of 1 to 1000".into());
    }
    if changes.routes > 100_000 {
        report(0, "changes.routes: at most 100,000".into());
    }
}

fn check_kill(plan: &Plan, kill: &Spanned<Kill>, report: &mut dyn FnMut(usize, String)) {
    let (from, kill) = (kill.span().start, kill.get_ref());
    let count = plan.count(kill.role);
    if count == 0 {
        report(from, format!("there is no {:?} in this experiment", kill.role));
    } else if let Some(why) = bad_selection(&kill.which, kill.pick, count) {
        report(from, why);
    }
    if kill.at.0 + kill.spread.0 + kill.duration.0 > plan.length() {
        report(from, "outlasts the experiment's length".into());
    }
}

fn check_cut(plan: &Plan, cut: &Spanned<Cut>, report: &mut dyn FnMut(usize, String)) {
    let (from, cut) = (cut.span().start, cut.get_ref());
    if cut.which.contains(&0) || plan.regions() < 2 {
        report(from, "the first region can't be partitioned from itself".into());
    } else if let Some(why) = bad_selection(&cut.which, cut.pick.map(|n| n + 1), plan.regions()) {
        report(from, why);
    }
    if cut.at.0 + cut.duration.0 > plan.length() {
        report(from, "outlasts the experiment's length".into());
    }
}

/// Returns the problem of a selection out of `count` by numbers (`which`) or by number of draws (`pick`), if it is
/// invalid.
fn bad_selection(which: &[usize], pick: Option<usize>, count: usize) -> Option<String> {
    match (which, pick) {
        ([], None) => {
            Some("select by number with `which`, or a number of random ones with `pick`".to_owned())
        }
        ([_, ..], Some(_)) => Some("set either `which` or `pick`, not both".to_owned()),
        ([], Some(n)) if n == 0 || n > count => Some(format!("pick = {n}: from 1 to {count}")),
        (which, _) => which.iter().find(|n| **n >= count).map(|n| format!("{n}: there are {count}, from 0")),
    }
}
