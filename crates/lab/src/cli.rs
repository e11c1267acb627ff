//! The command line: one subcommand for each kind of run.

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

/// aniseyoke's laboratory: an emulated site, a load tool and an auditor, on loopback.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a day before the real proxy: site, load and audit; 1 is returned if a rule was broken.
    Try(trial::TryArgs),
    /// Play a day before the proxy and before a bare pass-through in turn, and compare what they cost.
    Compare(trial::CompareArgs),
    /// Play a day at several multiples of its rate, before one or more builds, and plot goodput against load.
    Sweep(trial::SweepArgs),
    /// Play a day in simulated time, with the decision module of each proxy of a whole fleet.
    Sim(sim::SimArgs),
    /// Play an experiment of the fault rig: real proxies, relays on every link, faults by a schedule.
    Chaos(chaos::ChaosArgs),
    /// Restart real proxies under load, as seeds decide: signals in series, crowds, hanging nodes, the earliest kill.
    Soak(soak::SoakArgs),
    /// Start and end the real proxy many times, with calls held up and a log that is not read, as a seed decides.
    Starts(starts::StartsArgs),
    /// Play a scale experiment: real proxies beside hollow ones, purges and changes, before one control service or relays.
    Scale(scale::ScaleArgs),
    /// Publish versions of the configuration to a fleet of real proxies, and measure what they take.
    Versions(versions::VersionsArgs),
    /// Measure what one more node, change, route, proxy or request costs each role, and fit it.
    Slopes(slopes::SlopesArgs),
    /// Work the capacity page out from slopes and runs, or check that it says what they say.
    Capacity(capacity::CapacityArgs),
    /// Serve as a memcached server of the binary protocol until Ctrl-C, for client libraries of others.
    Keeper(memcached_server::MemcachedServerArgs),
    /// Open a site and keep it until Ctrl-C; a configuration for each proxy is written.
    Site(SiteArgs),
    /// Send a day's load to proxies, or to anything that speaks the platform's protocol.
    Load(LoadArgs),
    /// Days: list, check and show them.
    #[command(subcommand)]
    Day(DayCommand),
    /// Serve as the bare pass-through of `compare`, by $PROXY_CONFIG.
    #[command(hide = true)]
    Floor,
    /// Hold hollow members of `scale`, as standard input says.
    #[command(hide = true)]
    Hollow,
}

/// Which day.
#[derive(Args)]
struct DayArgs {
    /// A built-in day, or a TOML file.
    #[arg(long, default_value = "deploy")]
    day: String,
    /// Another seed than the day's.
    #[arg(long)]
    seed: Option<u64>,
    /// Squeeze the day, faults and all, to this part of its length.
    #[arg(long)]
    squeeze: Option<f64>,
    /// Another rate than the day's, in first tries a second.
    #[arg(long)]
    rate: Option<f64>,
}

impl DayArgs {
    fn open(&self) -> Result<Day, CliError> {
        let mut day = Day::open(&self.day)?;
        if let Some(fraction) = self.squeeze {
            if !(fraction > 0.0 && fraction <= 1.0) {
                return Err(CliError::Argument(format!(
                    "--squeeze {fraction} is not a part above 0 and at most 1"
                )));
            }
            day = day.shortened(fraction);
        }
        if let Some(rate) = self.rate {
            if !(rate > 0.0 && rate <= 200_000.0) {
                return Err(CliError::Argument(format!("--rate {rate} is not above 0 and at most 200000")));
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
    /// Where the proxies' configurations are written.
    #[arg(long, default_value = "site")]
    dir: PathBuf,
}

#[derive(Args)]
struct LoadArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// An address; may be given several times.
    #[arg(long, required = true)]
    target: Vec<SocketAddr>,
    /// Connections at most.
    #[arg(long, default_value_t = 512)]
    connections: usize,
}

#[derive(Subcommand)]
enum DayCommand {
    /// Name the built-in days.
    List,
    /// Say what is wrong with a day's file.
    Check {
        /// The file, or a built-in day.
        file: String,
    },
    /// Print a built-in day, to begin one of your own with.
    Show {
        /// Its name.
        name: String,
    },
}

/// Does what the command line asks.
pub fn run() -> ExitCode {
    let command = Cli::parse().command;
    aniseyoke_lab_process::raise_descriptor_limit();
    let done = match command {
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
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

/// A flag that Ctrl-C sets; a second Ctrl-C ends the program as ever.
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

/// Steps of a progress bar.
const PROGRESS_STEPS: f64 = 1000.0;

fn progress_bar() -> Result<ProgressBar, CliError> {
    let bar = ProgressBar::new(PROGRESS_STEPS as u64);
    bar.set_style(ProgressStyle::with_template("{msg} [{wide_bar}] {percent}%")?);
    Ok(bar)
}

fn set_progress(bar: &ProgressBar, fraction: f64) {
    bar.set_position((fraction * PROGRESS_STEPS) as u64);
}

/// The text of a file.
fn read_file(path: &Path) -> Result<String, CliError> {
    Ok(std::fs::read_to_string(path).map_err(FileError::at(path))?)
}

/// The folder for what a run writes: the one that is named, or a new one in the current folder.
fn output_folder(named: Option<&Path>, prefix: &str) -> Result<PathBuf, CliError> {
    let folder = match named {
        Some(folder) => folder.to_owned(),
        None => tempfile::Builder::new().prefix(prefix).tempdir_in(".").map_err(CliError::System)?.keep(),
    };
    std::fs::create_dir_all(&folder).map_err(FileError::at(&folder))?;
    Ok(folder)
}

/// A runtime on the current thread.
fn current_thread_runtime() -> Result<tokio::runtime::Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::System)
}

/// Writes figures as JSON, if a file is named.
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
    println!("the day has begun; Ctrl-C ends it");
    site.begin();
    while !stop.load(Ordering::Relaxed) {
        while let Ok(proxy) = site.proxy_restarts.try_recv() {
            println!("the day wants proxy {proxy} restarted");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let counts = site.close();
    println!(
        "{} hits, {} misses, {} asked of the ledger",
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
        "{} requests in {seconds:.2} s, {rate:.0} a second; {} tries",
        stats.all.requests(),
        stats.attempts
    );
    println!(
        "goodput {:.3}; served p50 {:.2} ms, p99 {:.2} ms",
        stats.all.goodput(),
        served.p50_ms,
        served.p99_ms
    );
    println!(
        "sent later than due: p50 {:.3} ms, p99 {:.3} ms, at most {:.1} ms",
        late.p50_ms, late.p99_ms, late.max_ms
    );
    if stats.not_sent > 0 {
        println!("VOID: {} arrivals were not sent, since too many were out", stats.not_sent);
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
            println!("{file}: sound; {arrivals} arrivals, {} troubles", day.faults.len());
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
