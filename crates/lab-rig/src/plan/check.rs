//! Validates a plan: rejects values that are well-formed but can't be executed.

use super::{LinkFault, Plan, MAX_LENGTH, MAX_PROXIES};
use crate::board::{Fault, LinkEnds};
use std::ops::Range;
use std::time::Duration;

/// Returns every problem of a plan, each with its position; `at` formats a position in the file.
pub fn problems(plan: &Plan, file: &str, at: &dyn Fn(Option<Range<usize>>) -> String) -> Vec<String> {
    let mut problems = Vec::new();
    let mut report =
        |span: Range<usize>, reason: String| problems.push(format!("{}: {reason}", at(Some(span))));
    let proxies = plan.proxies();
    if proxies == 0 || proxies > MAX_PROXIES {
        report(plan.proxies.span(), format!("proxies = {proxies}: from 1 to {MAX_PROXIES}"));
    }
    let length = plan.length.unwrap_or(Duration::MAX);
    for step in &plan.links {
        let mut report = |reason: String| report(step.span(), reason);
        check_link_fault(step.get_ref(), proxies, length, &mut report);
    }
    for step in &plan.clocks {
        let clock = step.get_ref();
        let mut report = |reason: String| report(step.span(), reason);
        check_sets(&clock.proxies, proxies, &mut report);
        if clock.ahead.is_zero() == clock.behind.is_zero() {
            report("a clock needs exactly one of `ahead` and `behind`".into());
        }
    }
    for step in &plan.processes {
        let process = step.get_ref();
        let mut report = |reason: String| report(step.span(), reason);
        check_sets(&process.proxies, proxies, &mut report);
        if process.pick == Some(0) {
            report("pick = 0: at least 1".into());
        }
        if process.at + process.spread + process.span > length {
            report("the fault would last beyond the end of the experiment".into());
        }
    }
    if plan.length.is_some_and(|length| length.is_zero() || length > MAX_LENGTH) {
        // The parser of durations does not retain positions, so the message names the key instead.
        let max = humantime::format_duration(MAX_LENGTH);
        problems.push(format!("{file}: length: more than 0 and at most {max}"));
    }
    problems
}

fn check_link_fault(link: &LinkFault, proxies: usize, length: Duration, report: &mut dyn FnMut(String)) {
    if link.a.is_empty() || link.b.is_empty() {
        report("a link fault needs sets on both sides, `a` and `b`".into());
    }
    check_sets(&link.a, proxies, report);
    check_sets(&link.b, proxies, report);
    if !(0.0..=1.0).contains(&link.fraction) {
        report(format!("part = {}: a fraction from 0 to 1", link.fraction));
    }
    if link.fault == Fault::Delay && link.delay.is_zero() && link.jitter.is_zero() {
        report("a delay needs `delay` or `jitter`".into());
    }
    if link.fault == Fault::Bandwidth && link.bytes_per_second == 0 {
        report("bandwidth needs `bytes_per_second` above 0".into());
    }
    if link.at + link.spread + link.span > length {
        report("the fault would last beyond the end of the experiment".into());
    }
}

fn check_sets(names: &[String], proxies: usize, report: &mut dyn FnMut(String)) {
    for name in names {
        match LinkEnds::parse(name) {
            Ok(set) if set.last_proxy().is_some_and(|last| last >= proxies) => {
                report(format!("`{name}`: there are {proxies} proxies, from 0"));
            }
            Ok(_) => {}
            Err(reason) => report(reason.to_string()),
        }
    }
}
