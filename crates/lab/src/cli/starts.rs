//! `starts`: seeded starts and ends of the real proxy, without load.

use super::error::CliError;
use super::output_folder;
use aniseyoke_lab_process::find_proxy;
use aniseyoke_lab_starts::batch::{Batch, MAX_BUSY_THREADS, MAX_JOBS};
use aniseyoke_lab_starts::run::Subject;
use aniseyoke_lab_starts::verdict::StartReport;
use aniseyoke_lab_starts::StartsError;
use clap::Args;
use std::path::PathBuf;

/// Seeded starts and ends of the real proxy. The library that holds calls up has to be built first:
/// cargo build --release -p aniseyoke-faults-preload.
#[derive(Args)]
pub struct StartsArgs {
    /// How many.
    #[arg(long, default_value_t = 1000)]
    starts: u64,
    /// What they are drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of the first one; a start is played again by its number.
    #[arg(long, default_value_t = 0)]
    first: u64,
    /// Starts at once.
    #[arg(long, default_value_t = 8)]
    jobs: usize,
    /// Busy threads beside them.
    #[arg(long, default_value_t = 0)]
    beside_load: usize,
    /// Hold no calls up, and do without the library that does.
    #[arg(long)]
    no_holds: bool,
    /// The proxy's program; the one beside this otherwise.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Where the reports of failed starts are kept; a new folder otherwise.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Plays the starts; whether everything held in each of them.
pub fn run(args: &StartsArgs) -> Result<bool, CliError> {
    if args.jobs == 0 || args.jobs > MAX_JOBS || args.beside_load > MAX_BUSY_THREADS {
        return Err(CliError::Argument(format!(
            "--jobs is 1 to {MAX_JOBS}, --beside-load at most {MAX_BUSY_THREADS}"
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
        // Only an empty folder is removed.
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
                "    report in {}; again: aniseyoke-lab starts --seed {} --first {number} --starts 1",
                batch.folder_of(number).display(),
                batch.seed
            );
        }
        Err(error) => println!("start {number} could not be played: {error}"),
    }
}
