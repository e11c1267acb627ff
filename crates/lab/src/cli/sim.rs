//! `sim`: runs a day in simulated time.

use super::error::CliError;
use super::DayArgs;
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_sim::{Counts, ListService, Options, Sim};
use clap::Args;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// Run a day in simulated time.
#[derive(Args)]
pub struct SimArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Number of proxies; by default the day's.
    #[arg(long)]
    proxies: Option<usize>,
    /// Number of cache nodes; by default the day's. The request rate and the origin's capacity scale with it.
    #[arg(long)]
    nodes: Option<usize>,
    /// Number of seeds to run, consecutive from the day's seed; they run in parallel on all cores.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// How long the load runs before the reported period, so that caches fill.
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    warm: Duration,
    /// How unevenly clients are distributed over proxies; 0 means evenly.
    #[arg(long, default_value_t = 0.6)]
    uneven: f64,
    /// Fraction of all attempts that goes to the first proxy, in addition to its share of the others.
    #[arg(long, default_value_t = 0.0)]
    heavy: f64,
    /// Simulate the list service as well, and count the calls to it.
    #[arg(long)]
    list: bool,
    /// Proxies poll the list service in their own time slots, as `[list]` in the operator file configures.
    #[arg(long, requires = "list")]
    paced: bool,
    /// Calls per second that the list service accepts; it rejects calls beyond that.
    #[arg(long, requires = "list")]
    list_takes: Option<u64>,
    /// How long the list service is down from the start.
    #[arg(long, requires = "list", default_value = "0s", value_parser = humantime::parse_duration)]
    list_down: Duration,
    /// Connections per second that all proxies together open to a node, as `[opening]` configures; by default
    /// unlimited.
    #[arg(long)]
    opens: Option<f64>,
    /// The same limit for the origin.
    #[arg(long, requires = "opens", default_value_t = 400.0)]
    opens_ledger: f64,
    /// Seconds per line of the table.
    #[arg(long, default_value_t = 1)]
    step: usize,
    /// Write seed, figures of each second and attempts at cold nodes (`ramp`) of each run to this file, as JSON.
    #[arg(long)]
    json: Option<std::path::PathBuf>,
}

struct SeedRun {
    seed: u64,
    counts: Counts,
    elapsed: Duration,
}

/// Validates the arguments and returns the options of the simulation.
fn options(args: &SimArgs) -> Result<Options, CliError> {
    if !(0.0..1.0).contains(&args.heavy) {
        return Err(CliError::Argument(format!(
            "--heavy {}: the fraction must be at least 0 and below 1",
            args.heavy
        )));
    }
    if !(0.0..=10.0).contains(&args.uneven) {
        return Err(CliError::Argument(format!("--uneven {}: the value must be from 0 to 10", args.uneven)));
    }
    if args.opens.is_some_and(|o| o.is_nan() || o <= 0.0)
        || args.opens_ledger.is_nan()
        || args.opens_ledger <= 0.0
    {
        return Err(CliError::Argument("--opens and --opens-ledger must be above 0".into()));
    }
    let list = args.list.then(|| ListService {
        paced: args.paced,
        max_per_second: args.list_takes,
        retry_after: Duration::from_secs(1),
        down: args.list_down,
    });
    Ok(Options {
        warm_up: args.warm,
        unevenness: args.uneven,
        first_proxy_fraction: args.heavy,
        crowd: None,
        list,
        connection_rates: args.opens.map(|node| (node, args.opens_ledger)),
    })
}

