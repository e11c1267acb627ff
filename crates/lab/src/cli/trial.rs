//! `try`, `compare` and `sweep`: run days with a real proxy.

use super::error::CliError;
use super::{progress_bar, save_json, set_progress, until_interrupted, DayArgs};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::{find_file, find_proxy, Program, ProxyLauncher};
use aniseyoke_lab_trial::{Options, Report};
use clap::Args;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;
use std::sync::Arc;

#[derive(Args)]
pub struct TryArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Executable of the proxy; by default the one in the directory of this program, which is built first under
    /// cargo.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Operator file for the proxies.
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
pub struct CompareArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Executable of the proxy, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Number of pairs of trials; the medians are compared.
    #[arg(long, default_value_t = 3)]
    pairs: usize,
}

#[derive(Args)]
pub struct SweepArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Executable to test, as NAME=FILE, or as NAME=FILE,OPERATOR with an operator file; may be given several times.
    /// The default is determined as for `try`.
    #[arg(long)]
    build: Vec<String>,
    /// Multiples of the day's rate, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "0.5,1,1.5,2,3,4")]
    times: Vec<f64>,
    /// Write the plot to this file.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Write the figures as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn play(day: &Day, launcher: &dyn ProxyLauncher, stop: &Arc<AtomicBool>) -> Result<Report, CliError> {
    let bar = progress_bar()?;
    bar.set_message(day.name.clone());
    let progress: Box<dyn Fn(f64)> = Box::new(|fraction| set_progress(&bar, fraction));
    let report =
        aniseyoke_lab_trial::run(day, launcher, &Options { stop: stop.clone(), progress: Some(progress) });
    bar.finish_and_clear();
    Ok(report?)
}

/// Runs a day. Returns whether no rule was broken.
pub fn try_day(args: &TryArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let mut program = Program::new(find_proxy(args.proxy.clone())?);
    program.operator = args.operator.as_deref().map(find_file).transpose()?;
    let report = play(&day, &program, &until_interrupted())?;
    print!("{}", report.text());
    save_json(&report, args.json.as_deref())?;
    Ok(report.passed())
}

/// Runs a day at several multiples of its rate. Returns whether no rule was broken.
pub fn sweep(args: &SweepArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    if args.times.iter().any(|t| !(*t > 0.0 && t * day.load.rate <= 200_000.0)) {
        let reason = "--times: each must be above 0, and at most 200,000 requests per second in total";
        return Err(CliError::Argument(reason.into()));
    }
    let mut builds = Vec::new();
    for build in &args.build {
        let (name, file) = build
            .split_once('=')
            .ok_or_else(|| CliError::Argument(format!("--build {build}: must have the form NAME=FILE")))?;
        let (file, operator) = file.split_once(',').map_or((file, None), |(file, o)| (file, Some(o)));
        let mut program = Program::new(find_proxy(Some(file.into()))?);
        program.operator = operator.map(|o| find_file(o.as_ref())).transpose()?;
        builds.push((name.to_owned(), program));
    }
    if builds.is_empty() {
        builds.push(("aniseyoke".to_owned(), Program::new(find_proxy(None)?)));
    }
    let stop = until_interrupted();
    let mut curves = Vec::new();
    for (name, program) in builds {
        let options = Options { stop: stop.clone(), progress: None };
        curves.push(aniseyoke_lab_trial::sweep(&name, &day, &program, &args.times, &options)?);
    }
    println!("day {}, {} requests per second at a multiple of 1", day.name, day.load.rate);
    for curve in &curves {
        println!(
            "\n{:<10}{:>8}{:>10}{:>10}{:>10}{:>10}",
            curve.name, "times", "offered", "good", "refused", "p99 ms"
        );
        for p in &curve.points {
            let audit = if p.clean { "" } else { "  RULES BROKEN" };
            println!(
                "{:<10}{:>8.2}{:>10.0}{:>10.0}{:>10.3}{:>10.0}{audit}",
                "", p.times, p.offered, p.good, p.refused, p.p99_ms
            );
        }
        println!(
            "peak {:.0} per second; at least {:.1}% of it at higher loads",
            curve.peak(),
            curve.retained_fraction() * 100.0
        );
    }
    if let Some(svg) = &args.svg {
        aniseyoke_lab_trial::plot(&format!("Goodput against load, day {}", day.name), &curves, svg)?;
    }
    save_json(&curves, args.json.as_deref())?;
    Ok(curves.iter().all(|c| c.points.iter().all(|p| p.clean)))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

/// Runs a day against the proxy and against the pass-through, and prints their costs.
pub fn compare(args: &CompareArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let proxy = Program::new(find_proxy(args.proxy.clone())?);
    let own = std::env::current_exe().map_err(CliError::System)?;
    let pass_through = Program { args: vec!["floor".into()], ..Program::new(own) };
    let stop = until_interrupted();
    let (mut ours, mut baseline) = (Vec::new(), Vec::new());
    for _ in 0..args.pairs.max(1) {
        for (program, reports) in [(&pass_through, &mut baseline), (&proxy, &mut ours)] {
            let report = play(&day, program, &stop)?;
            if let Some(reason) = &report.void {
                return Err(CliError::VoidTrial(reason.clone()));
            }
            if report.all.outcomes.keys().any(|outcome| outcome != "served") {
                return Err(CliError::NotServed(report.text()));
            }
            reports.push(report);
        }
    }
    println!("day {}, {} requests per second, {} pairs, medians", day.name, day.load.rate, ours.len());
    println!("{:<28}{:>12}{:>12}{:>8}", "", "floor", "proxy", "ratio");
    type Figure = (&'static str, fn(&Report) -> f64);
    let figures: [Figure; 6] = [
        ("CPU for each try, us", |r| r.cpu_us),
        ("latency p50, ms", |r| r.all.served.p50_ms),
        ("latency p90, ms", |r| r.all.served.p90_ms),
        ("latency p99, ms", |r| r.all.served.p99_ms),
        ("memory at most, MB", |r| r.proxies.iter().map(|p| p.memory_mb).sum()),
        ("descriptors at most", |r| r.proxies.iter().map(|p| p.descriptors as f64).sum()),
    ];
    for (name, figure) in figures {
        let (a, b) =
            (median(baseline.iter().map(figure).collect()), median(ours.iter().map(figure).collect()));
        println!("{name:<28}{a:>12.2}{b:>12.2}{:>8.2}", b / a);
    }
    let clean = ours.iter().all(|r| r.audit.clean());
    println!("audit of the proxy: {}", if clean { "no rule broken" } else { "rules broken" });
    Ok(clean)
}
