//! The report of a run: figures as JSON, a table and a plot.

use super::error::ScaleError;
use super::figures::{Figure, Figures, PropagationTime};
use super::member::Traffic;
use super::plan::Plan;
use super::play::Outcome;
use super::publish::Published;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// The limit for the total memory of a run's children.
const MAX_MEMORY_MB: f64 = 12_288.0;
/// The maximum number of members that a message about missing purges names.
const MAX_NAMED_MEMBERS: usize = 10;

/// The JSON report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Scale {
    /// The name of the experiment.
    pub name: String,
    /// The file of the experiment.
    pub plan: String,
    /// The seed.
    pub seed: u64,
    /// The duration of the schedule and the wait after it, in seconds.
    pub seconds: f64,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// The evaluation of a run against the limits of its plan.
pub struct Evaluation {
    /// Whether everything due was published and in force at all members, without crashes of children, rejected versions
    /// or malformed frames.
    pub complete: bool,
    /// The JSON report.
    pub scale: Scale,
    /// The propagation times of purges and of versions.
    pub times: [Vec<PropagationTime>; 2],
    /// The problems, one line each.
    pub problems: Vec<String>,
}

/// Computes the figures of a run and whether it is complete.
pub fn evaluate(name: &str, file: &str, plan: &Plan, seed: u64, outcome: &Outcome) -> Evaluation {
    let purges = propagation_times(plan, outcome, &outcome.purges, plan.limits.purge.0, &|number| {
        outcome.hollow.purges.completed_at(number)
    });
    let changes = propagation_times(plan, outcome, &outcome.changes, plan.limits.change.0, &|number| {
        let real = match plan.real() {
            0 => Some(0),
            _ => outcome.real.completed_at(number),
        };
        Some(outcome.hollow.versions.completed_at(number)?.max(real?))
    });
    let done = purges.iter().chain(&changes).all(|t| t.ms.is_some());
    let all_published = (outcome.purges.len(), outcome.changes.len()) == outcome.due;
    let complete = done && all_published && outcome.problems.is_empty() && outcome.hollow.faults == 0;
    let times = [purges, changes];
    let figures = figures(plan, outcome, complete, &times);
    let seconds = outcome.seconds;
    let scale = Scale { name: name.to_owned(), plan: file.to_owned(), seed, seconds, figures: figures.0 };
    Evaluation { complete, scale, times, problems: problems(outcome) }
}

/// Computes the propagation time of everything published; `done` returns the time when a number was in force at all
/// members.
fn propagation_times(
    plan: &Plan,
    outcome: &Outcome,
    published: &[Published],
    limit: Duration,
    done: &dyn Fn(u64) -> Option<u64>,
) -> Vec<PropagationTime> {
    let propagation_time = |m: &Published| PropagationTime {
        due_s: m.due.as_secs_f64(),
        ms: done(m.number).map(|at| at.saturating_sub(m.due_at) as f64 / 1e6),
        under_fault: plan.under_fault(&outcome.schedule, m.due, limit),
    };
    published.iter().map(propagation_time).collect()
}

/// Lists the problems of a run, one line each.
fn problems(outcome: &Outcome) -> Vec<String> {
    let mut problems = outcome.problems.clone();
    for (kind, due, published) in
        [("purges", outcome.due.0, outcome.purges.len()), ("changes", outcome.due.1, outcome.changes.len())]
    {
        if published < due {
            problems.push(format!("only {published} of {due} {kind} that were due were published"));
        }
    }
    if outcome.retries.0 > 0 {
        let (calls, why) = &outcome.retries;
        problems.push(format!("{calls} calls of publishers were retried, the last because of: {why}"));
    }
    let newest = outcome.purges.iter().map(|m| m.number).max().unwrap_or(0);
    let lacking: Vec<(usize, u64)> = outcome.hollow.purges.lacking(newest).collect();
    if !lacking.is_empty() {
        let named = lacking.iter().take(MAX_NAMED_MEMBERS).map(|(n, at)| {
            let name = outcome.hollow.members.get(*n).map_or("?", |m| m.name.as_str());
            format!("{name}@{at}")
        });
        let named = named.collect::<Vec<_>>().join(", ");
        problems.push(format!("{} members don't have all purges through {newest}: {named}", lacking.len()));
    }
    if outcome.hollow.purges.beyond + outcome.hollow.versions.beyond > 0 {
        problems.push("members received numbers above the maximum that is recorded".into());
    }
    if outcome.hollow.faults > 0 {
        problems.push(format!("{} rejected versions or malformed frames", outcome.hollow.faults));
    }
    problems
}

fn figures(
    plan: &Plan,
    outcome: &Outcome,
    complete: bool,
    [purges, changes]: &[Vec<PropagationTime>; 2],
) -> Figures {
    let limits = plan.limits;
    let mut figures = Figures(Vec::new());
    figures.add("run.complete", Some(f64::from(u8::from(complete))), "", None);
    for (kind, n) in [
        ("regions", plan.regions()),
        ("zones", plan.zones()),
        ("sites", plan.sites()),
        ("hollow_proxies", *plan.proxies.get_ref()),
        ("hollow_nodes", plan.nodes),
        ("real_proxies", plan.real()),
        ("listed_nodes", *plan.listed.get_ref()),
        ("asked_nodes", *plan.polled.get_ref()),
        ("processes", outcome.processes),
    ] {
        figures.add(format!("run.{kind}"), Some(n as f64), "", None);
    }
    let memory: f64 = outcome.usage.values().flatten().map(|u| u.memory_mb).sum();
    figures.add("run.memory.all_children", Some(memory), "MB", Some(MAX_MEMORY_MB));
    figures.times("purge", purges, &outcome.purges, outcome.due.0, limits.purge.0);
    figures.times("change", changes, &outcome.changes, outcome.due.1, limits.change.0);
    add_traffic(&mut figures, outcome, limits.bytes_per_second);
    add_usage(&mut figures, plan, outcome);
    figures.add("hollow.flushes", Some(outcome.hollow.flushes as f64), "", None);
    figures.add("hollow.connections_made", Some(outcome.hollow.connects as f64), "", None);
    figures
}

