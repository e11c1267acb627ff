//! `soak`: restarts real proxies under load, determined by seeds.

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

/// Restart real proxies under load, determined by seeds.
#[derive(Args)]
pub struct SoakArgs {
    /// Range of seeds, FIRST..LAST, inclusive.
    #[arg(long, default_value = "1..10")]
    seeds: String,
    /// Number of concurrent runs.
    #[arg(long, default_value_t = 4)]
    jobs: usize,
    /// Number of busy threads in addition to the runs.
    #[arg(long, default_value_t = 0)]
    beside_load: usize,
    /// Executable of the proxy; by default the one in the directory of this program.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Write the report of each run to this file, one JSON object per line.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Output folder for the log and the report of each failed run; by default a new one.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Runs all seeds. Returns whether no run failed.
pub fn run(args: &SoakArgs) -> Result<bool, CliError> {
    let seeds = parse_seeds(&args.seeds)?;
    if args.jobs == 0 || args.jobs > MAX_JOBS || args.beside_load > MAX_BUSY_THREADS {
        return Err(CliError::Argument(format!(
            "--jobs must be from 1 to {MAX_JOBS}, --beside-load at most {MAX_BUSY_THREADS}"
        )));
    }
    raise_descriptor_limit();
    let program = find_proxy(args.proxy.clone())?;
    let folder = output_folder(args.out.as_deref(), "soak-")?;
    let mut json =
        args.json.as_ref().map(File::create).transpose().map_err(CliError::System)?.map(LineWriter::new);
    let count = seeds.end() - seeds.start() + 1;
    let batch = Batch { seeds, jobs: args.jobs, busy_threads: args.beside_load, program, folder };
    // The bar appears only on a terminal.
    let bar = ProgressBar::new(count)
        .with_style(ProgressStyle::with_template("{bar:30} {pos} of {len}, {eta} left")?);
    bar.enable_steady_tick(Duration::from_millis(500));
    let failed = batch.play(|result| {
        bar.suspend(|| report(&batch, result));
        if let (Some(file), (_, Ok(report))) = (&mut json, result) {
            // A write error, such as a full disk, loses figures but doesn't stop the soak.
            let _ = serde_json::to_writer(&mut *file, report).map(|()| file.write_all(b"\n"));
        }
        bar.inc(1);
    });
    bar.finish_and_clear();
    println!("{count} seeds, {failed} failed");
    if failed == 0 {
        // Fails, as intended, if the folder is not empty.
        let _ = std::fs::remove_dir(&batch.folder);
    }
    Ok(failed == 0)
}

fn report(batch: &Batch, (seed, result): &SeedResult) {
    let faults = match result {
        Ok(report) => {
            println!("{report}");
            report.failures()
        }
        Err(error) => {
            println!("seed {seed:4} could not be run");
            vec![error.to_string()]
        }
    };
    for fault in &faults {
        println!("    {fault}");
    }
    if !faults.is_empty() {
        println!(
            "    log and report in {}; to repeat: aniseyoke-lab soak --seeds {seed}",
            batch.folder_of(*seed).display()
        );
    }
}
