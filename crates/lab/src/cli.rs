//! What can be asked of the laboratory.

mod capacity;
mod chaos;
mod keeper;
mod scale;
mod sim;
mod slopes;
mod versions;

use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::{Clock, MS};
use aniseyoke_lab_day::{proxy_config, Day, BUILTIN};
use aniseyoke_lab_load::{Load, Percentiles};
use aniseyoke_lab_process::{find_file, find_proxy, Program, Subject};
use aniseyoke_lab_site::{Front, Site};
use aniseyoke_lab_trial::{Options, Report};
use clap::{Args, Parser, Subcommand};
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
    Try(Try),
    /// Play a day before the proxy and before a bare pass-through in turn, and compare what they cost.
    Compare(Compare),
    /// Play a day at several multiples of its rate, before one or more builds, and plot goodput against load.
    Sweep(Sweep),
    /// Play a day in simulated time, with the decision module of each proxy of a whole fleet.
    Sim(sim::Simulate),
    /// Play an experiment of the fault rig: real proxies, relays on every link, faults by a schedule.
    Chaos(chaos::Chaos),
    /// Play a scale experiment: real proxies beside hollow ones, purges and changes, before one control service or relays.
    Scale(scale::Scale),
    /// Publish versions of the configuration to a fleet of real proxies, and measure what they take.
    Versions(versions::Versions),
    /// Measure what one more node, change, route, proxy or request costs each role, and fit it.
    Slopes(slopes::Measure),
    /// Work the capacity page out from slopes and runs, or check that it says what they say.
    Capacity(capacity::Capacity),
    /// Serve as a memcached server of the binary protocol until Ctrl-C, for client libraries of others.
    Keeper(keeper::Keep),
    /// Open a site and keep it until Ctrl-C; a configuration for each proxy is written.
    Site(Stand),
    /// Send a day's load to proxies, or to anything that speaks the platform's protocol.
    Load(Send),
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
struct Which {
    /// A built-in day, or a TOML file.
    #[arg(long, default_value = "deploy")]
    day: String,
    /// Another seed than the day's.
    #[arg(long)]
    seed: Option<u64>,
    /// Squeeze the day, troubles and all, to this part of its length.
    #[arg(long)]
    squeeze: Option<f64>,
    /// Another rate than the day's, in first tries a second.
    #[arg(long)]
    rate: Option<f64>,
}

impl Which {
    fn open(&self) -> Result<Day, String> {
        let mut day = Day::open(&self.day).map_err(|e| e.to_string())?;
        if let Some(part) = self.squeeze {
            if !(part > 0.0 && part <= 1.0) {
                return Err(format!("--squeeze {part} is not a part above 0 and at most 1"));
            }
            day = day.squeezed(part);
        }
        if let Some(rate) = self.rate {
            if !(rate > 0.0 && rate <= 200_000.0) {
                return Err(format!("--rate {rate} is not above 0 and at most 200000"));
            }
            day.load.rate = rate;
        }
        day.seed = self.seed.unwrap_or(day.seed);
        Ok(day)
    }
}

#[derive(Args)]
struct Try {
    #[command(flatten)]
    which: Which,
    /// The proxy's program; otherwise the one beside this, built first under cargo.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// The operator's file that the proxies read.
    #[arg(long)]
    operator: Option<PathBuf>,
    /// Keep the figures as JSON in this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct Compare {
    #[command(flatten)]
    which: Which,
    /// The proxy's program, as for `try`.
    #[arg(long)]
    proxy: Option<PathBuf>,
    /// Pairs of trials; the medians are compared.
    #[arg(long, default_value_t = 3)]
    pairs: usize,
}

