//! The configuration service as a program: serves proxies, takes operators' calls, and measures itself.
#![forbid(unsafe_code)]

mod measure;

use aniseyoke_control::frame::{FromOperator, ToOperator};
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::service::{call, Service};
use aniseyoke_control::store::{Disk, Found, Kept, Store};
use aniseyoke_control::{Publisher, Stamp};
use clap::{Parser, Subcommand};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

/// Publishes numbered versions of the configuration to proxies.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve proxies and take operators' calls.
    Serve {
        /// Where proxies connect.
        #[arg(long)]
        listen: SocketAddr,
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
        /// The folder that keeps the newest version and the epoch over restarts.
        #[arg(long)]
        dir: PathBuf,
    },
    /// Publish an operator's file as the newest version.
    Publish {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
        /// The operator's file, in TOML.
        file: PathBuf,
        /// How it is brought out: a plan in TOML. Without it everybody gets it at once.
        #[arg(long)]
        plan: Option<PathBuf>,
    },
    /// Publish what an earlier version said as the newest.
    RollBack {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
        /// The epoch of the earlier version.
        epoch: u64,
        /// Its number.
        number: u64,
    },
    /// Let nobody else have the newest version.
    Halt {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
        /// Why.
        why: String,
    },
    /// Print who runs what, as JSON.
    Status {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
    },
    /// Measure the time from publishing to in force with emulated proxies on loopback.
    Measure(measure::Measure),
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve { listen, door, dir } => serve(listen, door, &dir),
        Command::Publish { door, file, plan } => publish(door, &file, plan.as_deref()),
        Command::RollBack { door, epoch, number } => {
            ask(door, &FromOperator::RollBack { to: Stamp { epoch, number }, plan: Plan::default() })
        }
        Command::Halt { door, why } => ask(door, &FromOperator::Halt { why }),
        Command::Status { door } => ask(door, &FromOperator::Status),
        Command::Measure(measure) => measure::run(&measure),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("aniseyoke-control: {why}");
            ExitCode::FAILURE
        }
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())
}

fn toml_file(file: &Path) -> Result<Value, String> {
    let named = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(file).map_err(|e| named(&e))?;
    let table: toml::Table = text.parse().map_err(|e| named(&e))?;
    serde_json::to_value(table).map_err(|e| named(&e))
}

fn publish(door: SocketAddr, file: &Path, plan: Option<&Path>) -> Result<(), String> {
    let body = toml_file(file)?;
    let plan = match plan {
        Some(plan) => {
            serde_json::from_value(toml_file(plan)?).map_err(|e| format!("{}: {e}", plan.display()))?
        }
        None => Plan::default(),
    };
    ask(door, &FromOperator::Publish { body, plan })
}

fn ask(door: SocketAddr, question: &FromOperator) -> Result<(), String> {
    match runtime()?.block_on(call(door, question))? {
        ToOperator::No { why } => Err(why),
        answer => {
            let text = serde_json::to_string_pretty(&answer).map_err(|e| e.to_string())?;
            println!("{text}");
            Ok(())
        }
    }
}

/// The epoch of this start: one more than that of the last, whose number is kept beside the newest version. Danger: a
/// folder that was restored from a backup brings an old epoch back; the time of the start, in seconds, is never less
/// than any number of restarts, so that it counts on past it.
fn epoch(dir: &Path) -> Result<u64, String> {
    let file = dir.join("epoch");
    let last =
        std::fs::read_to_string(&file).ok().and_then(|text| text.trim().parse::<u64>().ok()).unwrap_or(0);
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    let epoch = seconds.max(last + 1);
    let new = dir.join("epoch.new");
    let written = std::fs::write(&new, format!("{epoch}\n")).and_then(|()| std::fs::rename(&new, &file));
    written.map_err(|e| format!("{}: {e}", file.display()))?;
    Ok(epoch)
}

fn serve(listen: SocketAddr, door: SocketAddr, dir: &Path) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let mut store = Store::new(Disk, dir.join("newest"));
    let service = Service::new(Publisher::new(epoch(dir)?));
    match store.find().map_err(|e| format!("{}: {e}", dir.display()))? {
        Found::Good(kept) => {
            let was = kept.version.stamp;
            let stamp = service.publish(kept.version.body.value(), Plan::default())?;
            eprintln!("aniseyoke-control: what was version {was} is version {stamp}");
        }
        Found::Damaged { why, aside } => {
            eprintln!("aniseyoke-control: the newest version was damaged: {why}; it is at {aside:?}");
        }
        Found::Nothing => {}
    }
    LocalSet::new().block_on(&runtime()?, async move {
        let bind = |addr: SocketAddr| async move {
            TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))
        };
        let (proxies, operators) = (bind(listen).await?, bind(door).await?);
        for (what, listener) in [("proxies connect at", &proxies), ("operators call at", &operators)] {
            let addr = listener.local_addr().map_err(|e| e.to_string())?;
            eprintln!("aniseyoke-control: {what} {addr}");
        }
        tokio::task::spawn_local(service.clone().serve(proxies));
        tokio::task::spawn_local(service.clone().hear(operators));
        loop {
            service.published.notified().await;
            let Some(version) = service.newest() else { continue };
            let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
            if let Err(e) = store.keep(&Kept { version, at_ms }) {
                eprintln!("aniseyoke-control: the newest version could not be kept: {e}");
            }
        }
    })
}
