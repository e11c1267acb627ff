//! The configuration service as a program: serves proxies, takes operators' calls, and measures itself.
#![forbid(unsafe_code)]

mod measure;

use aniseyoke_control::frame::{FromOperator, ToOperator};
use aniseyoke_control::relay::{relay, Relaying, Root};
use aniseyoke_control::rollout::Plan;
use aniseyoke_control::service::{call, Service};
use aniseyoke_control::store::{raise_epoch, Disk, Found, Kept, Store};
use aniseyoke_control::{Publisher, Stamp};
use aniseyoke_fanout::Settings;
use clap::{Parser, Subcommand};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::sleep;

/// After a version that could not be stored, the one in force is stored again as often, until it is.
const SETTLE_EVERY: Duration = Duration::from_secs(1);

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
        /// The folder that keeps the newest version and the epoch over restarts, and the log of purges.
        #[arg(long)]
        dir: PathBuf,
        /// Take purges, keep them in a log, and have them passed on.
        #[arg(long)]
        purges: bool,
        /// Purges that come within this time are kept and sent as one.
        #[arg(long, default_value = "20ms", value_parser = span)]
        batch: Duration,
        /// Who is behind for longer is not waited for before purges count as done, but named.
        #[arg(long, default_value = "4s", value_parser = span)]
        grace: Duration,
        /// Who has gone is named for so long among those that lack purges.
        #[arg(long, default_value = "2h", value_parser = span)]
        forget: Duration,
        #[command(flatten)]
        fan: Fan,
    },
    /// Follow a service or another relay, and pass versions and purges on to those below.
    Relay {
        /// Where proxies and other relays connect.
        #[arg(long)]
        listen: SocketAddr,
        /// Whom it follows: the first, and the next in turn where that one can't be reached.
        #[arg(long, value_delimiter = ',', required = true)]
        upstream: Vec<SocketAddr>,
        /// Its name, the same after a restart.
        #[arg(long)]
        name: String,
        /// Where operators ask how far purges and versions are below it.
        #[arg(long)]
        door: Option<SocketAddr>,
        /// Purges that come within this time are sent as one.
        #[arg(long, default_value = "100ms", value_parser = span)]
        batch: Duration,
        /// Who is behind for longer is not waited for before purges are told as done, but named. Shorter than upstream's.
        #[arg(long, default_value = "2s", value_parser = span)]
        grace: Duration,
        /// Who has gone is named for so long among those that lack purges. Not under the lease.
        #[arg(long, default_value = "1m", value_parser = span)]
        forget: Duration,
        #[command(flatten)]
        fan: Fan,
    },
    /// Have objects dropped everywhere. Made again under the same sequence, it is numbered once.
    Purge {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
        /// Who wants it.
        #[arg(long)]
        publisher: String,
        /// The publisher's own number of this call, rising.
        #[arg(long)]
        sequence: u64,
        /// The objects' keys.
        #[arg(required = true)]
        keys: Vec<String>,
    },
    /// Print how far purges have come, as JSON.
    Purges {
        /// Where operators call.
        #[arg(long)]
        door: SocketAddr,
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

/// What a root and a relay are told alike.
#[derive(clap::Args)]
struct Fan {
    /// Purges that the log keeps at least, eight bytes of memory each. Who lacks older ones is told to drop everything.
    #[arg(long, default_value_t = 1 << 20)]
    log_entries: usize,
    /// How long a member may claim to be fresh after it was told that it has everything.
    #[arg(long, default_value = "5s", value_parser = span)]
    lease: Duration,
    /// Who is told to drop everything is told so at a time of its own within this.
    #[arg(long, default_value = "10s", value_parser = span)]
    spread: Duration,
    /// Who has been sent purges for so long, and says nothing of them, is let go.
    #[arg(long, default_value = "10s", value_parser = span)]
    stuck: Duration,
}

fn span(text: &str) -> Result<Duration, String> {
    humantime::parse_duration(text).map_err(|e| e.to_string())
}

impl Fan {
    fn settings(&self, batch: Duration, grace: Duration, forget: Duration) -> Result<Settings, String> {
        if forget < self.lease {
            return Err("--forget: it may not be shorter than --lease".into());
        }
        if self.log_entries == 0 {
            return Err("--log-entries: at least one is kept".into());
        }
        let nanos = |span: Duration| u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Ok(Settings {
            batch: nanos(batch),
            grace: nanos(grace),
            forget: nanos(forget),
            lease: nanos(self.lease),
            spread: nanos(self.spread),
            stuck: nanos(self.stuck),
            ..Settings::default()
        })
    }
}

fn say(what: &str) {
    eprintln!("aniseyoke-control: {what}");
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve { listen, door, dir, purges, batch, grace, forget, fan } => {
            let taken = purges.then(|| fan.settings(batch, grace, forget)).transpose();
            taken.and_then(|taken| serve(listen, door, &dir, taken.map(|s| (s, fan.log_entries, batch))))
        }
        Command::Relay { listen, upstream, name, door, batch, grace, forget, fan } => {
            let settings = fan.settings(batch, grace, forget);
            settings.and_then(|settings| {
                let boot = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64);
                let entries = fan.log_entries;
                pass_on(listen, door, Relaying { name, upstream, settings, entries, boot, say })
            })
        }
        Command::Purge { door, publisher, sequence, keys } => {
            ask(door, &FromOperator::Purge { publisher, sequence, keys })
        }
        Command::Purges { door } => ask(door, &FromOperator::Purges),
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

/// The epoch of this start.
fn epoch(dir: &Path) -> Result<u64, String> {
    let seconds = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_secs());
    raise_epoch(&mut Disk, dir, seconds).map_err(|e| format!("{}: {e}", dir.join("epoch").display()))
}

