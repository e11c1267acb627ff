//! What a run came to: figures as JSON, a table, and a plot.

use super::member::Traffic;
use super::plan::Plan;
use super::play::{Outcome, Used};
use super::publish::Made;
use plotters::prelude::*;
use serde::Serialize;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// A run's processes together stay under this, in MB.
const MEMORY_MOST_MB: f64 = 12_288.0;
/// Those that lack something, named at most.
const NAMED: usize = 10;

/// One figure.
#[derive(Clone, Debug, Serialize)]
pub struct Figure {
    /// Of what.
    pub name: String,
    /// How much.
    pub value: f64,
    /// In what.
    pub unit: &'static str,
    /// What it is held against, if anything.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

/// A run as JSON.
#[derive(Clone, Debug, Serialize)]
pub struct Scale {
    /// The experiment's name.
    pub name: String,
    /// Its file.
    pub plan: String,
    /// The seed.
    pub seed: u64,
    /// How long the schedule, and what was waited for after it, took.
    pub seconds: f64,
    /// The figures.
    pub figures: Vec<Figure>,
}

/// Something made, and how long it took to be in force everywhere, in milliseconds; none: it is not.
#[derive(Clone, Copy, Debug)]
pub struct Took {
    /// When it was due, from the start of the schedule, in seconds.
    pub due_s: f64,
    /// How long it took, from when it was due.
    pub ms: Option<f64>,
    /// Whether a fault was in force meanwhile.
    pub under_fault: bool,
}

/// A run, judged.
pub struct Judged {
    /// Everything made was in force everywhere, everything due was made, and no child ended by itself.
    pub complete: bool,
    /// Its figures.
    pub scale: Scale,
    /// Purges, and versions.
    pub took: [Vec<Took>; 2],
    /// What went wrong, a line each.
    pub troubles: Vec<String>,
}

/// The value under which a part of the values lie; nothing of none.
pub fn quantile(values: &[f64], part: f64) -> Option<f64> {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = (part * sorted.len() as f64).ceil() as usize;
    sorted.get(at.clamp(1, sorted.len().max(1)) - 1).copied()
}

fn mean(values: &[f64]) -> Option<f64> {
    (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
}

struct Figures(Vec<Figure>);

impl Figures {
    fn add(&mut self, name: impl Into<String>, value: Option<f64>, unit: &'static str, limit: Option<f64>) {
        if let Some(value) = value.filter(|v| v.is_finite()) {
            self.0.push(Figure { name: name.into(), value: (value * 1e6).round() / 1e6, unit, limit });
        }
    }

    fn times(&mut self, what: &str, took: &[Took], made: &[Made], due: usize, limit: Duration) {
        if due == 0 {
            return;
        }
        let limit = Some(limit.as_secs_f64() * 1e3);
        let not_done = took.iter().filter(|t| t.ms.is_none()).count();
        self.add(format!("{what}.due"), Some(due as f64), "", None);
        self.add(format!("{what}.made"), Some(made.len() as f64), "", None);
        self.add(format!("{what}.not_done_everywhere"), Some(not_done as f64), "", None);
        let called: Vec<f64> =
            made.iter().map(|m| m.called_at.saturating_sub(m.due_at) as f64 / 1e6).collect();
        self.add(format!("{what}.called_late.p99"), quantile(&called, 0.99), "ms", None);
        let answered: Vec<f64> =
            made.iter().map(|m| m.answered_at.saturating_sub(m.called_at) as f64 / 1e6).collect();
        self.add(format!("{what}.answered.p99"), quantile(&answered, 0.99), "ms", None);
        let faults = took.iter().any(|t| t.under_fault);
        let all = [("", None), (".no_fault", Some(false)), (".under_fault", Some(true))];
        for (kind, wanted) in all.into_iter().take(if faults { 3 } else { 1 }) {
            let of = |t: &&Took| wanted.is_none_or(|wanted| wanted == t.under_fault);
            let ms: Vec<f64> = took.iter().filter(of).filter_map(|t| t.ms).collect();
            let name = format!("{what}.done_everywhere{kind}");
            self.add(format!("{name}.count"), Some(ms.len() as f64), "", None);
            for (tail, part) in [("p50", 0.5), ("p99", 0.99), ("most", 1.0)] {
                self.add(format!("{name}.{tail}"), quantile(&ms, part), "ms", limit);
            }
        }
    }

    fn traffic(&mut self, who: &str, all: &[Traffic], seconds: f64, limit: Option<f64>) {
        let each =
            |of: fn(&Traffic) -> u64| -> Vec<f64> { all.iter().map(|t| of(t) as f64 / seconds).collect() };
        let (payload, whole) = (each(Traffic::payload), each(Traffic::with_headers));
        let frames = each(|t| t.frames_in + t.frames_out);
        self.add(format!("{who}.bytes.mean"), mean(&payload), "B/s", limit);
        self.add(format!("{who}.bytes.most"), quantile(&payload, 1.0), "B/s", limit);
        self.add(format!("{who}.bytes_with_headers_estimated.mean"), mean(&whole), "B/s", limit);
        self.add(format!("{who}.bytes_with_headers_estimated.most"), quantile(&whole, 1.0), "B/s", limit);
        self.add(format!("{who}.messages.mean"), mean(&frames), "1/s", None);
    }

    fn used(&mut self, who: &str, used: &[Used], seconds: f64, core: Option<f64>, memory: Option<f64>) {
        let cores: Vec<f64> = used.iter().map(|u| u.cpu_s / seconds).collect();
        let memories: Vec<f64> = used.iter().map(|u| u.memory_mb).collect();
        self.add(format!("{who}.count"), Some(used.len() as f64), "", None);
        self.add(format!("{who}.core.mean"), mean(&cores), "cores", core);
        self.add(format!("{who}.core.most"), quantile(&cores, 1.0), "cores", core);
        self.add(format!("{who}.memory.mean"), mean(&memories), "MB", memory);
        self.add(format!("{who}.memory.most"), quantile(&memories, 1.0), "MB", memory);
    }
}

/// Judges a run.
pub fn judge(name: &str, file: &str, plan: &Plan, seed: u64, outcome: &Outcome) -> Judged {
    let limits = plan.limits;
    let took = |made: &[Made], limit: Duration, done: &dyn Fn(u64) -> Option<u64>| -> Vec<Took> {
        let one = |m: &Made| Took {
            due_s: m.due.as_secs_f64(),
            ms: done(m.number).map(|at| at.saturating_sub(m.due_at) as f64 / 1e6),
            under_fault: plan.under_fault(&outcome.schedule, m.due, limit),
        };
        made.iter().map(one).collect()
    };
    let purges = took(&outcome.purges, limits.purge.0, &|n| outcome.hollow.purges.done(n));
    let changes = took(&outcome.changes, limits.change.0, &|n| {
        let real = match plan.real() {
            0 => Some(0),
            _ => outcome.real.done(n),
        };
        Some(outcome.hollow.versions.done(n)?.max(real?))
    });
    let mut troubles = outcome.troubles.clone();
    for (what, due, made) in
        [("purges", outcome.due.0, outcome.purges.len()), ("changes", outcome.due.1, outcome.changes.len())]
    {
        if made < due {
            troubles.push(format!("of {due} {what} that were due only {made} could be made"));
        }
    }
    if outcome.again.0 > 0 {
        let (calls, why) = &outcome.again;
        troubles.push(format!("{calls} calls of publishers were made again, the last since {why}"));
    }
    let newest = outcome.purges.iter().map(|m| m.number).max().unwrap_or(0);
    let lacking: Vec<(usize, u64)> = outcome.hollow.purges.lacking(newest).collect();
    if !lacking.is_empty() {
        let named = lacking.iter().take(NAMED).map(|(n, at)| {
            let name = outcome.hollow.members.get(*n).map_or("?", |m| m.0.as_str());
            format!("{name}@{at}")
        });
        let named = named.collect::<Vec<_>>().join(", ");
        troubles.push(format!("{} members lack purges through {newest}: {named}", lacking.len()));
    }
    if outcome.hollow.purges.beyond + outcome.hollow.versions.beyond > 0 {
        troubles.push("members were told numbers past what is counted".into());
    }
    if outcome.hollow.faults > 0 {
        troubles.push(format!("{} versions turned down or frames not read", outcome.hollow.faults));
    }
    let done = purges.iter().chain(&changes).all(|t| t.ms.is_some());
    let all_made = (outcome.purges.len(), outcome.changes.len()) == outcome.due;
    let complete = done && all_made && outcome.troubles.is_empty() && outcome.hollow.faults == 0;
    let mut figures = Figures(Vec::new());
    figures.add("run.complete", Some(f64::from(u8::from(complete))), "", None);
    for (what, n) in [
        ("regions", plan.regions()),
        ("zones", plan.zones()),
        ("sites", plan.sites()),
        ("hollow_proxies", *plan.proxies.get_ref()),
        ("hollow_nodes", plan.nodes),
        ("real_proxies", plan.real()),
        ("listed_nodes", *plan.listed.get_ref()),
        ("asked_nodes", *plan.asked.get_ref()),
        ("processes", outcome.processes),
    ] {
        figures.add(format!("run.{what}"), Some(n as f64), "", None);
    }
    let seconds = outcome.seconds;
    let memory: f64 = outcome.used.values().flatten().map(|u| u.memory_mb).sum();
    figures.add("run.memory.all_children", Some(memory), "MB", Some(MEMORY_MOST_MB));
    figures.times("purge", &purges, &outcome.purges, outcome.due.0, limits.purge.0);
    figures.times("change", &changes, &outcome.changes, outcome.due.1, limits.change.0);
    for (who, node, limit) in
        [("hollow_proxy", false, Some(limits.bytes_per_second)), ("hollow_node", true, None)]
    {
        let of = || outcome.hollow.members.iter().filter(|m| m.1 == node);
        let control: Vec<Traffic> = of().map(|m| m.2).collect();
        figures.traffic(&format!("{who}.control"), &control, seconds, limit);
        if !node {
            let lists: Vec<Traffic> = of().map(|m| m.3).collect();
            figures.traffic(&format!("{who}.list"), &lists, seconds, limit);
        }
    }
    let used = |sort: &str| outcome.used.get(sort).map_or(&[][..], Vec::as_slice);
    let members = plan.hollow().max(1) as f64;
    let hosts = used("host");
    let cpu: f64 = hosts.iter().map(|u| u.cpu_s).sum();
    let host_memory: f64 = hosts.iter().map(|u| u.memory_mb).sum();
    figures.add("hollow_member.core.mean", Some(cpu / seconds / members), "cores", Some(limits.core));
    figures.add("hollow_member.memory.mean", Some(host_memory / members), "MB", Some(limits.memory_mb));
    figures.used("real", used("real"), seconds, Some(limits.core), Some(limits.memory_mb));
    for sort in ["root", "region_relay", "site_relay", "host"] {
        if !used(sort).is_empty() {
            figures.used(sort, used(sort), seconds, None, None);
        }
    }
    figures.add("hollow.flushes", Some(outcome.hollow.flushes as f64), "", None);
    figures.add("hollow.connections_made", Some(outcome.hollow.connects as f64), "", None);
    let scale = Scale { name: name.to_owned(), plan: file.to_owned(), seed, seconds, figures: figures.0 };
    Judged { complete, scale, took: [purges, changes], troubles }
}

/// The table that is printed at the end.
pub fn table(judged: &Judged, outcome: &Outcome) -> String {
    let mut text = String::new();
    let scale = &judged.scale;
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
    for trouble in &judged.troubles {
        let _ = writeln!(text, "{trouble}");
    }
    let verdict = match judged.complete {
        true => "complete: everything due was made and in force everywhere, and no child ended by itself",
        false => {
            "NOT COMPLETE: something due was not made or not in force everywhere, or a child ended by itself"
        }
    };
    let _ = writeln!(text, "{verdict}");
    text
}

/// Draws the time to done everywhere over the run, the most in each second, into `file` as SVG.
///
/// # Errors
/// If it can't be drawn or written.
pub fn plot(judged: &Judged, file: &Path) -> Result<(), String> {
    let each_second = |took: &[Took]| {
        let mut most: std::collections::BTreeMap<u64, f64> = std::collections::BTreeMap::new();
        for t in took {
            if let Some(ms) = t.ms {
                let at = most.entry(t.due_s as u64).or_default();
                *at = at.max(ms);
            }
        }
        most.into_iter().map(|(s, ms)| (s as f64, ms)).collect::<Vec<_>>()
    };
    let series = [("purges", each_second(&judged.took[0])), ("changes", each_second(&judged.took[1]))];
    let all = || series.iter().flat_map(|s| &s.1);
    let widest = all().map(|p| p.0).fold(1.0, f64::max) * 1.02;
    let highest = all().map(|p| p.1).fold(1.0, f64::max) * 1.15;
    let draw = || -> Result<(), Box<dyn std::error::Error>> {
        let root = SVGBackend::new(file, (860, 420)).into_drawing_area();
        root.fill(&WHITE)?;
        let title = format!("{}: the longest in each second", judged.scale.name);
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(0.0..widest, 0.0..highest)?;
        chart.configure_mesh().x_desc("due, s").y_desc("done everywhere after, ms").draw()?;
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
    draw().map_err(|e| format!("{}: {e}", file.display()))
}

#[cfg(test)]
mod tests;
