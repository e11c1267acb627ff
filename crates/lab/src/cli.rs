//! The command-line interface, with one subcommand for each kind of run.

mod capacity;
mod chaos;
mod error;
mod memcached_server;
mod scale;
mod sim;
mod slopes;
mod soak;
mod starts;
mod trial;
mod versions;

use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::{Clock, MILLISECOND};
use aniseyoke_lab_day::{proxy_config, Day, FileError, BUILTIN};
use aniseyoke_lab_load::{Load, LoadOptions, Percentiles};
use aniseyoke_lab_site::{LoadBalancer, Site};
use clap::{Args, Parser, Subcommand};
use error::CliError;
use indicatif::{ProgressBar, ProgressStyle};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// aniseyoke's laboratory: an emulated site, a load generator and an auditor, on the loopback interface.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a day against the real proxy, with site, load and audit; exits with 1 if a rule was broken.
    Try(trial::TryArgs),
    /// Run a day against the proxy and against a minimal pass-through in turn, and compare their costs.
    Compare(trial::CompareArgs),
    /// Run a day at several multiples of its rate, against one or more builds, and plot goodput against load.
    Sweep(trial::SweepArgs),
    /// Run a day in simulated time, with the decision module of each proxy of a fleet.
    Sim(sim::SimArgs),
    /// Run an experiment of the fault rig: real proxies, relays on every link, scheduled faults.
    Chaos(chaos::ChaosArgs),
    /// Restart real proxies under load, determined by seeds: series of signals, crowds of clients, hanging nodes,
    /// kills as early as possible.
    Soak(soak::SoakArgs),
    /// Start and stop the real proxy many times, with delayed system calls and an unread log, determined by a seed.
    Starts(starts::StartsArgs),
    /// Run a scale experiment: real and hollow proxies, purges and changes, with one control service or with relays.
    Scale(scale::ScaleArgs),
    /// Publish versions of the configuration to a fleet of real proxies, and measure their costs.
    Versions(versions::VersionsArgs),
    /// Measure and fit the cost of one more node, change, route, proxy or request in each role.
    Slopes(slopes::SlopesArgs),
    /// Generate the capacity page from slopes and runs, or check that it matches them.
    Capacity(capacity::CapacityArgs),
    /// Serve as a memcached server of the binary protocol until Ctrl-C, for third-party client libraries.
    Keeper(memcached_server::MemcachedServerArgs),
    /// Run an emulated site until Ctrl-C, and write a configuration for each proxy.
    Site(SiteArgs),
    /// Send a day's load to proxies, or to any server that implements the platform's protocol.
    Load(LoadArgs),
    /// List, check and show days.
    #[command(subcommand)]
    Day(DayCommand),
    /// Serve as the pass-through of `compare`, configured by $PROXY_CONFIG.
    #[command(hide = true)]
    Floor,
    /// Host hollow members of `scale`, as specified on standard input.
    #[command(hide = true)]
    Hollow,
}

/// Selects a day.
#[derive(Args)]
struct DayArgs {
    /// Name of a built-in day, or path of a TOML file.
    #[arg(long, default_value = "deploy")]
    day: String,
    /// Overrides the day's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Shorten the day, including its faults, to this fraction of its length.
    #[arg(long)]
    squeeze: Option<f64>,
    /// Overrides the day's rate, in first attempts per second.
    #[arg(long)]
    rate: Option<f64>,
}

impl DayArgs {
    fn open(&self) -> Result<Day, CliError> {
        let mut day = Day::open(&self.day)?;
        if let Some(fraction) = self.squeeze {
            if !(fraction > 0.0 && fraction <= 1.0) {
                return Err(CliError::Argument(format!(
                    "--squeeze {fraction}: the fraction must be above 0 and at most 1"
                )));
            }
            day = day.shortened(fraction);
        }
        if let Some(rate) = self.rate {
            if !(rate > 0.0 && rate <= 200_000.0) {
                return Err(CliError::Argument(format!(
                    "--rate {rate}: the rate must be above 0 and at most 200000"
                )));
            }
            day.load.rate = rate;
        }
        day.seed = self.seed.unwrap_or(day.seed);
        Ok(day)
    }
}

