//! `chaos`: an experiment of the fault rig.

use aniseyoke_lab_process::{find_file, find_proxy, Program};
use aniseyoke_lab_rig::plan::Plan;
use aniseyoke_lab_rig::play::{self, day_of};
use aniseyoke_lab_rig::report;
use clap::Args;
use std::io::Write;
use std::path::PathBuf;
use std::sync::atomic::AtomicBool;

/// An experiment of the fault rig.
#[derive(Args)]
pub struct Chaos {
    /// The experiment's TOML file.
    #[arg(long)]
    plan: PathBuf,
    /// The seed of its schedule.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The proxy's program; the one beside this otherwise.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// An operator's file for every proxy.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Where the log of all processes, the seconds as JSON lines and the outcome go; a new folder otherwise.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Only check the file and print its schedule.
    #[arg(long)]
    check: bool,
}

/// Plays it; whether no rule was broken.
pub fn run(args: &Chaos) -> Result<bool, String> {
    let text = std::fs::read_to_string(&args.plan).map_err(|e| format!("{}: {e}", args.plan.display()))?;
    let plan = Plan::parse(&args.plan.display().to_string(), &text).map_err(|e| e.to_string())?;
    let day = day_of(&plan, Some(&args.plan))?;
    if args.check {
        for (at, step) in plan.schedule(args.seed).steps {
            println!("{:8.3} s  {step:?}", at.as_secs_f64());
        }
        return Ok(true);
    }
    let mut program = Program::new(find_proxy(args.proxy.clone())?);
    program.operator = args.file.as_deref().map(find_file).transpose()?;
    let out = match &args.out {
        Some(out) => out.clone(),
        None => tempfile::Builder::new().prefix("chaos-").tempdir_in(".").map_err(|e| e.to_string())?.keep(),
    };
    std::fs::create_dir_all(&out).map_err(|e| format!("{}: {e}", out.display()))?;
    let outcome = play::run(&plan, &day, program, args.seed, &out, &AtomicBool::new(false))?;
    let write = |name: &str, text: String| {
        let path = out.join(name);
        std::fs::File::create(&path)
            .and_then(|mut f| f.write_all(text.as_bytes()))
            .map_err(|e| format!("{}: {e}", path.display()))
    };
    let lines: Vec<String> = (outcome.seconds.iter().enumerate())
        .map(|(second, counts)| serde_json::json!({"second": second, "outcomes": counts}).to_string())
        .collect();
    write("seconds.jsonl", lines.join("\n") + "\n")?;
    write("outcome.json", serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?)?;
    write("report.html", report::page(&args.plan.display().to_string(), &outcome)?)?;
    print!("{}", play::table(&outcome));
    println!("written to {}", out.display());
    Ok(outcome.clean())
}