#[derive(Args)]
struct Sweep {
    #[command(flatten)]
    which: Which,
    /// Programs to try, NAME=FILE each, or NAME=FILE,OPERATOR with an operator's file; otherwise the one beside this, as for `try`.
    #[arg(long)]
    build: Vec<String>,
    /// Multiples of the day's rate.
    #[arg(long, value_delimiter = ',', default_value = "0.5,1,1.5,2,3,4")]
    times: Vec<f64>,
    /// Where the plot goes.
    #[arg(long)]
    svg: Option<PathBuf>,
    /// Keep the figures as JSON in this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Args)]
struct Stand {
    #[command(flatten)]
    which: Which,
    /// Where the proxies' configurations are written.
    #[arg(long, default_value = "site")]
    dir: PathBuf,
}

#[derive(Args)]
struct Send {
    #[command(flatten)]
    which: Which,
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
    aniseyoke_lab_process::raise_descriptors();
    let done = match command {
        Command::Try(args) => try_day(&args),
        Command::Compare(args) => compare(&args),
        Command::Sweep(args) => sweep(&args),
        Command::Keeper(args) => keeper::run(&args),
        Command::Sim(args) => sim::run(&args),
        Command::Chaos(args) => chaos::run(&args),
        Command::Versions(args) => versions::run(&args),
        Command::Slopes(args) => slopes::run(&args),
        Command::Capacity(args) => capacity::run(&args),
        Command::Site(args) => stand(&args),
        Command::Load(args) => send(&args),
        Command::Day(command) => days(&command),
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

fn play(day: &Day, subject: &dyn Subject, stop: &Arc<AtomicBool>) -> Result<Report, String> {
    let bar = ProgressBar::new(1000);
    let style = ProgressStyle::with_template("{msg} [{wide_bar}] {percent}%").map_err(|e| e.to_string())?;
    bar.set_style(style);
    bar.set_message(day.name.clone());
    let progress: Box<dyn Fn(f64)> = Box::new(|part| bar.set_position((part * 1000.0) as u64));
    let report =
        aniseyoke_lab_trial::run(day, subject, &Options { stop: stop.clone(), progress: Some(progress) });
    bar.finish_and_clear();
    report
}

fn try_day(args: &Try) -> Result<bool, String> {
    let day = args.which.open()?;
    let mut subject = Program::new(find_proxy(args.proxy.clone())?);
    subject.operator = args.operator.as_deref().map(find_file).transpose()?;
    let report = play(&day, &subject, &until_interrupted())?;
    print!("{}", report.text());
    keep(&report, args.json.as_deref())?;
    Ok(report.good())
}

/// Keeps figures as JSON, if a file is named.
fn keep(figures: &impl serde::Serialize, file: Option<&Path>) -> Result<(), String> {
    let Some(file) = file else { return Ok(()) };
    let text = serde_json::to_string_pretty(figures).map_err(|e| e.to_string())?;
    std::fs::write(file, text + "\n").map_err(|e| format!("{}: {e}", file.display()))
}

fn sweep(args: &Sweep) -> Result<bool, String> {
    let day = args.which.open()?;
    if args.times.iter().any(|t| !(*t > 0.0 && t * day.load.rate <= 200_000.0)) {
        return Err("--times: each is above 0, and at most 200,000 requests a second in all".into());
    }
    let mut builds = Vec::new();
    for build in &args.build {
        let (name, file) = build.split_once('=').ok_or(format!("--build {build}: it is NAME=FILE"))?;
        let (file, operator) = file.split_once(',').map_or((file, None), |(file, o)| (file, Some(o)));
        let mut program = Program::new(find_proxy(Some(file.into()))?);
        program.operator = operator.map(|o| find_file(o.as_ref())).transpose()?;
        builds.push((name.to_owned(), program));
    }
    if builds.is_empty() {
        builds.push(("aniseyoke".to_owned(), Program::new(find_proxy(None)?)));
    }
    let stop = until_interrupted();
    let mut curves = Vec::new();
    for (name, subject) in builds {
        let options = Options { stop: stop.clone(), progress: None };
        curves.push(aniseyoke_lab_trial::sweep(&name, &day, &subject, &args.times, &options)?);
    }
    println!("day {}, {} requests a second at 1 time", day.name, day.load.rate);
    for curve in &curves {
        println!(
            "\n{:<10}{:>8}{:>10}{:>10}{:>10}{:>10}",
            curve.name, "times", "offered", "good", "refused", "p99 ms"
        );
        for p in &curve.points {
            let audit = if p.clean { "" } else { "  RULES BROKEN" };
            println!(
                "{:<10}{:>8.2}{:>10.0}{:>10.0}{:>10.3}{:>10.0}{audit}",
                "", p.times, p.offered, p.good, p.refused, p.p99_ms
            );
        }
        println!("peak {:.0} a second; {:.1}% of it held beyond", curve.peak(), curve.held() * 100.0);
    }
    if let Some(svg) = &args.svg {
        aniseyoke_lab_trial::plot(&format!("Goodput against load, day {}", day.name), &curves, svg)?;
    }
    keep(&curves, args.json.as_deref())?;
    Ok(curves.iter().all(|c| c.points.iter().all(|p| p.clean)))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

fn compare(args: &Compare) -> Result<bool, String> {
    let day = args.which.open()?;
    let proxy = Program::new(find_proxy(args.proxy.clone())?);
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let floor = Program { args: vec!["floor".into()], ..Program::new(own) };
    let stop = until_interrupted();
    let (mut ours, mut least) = (Vec::new(), Vec::new());
    for _ in 0..args.pairs.max(1) {
        for (subject, reports) in [(&floor, &mut least), (&proxy, &mut ours)] {
            let report = play(&day, subject, &stop)?;
            if let Some(why) = &report.void {
                return Err(format!("a trial is void: {why}"));
            }
            if report.all.outcomes.keys().any(|outcome| outcome != "served") {
                return Err(format!(
                    "not everything was served, so costs can't be compared:\n{}",
                    report.text()
                ));
            }
            reports.push(report);
        }
    }
    println!("day {}, {} requests a second, {} pairs, medians", day.name, day.load.rate, ours.len());
    println!("{:<28}{:>12}{:>12}{:>8}", "", "floor", "proxy", "ratio");
    type Figure = (&'static str, fn(&Report) -> f64);
    let figures: [Figure; 6] = [
        ("CPU for each try, us", |r| r.cpu_us),
        ("latency p50, ms", |r| r.all.served.p50_ms),
        ("latency p90, ms", |r| r.all.served.p90_ms),
        ("latency p99, ms", |r| r.all.served.p99_ms),
        ("memory at most, MB", |r| r.proxies.iter().map(|p| p.memory_mb).sum()),
        ("descriptors at most", |r| r.proxies.iter().map(|p| p.descriptors as f64).sum()),
    ];
    for (name, figure) in figures {
        let (a, b) = (median(least.iter().map(figure).collect()), median(ours.iter().map(figure).collect()));
        println!("{name:<28}{a:>12.2}{b:>12.2}{:>8.2}", b / a);
    }
    let clean = ours.iter().all(|r| r.audit.clean());
    println!("audit of the proxy: {}", if clean { "no rule broken" } else { "rules broken" });
    Ok(clean)
}

fn stand(args: &Stand) -> Result<bool, String> {
    let day = args.which.open()?;
    let stop = until_interrupted();
    let clock = Clock::start();
    let mut site =
        Site::open(&day, clock, move || Recorder::nowhere(clock)).map_err(|e| format!("site: {e}"))?;
    std::fs::create_dir_all(&args.dir).map_err(|e| format!("{}: {e}", args.dir.display()))?;
    for (me, discovery) in site.discovery.iter().enumerate() {
        let file = args.dir.join(format!("proxy-{me}.json"));
        let config = proxy_config(&day, me, *discovery, &site.known[me]).to_string();
        std::fs::write(&file, config).map_err(|e| format!("{}: {e}", file.display()))?;
        println!("proxy {me}: PROXY_CONFIG={} (discovery at {discovery})", file.display());
    }
    for (n, addr) in site.members.iter().enumerate() {
        println!("member {n}: {addr}");
    }
    println!("the day has begun; Ctrl-C ends it");
    site.begin();
    while !stop.load(Ordering::Relaxed) {
        while let Ok(proxy) = site.orders.try_recv() {
            println!("the day wants proxy {proxy} restarted");
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let counts = site.close();
    println!("{} hits, {} misses, {} asked of the ledger", counts.hits, counts.misses, counts.ledger_asks);
    Ok(true)
}

fn send(args: &Send) -> Result<bool, String> {
    let day = args.which.open()?;
    let stop = until_interrupted();
    let clock = Clock::start();
    let front = Arc::new(Front::new(&args.target, day.site.proxy.notice));
    let load = Load::start(&day, clock, clock.now() + 10 * MS, front, args.connections, move || {
        Recorder::nowhere(clock)
    })
    .map_err(|e| format!("load: {e}"))?;
    while !load.over() {
        std::thread::sleep(Duration::from_millis(20));
        if stop.load(Ordering::Relaxed) {
            load.progress.stop.store(true, Ordering::Relaxed);
        }
    }
    let seconds = clock.now() as f64 / 1e9;
    let tally = load.finish();
    let (served, late): (Percentiles, Percentiles) = ((&tally.all.served).into(), (&tally.lateness).into());
    let rate = tally.all.requests() as f64 / seconds;
    println!(
        "{} requests in {seconds:.2} s, {rate:.0} a second; {} tries",
        tally.all.requests(),
        tally.tries
    );
    println!(
        "goodput {:.3}; served p50 {:.2} ms, p99 {:.2} ms",
        tally.all.goodput(),
        served.p50_ms,
        served.p99_ms
    );
    println!(
        "sent later than due: p50 {:.3} ms, p99 {:.3} ms, at most {:.1} ms",
        late.p50_ms, late.p99_ms, late.max_ms
    );
    if tally.not_sent > 0 {
        println!("VOID: {} arrivals were not sent, since too many were out", tally.not_sent);
    }
    Ok(tally.not_sent == 0)
}

fn days(command: &DayCommand) -> Result<bool, String> {
    match command {
        DayCommand::List => {
            for (name, text) in BUILTIN {
                let day = Day::parse(name, text).map_err(|e| e.to_string())?;
                println!("{name:<10}{:>4} s  {}", day.length.as_secs(), day.about);
            }
        }
        DayCommand::Check { file } => {
            let day = Day::open(file).map_err(|e| e.to_string())?;
            let arrivals = aniseyoke_lab_load::Plan::new(&day).count();
            println!("{file}: sound; {arrivals} arrivals, {} troubles", day.troubles.len());
        }
        DayCommand::Show { name } => {
            let text = aniseyoke_lab_day::builtin(name).ok_or(format!("there is no built-in day {name}"))?;
            print!("{text}");
        }
    }
    Ok(true)
}

fn pass_through() -> Result<bool, String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{path}: {e}"))?;
    let config = serde_json::from_str(&text).map_err(|e| format!("{path}: {e}"))?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, crate::pass_through::serve(&config))?;
    Ok(true)
}
