//! `scale`: runs an experiment with a large fleet.

use super::error::CliError;
use super::{output_folder, progress_bar, read_file, set_progress, until_interrupted};
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_process::{find_control, find_proxy};
use aniseyoke_lab_scale::plan::Plan;
use aniseyoke_lab_scale::play::{self, Programs};
use aniseyoke_lab_scale::{host, report};
use clap::Args;
use std::path::PathBuf;

#[derive(Args)]
pub struct ScaleArgs {
    /// TOML file of the experiment, as in `crates/lab/experiments`.
    #[arg(long)]
    plan: PathBuf,
    /// Seed of the schedule and of the network delays of regions.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Executable of the proxy, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Executable of the control service; the default is determined as for the proxy.
    #[arg(long)]
    control: Option<PathBuf>,
    /// Output folder for `scale.json`, the plot and the output of all processes; by default a new one.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Only validate the file and print its schedule.
    #[arg(long)]
    check: bool,
}

/// Runs the experiment. Returns whether all purges and changes took effect at all members.
pub fn run(args: &ScaleArgs) -> Result<bool, CliError> {
    let file = args.plan.display().to_string();
    let plan = Plan::parse(&file, &read_file(&args.plan)?)?;
    if args.check {
        let schedule = plan.schedule(args.seed);
        for (at, step) in &schedule.steps {
            println!("{:8.3} s  {step:?}", at.as_secs_f64());
        }
        println!("{} purges, {} changes", schedule.purges.len(), schedule.changes.len());
        for (label, descriptors, reason) in
            aniseyoke_lab_scale::descriptors::descriptor_needs(&plan, args.seed)
        {
            println!("{label}: {descriptors} descriptors, {reason}");
        }
        return Ok(true);
    }
    let programs = Programs {
        proxy: find_proxy(args.proxy.clone())?,
        control: find_control(args.control.clone())?,
        lab: std::env::current_exe().map_err(CliError::System)?,
    };
    let out = output_folder(args.out.as_deref(), "scale-")?;
    // The path must be absolute because each child process starts in its own folder.
    let out = out.canonicalize().map_err(FileError::at(&out))?;
    let bar = progress_bar()?;
    let progress = |what: &str, fraction: f64| {
        bar.set_message(what.to_owned());
        set_progress(&bar, fraction);
    };
    let processes = out.join("processes");
    // Guards against reuse of a folder: a control service that finds the log of an earlier run treats purges as
    // those that it numbered in that run.
    std::fs::create_dir(&processes)
        .map_err(|e| CliError::Argument(format!("{}: {e}; a run needs a new folder", processes.display())))?;
    let outcome = play::run(&plan, args.seed, &programs, &processes, &until_interrupted(), &progress);
    bar.finish_and_clear();
    let outcome = outcome?;
    let name = args.plan.file_stem().map_or_else(|| file.clone(), |name| name.to_string_lossy().into_owned());
    let judged = report::evaluate(&name, &file, &plan, args.seed, &outcome);
    super::save_json(&judged.scale, Some(&out.join("scale.json")))?;
    report::plot(&judged, &out.join("scale.svg"))?;
    print!("{}", report::table(&judged, &outcome));
    println!("written to {}", out.display());
    Ok(judged.complete)
}

/// Hosts hollow members, as specified on standard input.
pub fn hollow() -> Result<bool, CliError> {
    host::run()?;
    Ok(true)
}
