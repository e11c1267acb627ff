//! `starts`: starts and stops the real proxy without load, determined by a seed.

use super::error::CliError;
use super::output_folder;
use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_starts::batch::{Batch, MAX_BUSY_THREADS, MAX_JOBS};
use aniseyoke_lab_starts::run::Subject;
use aniseyoke_lab_starts::verdict::StartReport;
use aniseyoke_lab_starts::StartsError;
use clap::Args;
use std::path::PathBuf;

/// Start and stop the real proxy, determined by a seed. The library that delays system calls must be built first:
/// cargo build --release -p aniseyoke-faults-preload.
#[derive(Args)]
pub struct StartsArgs {
    /// Number of starts.
    #[arg(long, default_value_t = 1000)]
    starts: u64,
    /// Seed of the starts.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of the first start; a start can be repeated by its number.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Number of concurrent starts.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// Number of busy threads in addition to the starts.
    #[arg(long, default_value_t = 0)]
    beside_load: usize,
    /// Delay no system calls; the library is not needed.
    #[arg(long)]
    no_holds: bool,
    /// Executable of the proxy; by default the one in the directory of this program.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Output folder for the reports of failed starts; by default a new one.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs the starts. Returns whether none failed.
pub fn run(args: &StartsArgs) -> Result<bool, CliError> {
    if args.jobs == 0 || args.jobs > MAX_JOBS || args.beside_load > MAX_BUSY_THREADS {
        return Err(CliError::Argument(format!(
            "--jobs must be from 1 to {MAX_JOBS}, --beside-load at most {MAX_BUSY_THREADS}"
        )));
    }
    let program = find_proxy(args.proxy.clone())?;
    let folder = output_folder(args.out.as_deref(), "starts-")?.canonicalize().map_err(CliError::System)?;
    let subject =
        Subject { program: program.canonicalize().map_err(CliError::System)?, delay_calls: !args.no_holds };
    let batch = Batch {
        seed: args.seed,
        first: args.first,
        starts: args.starts,
        jobs: args.jobs,
        busy_threads: args.beside_load,
        subject,
        folder,
    };
    let totals = batch.play(|number, result| report(&batch, number, result));
    println!("seed {}, starts {} to {}: {totals:?}", args.seed, args.first, args.first + args.starts);
    if totals.is_clean() {
        // Fails, as intended, if the folder is not empty.
        let _ = std::fs::remove_dir(&batch.folder);
    }
    Ok(totals.is_clean())
}

fn report(batch: &Batch, number: u64, result: &Result<StartReport, StartsError>) {
    match result {
        Ok(report) if report.faults.is_empty() => {}
        Ok(report) => {
            println!("start {number}: {:?}", report.plan);
            report.faults.iter().for_each(|fault| println!("    {fault}"));
            report.threads.iter().for_each(|thread| println!("    {thread}"));
            println!(
                "    report in {}; to repeat: aniseyoke-lab starts --seed {} --first {number} --starts 1",
                batch.folder_of(number).display(),
                batch.seed
            );
        }
        Err(error) => println!("start {number} could not be run: {error}"),
    }
}