#[derive(Args)]
struct SiteArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Directory for the configurations of the proxies.
    #[arg(long, default_value = "site")]
    dir: PathBuf,
}

#[derive(Args)]
struct LoadArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Address of a target; may be given several times.
    #[arg(long, required = true)]
    target: Vec<SocketAddr>,
    /// Maximum number of connections.
    #[arg(long, default_value_t = 512)]
    connections: usize,
}

#[derive(Subcommand)]
enum DayCommand {
    /// List the built-in days.
    List,
    /// Validate a day's file.
    Check {
        /// Path of the file, or name of a built-in day.
        file: String,
    },
    /// Print a built-in day, as a template for a new one.
    Show {
        /// Name of the day.
        name: String,
    },
}

/// Parses the command line and runs the subcommand.
pub fn run() -> ExitCode {
    let command = Cli::parse().command;
    aniseyoke_lab_process::raise_descriptor_limit();
    let result = match command {
        Command::Try(args) => trial::try_day(&args),
        Command::Compare(args) => trial::compare(&args),
        Command::Sweep(args) => trial::sweep(&args),
        Command::Keeper(args) => memcached_server::run(&args),
        Command::Sim(args) => sim::run(&args),
        Command::Chaos(args) => chaos::run(&args),
        Command::Soak(args) => soak::run(&args),
        Command::Starts(args) => starts::run(&args),
        Command::Versions(args) => versions::run(&args),
        Command::Slopes(args) => slopes::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Site(args) => open_site(&args),
        Command::Load(args) => run_load(&args),
        Command::Day(command) => manage_days(&command),
        Command::Floor => pass_through(),
        Command::Scale(args) => scale::run(&args),
        Command::Hollow => scale::hollow(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

/// Returns a flag that Ctrl-C sets. A second Ctrl-C exits the program.
fn until_interrupted() -> Arc<AtomicBool> {
    let stop = Arc::<AtomicBool>::default();
    let flag = stop.clone();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
                flag.store(true, Ordering::Relaxed);
                if runtime.block_on(tokio::signal::ctrl_c()).is_ok() {
                    std::process::exit(130);
                }
            }
        }
    });
    stop
}

/// Resolution of a progress bar.
const PROGRESS_STEPS: f64 = 1000.0;

fn progress_bar() -> Result<ProgressBar, CliError> {
    let bar = ProgressBar::new(PROGRESS_STEPS as u64);
    bar.set_style(ProgressStyle::with_template("{msg} [{wide_bar}] {percent}%")?);
    Ok(bar)
}

fn set_progress(bar: &ProgressBar, fraction: f64) {
    bar.set_position((fraction * PROGRESS_STEPS) as u64);
}

/// Reads a text file.
fn read_file(path: &Path) -> Result<String, CliError> {
    Ok(std::fs::read_to_string(path).map_err(FileError::at(path))?)
}

/// Returns the output folder of a run: the requested one, or a new one in the current folder.
fn output_folder(requested: Option<&Path>, prefix: &str) -> Result<PathBuf, CliError> {
    let folder = match requested {
        Some(folder) => folder.to_owned(),
        None => tempfile::Builder::new().prefix(prefix).tempdir_in(".").map_err(CliError::System)?.keep(),
    };
    std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
    Ok(folder)
}

/// Creates a single-threaded runtime.
fn current_thread_runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::System)
}

/// Writes figures as JSON, if a file is given.
fn save_json(figures: &impl serde::Serialize, file: Option<&Path>) -> Result<(), CliError> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(figures).map_err(CliError::Json)?;
    std::fs::write(file, text + "\n").map_err(FileError::at(file))?;
    Ok(())
}

