//! `chaos`: runs an experiment of the fault rig.

use super::error::CliError;
use super::{output_folder, read_file};
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_process::{find_file, find_proxy, Program};
use aniseyoke_lab_rig::plan::Plan;
use aniseyoke_lab_rig::play::{self, open_day};
use aniseyoke_lab_rig::report;
use clap::Args;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;

/// Run an experiment of the fault rig.
#[derive(Args)]
pub struct ChaosArgs {
    /// TOML file of the experiment.
    #[arg(long)]
    plan: PathBuf,
    /// Seed of the schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Executable of the proxy; by default the one in the directory of this program.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Operator file for every proxy.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Output folder for the log of all processes, the figures of each second as JSON lines and the outcome; by
    /// default a new one.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Only validate the file and print its schedule.
    #[arg(long)]
    check: bool,
}

/// Runs the experiment. Returns whether no rule was broken.
pub fn run(args: &ChaosArgs) -> Result<bool, CliError> {
    let plan = Plan::parse(&args.plan.display().to_string(), &read_file(&args.plan)?)?;
    let day = open_day(&plan, Some(&args.plan))?;
    if args.check {
        for (at, step) in plan.schedule(args.seed).steps {
            println!("{:8.3} s  {step:?}", at.as_secs_f64());
        }
        return Ok(true);
    }
    let mut program = Program::new(find_proxy(args.proxy.clone())?);
    program.operator = args.file.as_deref().map(find_file).transpose()?;
    let out = output_folder(args.out.as_deref(), "chaos-")?;
    let outcome = play::run(&plan, &day, program, args.seed, &out, &AtomicBool::new(false))?;
    let write = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::write(&path, text).map_err(FileError::at(&path))
    };
    let lines: Vec<String> = (outcome.seconds.iter().enumerate())
        .map(|(second, counts)| serde_json::json!({"second": second, "outcomes": counts}).to_string())
        .collect();
    write("seconds.jsonl", lines.join("\n") + "\n")?;
    write("outcome.json", serde_json::to_string_pretty(&outcome).map_err(CliError::Json)?)?;
    write("report.html", report::page(&args.plan.display().to_string(), &outcome)?)?;
    print!("{}", play::table(&outcome));
    println!("written to {}", out.display());
    Ok(outcome.clean())
}
