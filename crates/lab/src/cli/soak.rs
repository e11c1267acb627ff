//! `soak`: seeded restarts of real proxies under load.

use super::error::CliError;
use super::output_folder;
use aniseyoke_lab_process::{find_proxy, raise_descriptor_limit};
use aniseyoke_lab_soak::batch::{parse_seeds, Batch, SeedResult, MAX_BUSY_THREADS, MAX_JOBS};
use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use std::fs::File;
use std::io::{LineWriter, Write};
use std::path::PathBuf;
use std::time::Duration;

/// Seeded restarts of real proxies under load.
#[derive(Args)]
pub struct SoakArgs {
    /// The seeds, FIRST..LAST, both included.
    #[arg(long, default_value = "1..10")]
    seeds: String,
    /// Runs at once.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Busy threads beside the runs.
    #[arg(long, default_value_t = 0)]
    beside_load: usize,
    /// The proxy's program; the one beside this otherwise.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Write each run's report to this file, a JSON object a line.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Where log and report of each failed run are kept; a new folder otherwise.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Plays the seeds; whether everything held in each run.
pub fn run(args: &SoakArgs) -> Result<bool, CliError> {
    let seeds = parse_seeds(&args.seeds)?;
    if args.jobs == 0 || args.jobs > MAX_JOBS || args.beside_load > MAX_BUSY_THREADS {
        return Err(CliError::Argument(format!(
            "--jobs is 1 to {MAX_JOBS}, --beside-load at most {MAX_BUSY_THREADS}"
        )));
    }
    raise_descriptor_limit();
    let program = find_proxy(args.proxy.clone())?;
    let folder = output_folder(args.out.as_deref(), "soak-")?;
    let mut json =
        args.json.as_ref().map(File::create).transpose().map_err(CliError::System)?.map(LineWriter::new);
    let count = seeds.end() - seeds.start() + 1;
    let batch = Batch { seeds, jobs: args.jobs, busy_threads: args.beside_load, program, folder };
    // It is shown on a terminal alone.
    let bar = ProgressBar::new(count)
        .with_style(ProgressStyle::with_template("{bar:30} {pos} of {len}, {eta} left")?);
    bar.enable_steady_tick(Duration::from_millis(500));
    let failed = batch.play(|result| {
        bar.suspend(|| report(&batch, result));
        if let (Some(file), (_, Ok(report))) = (&mut json, result) {
            // A full disk loses figures, not the soak.
            let _ = serde_json::to_writer(&mut *file, report).map(|()| file.write_all(b"\n"));
        }
        bar.inc(1);
    });
    bar.finish_and_clear();
    println!("{count} seeds, {failed} failed");
    if failed == 0 {
        // Only an empty folder is removed.
        let _ = std::fs::remove_dir(&batch.folder);
    }
    Ok(failed == 0)
}

fn report(batch: &Batch, (seed, result): &SeedResult) {
    let faults = match result {
        Ok(report) => {
            println!("{report}");
            report.faults()
        }
        Err(error) => {
            println!("seed {seed:4} could not be played");
            vec![error.to_string()]
        }
    };
    for fault in &faults {
        println!("    {fault}");
    }
    if !faults.is_empty() {
        println!(
            "    log and report in {}; again: aniseyoke-lab soak --seeds {seed}",
            batch.folder_of(*seed).display()
        );
    }
}