async fn bound(what: &str, addr: SocketAddr) -> Result<TcpListener, String> {
    let listener = TcpListener::bind(addr).await.map_err(|e| format!("{addr}: {e}"))?;
    say(&format!("{what} {}", listener.local_addr().map_err(|e| e.to_string())?));
    Ok(listener)
}

fn pass_on(listen: SocketAddr, door: Option<SocketAddr>, relaying: Relaying) -> Result<(), String> {
    LocalSet::new().block_on(&runtime()?, async move {
        let proxies = bound("proxies connect at", listen).await?;
        let door = match door {
            Some(door) => Some(bound("operators call at", door).await?),
            None => None,
        };
        match relay(relaying, proxies, door).await {}
    })
}

fn serve(
    listen: SocketAddr,
    door: SocketAddr,
    dir: &Path,
    purges: Option<(Settings, usize, Duration)>,
) -> Result<(), String> {
    std::fs::create_dir_all(dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let mut store = Store::new(Disk, dir.join("newest"));
    let began = epoch(dir)?;
    let publisher = Publisher::new(began);
    let (service, root) = match purges {
        Some((settings, entries, batch)) => {
            let log = dir.join("purges");
            let root = Root::open(publisher, &log, (settings, entries), batch, began, say)?;
            (root.service.clone(), Some(root))
        }
        None => (Service::new(publisher), None),
    };
    let found = store.find().map_err(|e| format!("{}: {e}", dir.display()))?;
    service.stores(move |version| {
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let kept = Kept { version: version.clone(), at_ms };
        store.keep(&kept).map_err(|e| format!("{}: {e}", store.path().display()))
    });
    match found {
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
        let proxies = bound("proxies connect at", listen).await?;
        let operators = bound("operators call at", door).await?;
        if let Some(root) = root {
            let dir: Rc<Path> = dir.into();
            tokio::task::spawn_local(root.keep(move || epoch(&dir)));
        }
        tokio::task::spawn_local(service.clone().serve(proxies));
        tokio::task::spawn_local(service.clone().hear(operators));
        loop {
            sleep(SETTLE_EVERY).await;
            service.settle();
        }
    })
}