/// Runs the day with each seed. Returns whether no rule was broken.
pub fn run(args: &SimArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let (proxies, nodes) =
        (args.proxies.unwrap_or(day.site.proxy.count), args.nodes.unwrap_or(day.site.cache.count));
    let day = day.resized(proxies, nodes)?;
    let options = options(args)?;
    let unsimulated_parts = Sim::unsimulated_parts(&day);
    if !unsimulated_parts.is_empty() {
        println!("not simulated: {}", unsimulated_parts.join(", "));
    }
    let started = Instant::now();
    let play = |n: u64| {
        let mut day = day.clone();
        day.seed += n;
        let start = Instant::now();
        let counts = Sim::new(&day, options.clone()).run();
        SeedRun { seed: day.seed, counts, elapsed: start.elapsed() }
    };
    let played: Vec<SeedRun> = (0..args.seeds.max(1)).into_par_iter().map(play).collect();
    for seed_run in &played {
        print(&day.name, seed_run, args.step);
    }
    let events: u64 = played.iter().map(|p| p.counts.events).sum();
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{events} events in {seconds:.1} s, {:.2} million per second; {proxies} proxies, {nodes} nodes",
        events as f64 / seconds / 1e6
    );
    if let Some(path) = &args.json {
        let all: Vec<_> = played
            .iter()
            .map(
                |p| serde_json::json!({"seed": p.seed, "seconds": p.counts.seconds, "ramp": p.counts.slow_start}),
            )
            .collect();
        let text = serde_json::to_string_pretty(&all).map_err(CliError::Json)?;
        std::fs::write(path, text).map_err(FileError::at(path))?;
    }
    Ok(played.iter().all(|p| !p.counts.broken()))
}

fn print(name: &str, played: &SeedRun, step: usize) {
    let c = &played.counts;
    println!("day {name}, seed {}, {:.1} s", played.seed, played.elapsed.as_secs_f64());
    print!("{}", c.table(step));
    let (served, all) = c.served();
    println!("{served} of {all} requests served in time; goodput {:.3}", c.stats.all.goodput());
    for row in &c.stats.classes {
        println!("  {:<14} goodput {:.3}", row.name, row.goodput());
    }
    println!(
        "rules: {} overloads of cold nodes, {} overloads of the ledger, {} requests executed twice, {} requests sent to draining nodes, {} second answers",
        c.node_overloads, c.origin_overloads, c.executed_twice, c.drain_violations, c.answered_twice
    );
    let (ramp, fullest) = (&c.slow_start, &c.slow_start.fullest);
    println!(
        "cold nodes: {} starts, {} received more than N requests in a window, {} more than N + 2 * sqrt(N) + 2; highest ratio {} to N = {:.1} ({:.2} times; bound {:.1}) at {:.1} s, closest to the bound {} of {:.1}",
        ramp.starts, ramp.past_allowed, ramp.past_bound, fullest.got, fullest.allowed, fullest.ratio(),
        fullest.bound, fullest.age_ms as f64 / 1e3, ramp.closest.got, ramp.closest.bound
    );
    let window = &ramp.closest_notified;
    println!(
        "cold nodes, requests of proxies notified of the start: {} starts above the bound with over two thirds of the requests from them; closest to the bound {} of {:.1} ({:.2} of the bound, {} requests in total) at {:.1} s",
        ramp.broken, window.notified, window.bound, window.notified_ratio(), window.got, window.age_ms as f64 / 1e3
    );
    println!("{} attempts over reused connections", c.reused);
    match c.steady_after(0.95) {
        Some(s) => println!("steady state (goodput of 0.95 or more) from second {s}"),
        None => println!("no steady state (goodput of 0.95 or more) by the end"),
    }
    for (label, load) in ["a node", "the ledger"].iter().zip(&c.load) {
        let (max, all) = (load.max_opened.iter().max().unwrap_or(&0), load.opened.iter().sum::<u64>());
        println!(
            "{label}: at most {max} connections per second ({all} in total), at most {} attempts in flight, {} rejected for lack of capacity",
            load.max_in_flight, load.rejected_attempts
        );
    }
    if !c.list_calls.is_empty() {
        let (all, max) = (c.list_calls.iter().sum::<u64>(), c.list_calls.iter().max().unwrap_or(&0));
        let mut sorted = c.list_calls.clone();
        sorted.sort_unstable();
        println!(
            "list service: {all} calls, {max} in the busiest second, {} in the median second, {} rejected; per second {:?}",
            sorted[sorted.len() / 2], c.list_rejected, c.list_calls
        );
    }
}