fn add_traffic(figures: &mut Figures, outcome: &Outcome, bytes_per_second: f64) {
    let seconds = outcome.seconds;
    for (kind, node, limit) in [("hollow_proxy", false, Some(bytes_per_second)), ("hollow_node", true, None)]
    {
        let of = || outcome.hollow.members.iter().filter(|m| m.node == node);
        let control: Vec<Traffic> = of().map(|m| m.control).collect();
        figures.traffic(&format!("{kind}.control"), &control, seconds, limit);
        if !node {
            let lists: Vec<Traffic> = of().map(|m| m.list).collect();
            figures.traffic(&format!("{kind}.list"), &lists, seconds, limit);
        }
    }
}

fn add_usage(figures: &mut Figures, plan: &Plan, outcome: &Outcome) {
    let (limits, seconds) = (plan.limits, outcome.seconds);
    let usage = |kind: &str| outcome.usage.get(kind).map_or(&[][..], Vec::as_slice);
    let members = plan.hollow().max(1) as f64;
    let hosts = usage("host");
    let cpu: f64 = hosts.iter().map(|u| u.cpu_s).sum();
    let host_memory: f64 = hosts.iter().map(|u| u.memory_mb).sum();
    figures.add("hollow_member.core.mean", Some(cpu / seconds / members), "cores", Some(limits.core));
    figures.add("hollow_member.memory.mean", Some(host_memory / members), "MB", Some(limits.memory_mb));
    figures.usage("real", usage("real"), seconds, Some(limits.core), Some(limits.memory_mb));
    for kind in ["root", "region_relay", "site_relay", "host"] {
        if !usage(kind).is_empty() {
            figures.usage(kind, usage(kind), seconds, None, None);
        }
    }
}

/// Formats the table that is printed at the end.
pub fn table(evaluation: &Evaluation, outcome: &Outcome) -> String {
    let mut text = String::new();
    let scale = &evaluation.scale;
    // Writing to a string does not fail.
    let _ = writeln!(text, "{} ({}), seed {}, {:.1} s", scale.name, scale.plan, scale.seed, scale.seconds);
    for (at, what) in &outcome.played {
        let _ = writeln!(text, "{at:9.3} s  {what}");
    }
    for figure in &scale.figures {
        let against = match figure.limit {
            Some(limit) if figure.value > limit => format!("  OVER {limit}"),
            Some(limit) => format!("  of {limit}"),
            None => String::new(),
        };
        let digits = if figure.value.abs() < 0.1 { 6 } else { 3 };
        let value = format!("{:.digits$}", figure.value);
        let _ = writeln!(text, "  {:<52}{value:>14} {:<6}{against}", figure.name, figure.unit);
    }
    for problem in &evaluation.problems {
        let _ = writeln!(text, "{problem}");
    }
    let verdict = match evaluation.complete {
        true => "complete: everything due was published and in force at all members, and no child crashed",
        false => {
            "NOT COMPLETE: not everything due was published and in force at all members, or a child crashed"
        }
    };
    let _ = writeln!(text, "{verdict}");
    text
}

/// Plots the propagation times over the run, the longest of each second, into `file` as SVG.
///
/// # Errors
/// Fails if the plot can't be drawn or written.
pub fn plot(evaluation: &Evaluation, file: &Path) -> Result<(), ScaleError> {
    let each_second = |times: &[PropagationTime]| {
        let mut slowest: std::collections::BTreeMap<u64, f64> = std::collections::BTreeMap::new();
        for t in times {
            if let Some(ms) = t.ms {
                let at = slowest.entry(t.due_s as u64).or_default();
                *at = at.max(ms);
            }
        }
        slowest.into_iter().map(|(s, ms)| (s as f64, ms)).collect::<Vec<_>>()
    };
    let series =
        [("purges", each_second(&evaluation.times[0])), ("changes", each_second(&evaluation.times[1]))];
    let all = || series.iter().flat_map(|s| &s.1);
    let widest = all().map(|p| p.0).fold(1.0, f64::max) * 1.02;
    let highest = all().map(|p| p.1).fold(1.0, f64::max) * 1.15;
    let draw = || -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
        let root = SVGBackend::new(file, (860, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let title = format!("{}: the longest propagation time in each second", evaluation.scale.name);
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..widest, 0.0..highest)?;
        chart.configure_mesh().x_desc("due, s").y_desc("in force at all members after, ms").draw()?;
        for (n, (name, points)) in series.iter().enumerate().filter(|(_, s)| !s.1.is_empty()) {
            let colour = Palette99::pick(n).to_rgba();
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(1)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
            chart.draw_series(points.iter().map(|at| Circle::new(*at, 2, colour.filled())))?;
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
        root.present()?;
        Ok(())
    };
    draw().map_err(|source| ScaleError::Plot { path: file.to_owned(), source })
}

#[cfg(test)]
mod tests;