fn open_site(args: &SiteArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let stop = until_interrupted();
    let clock = Clock::start();
    let mut site = Site::open(&day, clock, move || Recorder::discarding(clock)).map_err(CliError::Site)?;
    std::fs::create_dir_all(&args.dir).map_err(FileError::at(&args.dir))?;
    for (index, discovery) in site.discovery.iter().enumerate() {
        let file = args.dir.join(format!("proxy-{index}.json"));
        let config = proxy_config(&day, index, *discovery, &site.initial_lists[index]).to_string();
        std::fs::write(&file, config).map_err(FileError::at(&file))?;
        println!("proxy {index}: PROXY_CONFIG={} (discovery at {discovery})", file.display());
    }
    for (n, addr) in site.members.iter().enumerate() {
        println!("member {n}: {addr}");
    }
    println!("the day has started; press Ctrl-C to stop it");
    site.begin();
    while !stop.load(Ordering::Relaxed) {
        while let Ok(proxy) = site.proxy_restarts.try_recv() {
            println!("the day requests a restart of proxy {proxy}");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let counts = site.close();
    println!(
        "{} hits, {} misses, {} requests to the ledger",
        counts.hits, counts.misses, counts.origin_requests
    );
    Ok(true)
}

fn run_load(args: &LoadArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let stop = until_interrupted();
    let clock = Clock::start();
    let load_balancer = Arc::new(LoadBalancer::new(&args.target, day.site.proxy.detection_delay));
    let load = Load::start(
        &day,
        clock,
        clock.now() + 10 * MILLISECOND,
        load_balancer,
        LoadOptions::new(args.connections),
        move || Recorder::discarding(clock),
    )
    .map_err(CliError::Load)?;
    while !load.finished() {
        std::thread::sleep(Duration::from_millis(20));
        if stop.load(Ordering::Relaxed) {
            load.progress.stop.store(true, Ordering::Relaxed);
        }
    }
    let seconds = clock.now() as f64 / 1e9;
    let stats = load.finish();
    let (served, late): (Percentiles, Percentiles) = ((&stats.all.served).into(), (&stats.lateness).into());
    let rate = stats.all.requests() as f64 / seconds;
    println!(
        "{} requests in {seconds:.2} s, {rate:.0} per second; {} attempts",
        stats.all.requests(),
        stats.attempts
    );
    println!(
        "goodput {:.3}; served p50 {:.2} ms, p99 {:.2} ms",
        stats.all.goodput(),
        served.p50_ms,
        served.p99_ms
    );
    println!("send delay: p50 {:.3} ms, p99 {:.3} ms, max {:.1} ms", late.p50_ms, late.p99_ms, late.max_ms);
    if stats.not_sent > 0 {
        println!("VOID: {} arrivals were not sent because too many requests were in flight", stats.not_sent);
    }
    Ok(stats.not_sent == 0)
}

fn manage_days(command: &DayCommand) -> Result<bool, CliError> {
    match command {
        DayCommand::List => {
            for (name, text) in BUILTIN {
                let day = Day::parse(name, text)?;
                println!("{name:<10}{:>4} s  {}", day.length.as_secs(), day.description);
            }
        }
        DayCommand::Check { file } => {
            let day = Day::open(file)?;
            let arrivals = aniseyoke_lab_load::Arrivals::new(&day).count();
            println!("{file}: valid; {arrivals} arrivals, {} faults", day.faults.len());
        }
        DayCommand::Show { name } => {
            let text =
                aniseyoke_lab_day::builtin(name).ok_or_else(|| CliError::NoBuiltinDay(name.clone()))?;
            print!("{text}");
        }
    }
    Ok(true)
}

fn pass_through() -> Result<bool, CliError> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| CliError::NoProxyConfig)?;
    let text = read_file(Path::new(&path))?;
    let config = serde_json::from_str(&text).map_err(|source| CliError::JsonFile { file: path, source })?;
    let runtime = current_thread_runtime()?;
    tokio::task::LocalSet::new().block_on(&runtime, crate::pass_through::serve(&config))?;
    Ok(true)
}
