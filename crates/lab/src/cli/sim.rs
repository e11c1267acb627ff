//! `sim`: a day in simulated time.

use super::error::CliError;
use super::DayArgs;
use aniseyoke_lab_day::FileError;
use aniseyoke_lab_sim::{Counts, ListService, Options, Sim};
use clap::Args;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// A day in simulated time.
#[derive(Args)]
pub struct SimArgs {
    #[command(flatten)]
    day_args: DayArgs,
    /// Proxies; the day's own number otherwise.
    #[arg(long)]
    proxies: Option<usize>,
    /// Cache nodes; the day's own number otherwise. What is asked and what the origin bears go with it.
    #[arg(long)]
    nodes: Option<usize>,
    /// Seeds to play, one after the other number from the day's on; side by side on all cores.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// For how long the load runs before what is reported, so that caches fill.
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    warm: Duration,
    /// How unevenly clients are spread over proxies; 0: evenly.
    #[arg(long, default_value_t = 0.6)]
    uneven: f64,
    /// The part of all tries that comes to the first proxy beside its share of the rest.
    #[arg(long, default_value_t = 0.0)]
    heavy: f64,
    /// Play the list service as well and count calls there.
    #[arg(long)]
    list: bool,
    /// Proxies ask it in their own slots, as `[list]` in the operator file has them do.
    #[arg(long, requires = "list")]
    paced: bool,
    /// Calls a second that it answers; past that it refuses.
    #[arg(long, requires = "list")]
    list_takes: Option<u64>,
    /// It is down for so long from the start.
    #[arg(long, requires = "list", default_value = "0s", value_parser = humantime::parse_duration)]
    list_down: Duration,
    /// Connections a second that all proxies together open to a node, as `[opening]` has it; not limited otherwise.
    #[arg(long)]
    opens: Option<f64>,
    /// The same to the origin.
    #[arg(long, requires = "opens", default_value_t = 400.0)]
    opens_ledger: f64,
    /// Seconds in a line of the table.
    #[arg(long, default_value_t = 1)]
    step: usize,
    /// Write seed, seconds and what cold nodes got (`ramp`) of each play there as JSON.
    #[arg(long)]
    json: Option<std::path::PathBuf>,
}

struct Play {
    seed: u64,
    counts: Counts,
    took: Duration,
}

/// The simulation's options, once all arguments are within their ranges.
fn options(args: &SimArgs) -> Result<Options, CliError> {
    if !(0.0..1.0).contains(&args.heavy) {
        return Err(CliError::Argument(format!("--heavy {} is not a part from 0 to below 1", args.heavy)));
    }
    if !(0.0..=10.0).contains(&args.uneven) {
        return Err(CliError::Argument(format!("--uneven {} is not within 0 to 10", args.uneven)));
    }
    if args.opens.is_some_and(|o| o.is_nan() || o <= 0.0)
        || args.opens_ledger.is_nan()
        || args.opens_ledger <= 0.0
    {
        return Err(CliError::Argument("--opens and --opens-ledger are above 0".into()));
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

/// Plays it; whether no rule was broken.
pub fn run(args: &SimArgs) -> Result<bool, CliError> {
    let day = args.day_args.open()?;
    let (proxies, nodes) =
        (args.proxies.unwrap_or(day.site.proxy.count), args.nodes.unwrap_or(day.site.cache.count));
    let day = day.resized(proxies, nodes)?;
    let options = options(args)?;
    let left_out = Sim::unsimulated_parts(&day);
    if !left_out.is_empty() {
        println!("not played in simulated time: {}", left_out.join(", "));
    }
    let started = Instant::now();
    let play = |n: u64| {
        let mut day = day.clone();
        day.seed += n;
        let start = Instant::now();
        let counts = Sim::new(&day, options.clone()).run();
        Play { seed: day.seed, counts, took: start.elapsed() }
    };
    let played: Vec<Play> = (0..args.seeds.max(1)).into_par_iter().map(play).collect();
    for one in &played {
        print(&day.name, one, args.step);
    }
    let events: u64 = played.iter().map(|p| p.counts.events).sum();
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "{events} events in {seconds:.1} s, {:.2} million a second; {proxies} proxies, {nodes} nodes",
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

fn print(name: &str, played: &Play, step: usize) {
    let c = &played.counts;
    println!("day {name}, seed {}, {:.1} s", played.seed, played.took.as_secs_f64());
    print!("{}", c.table(step));
    let (served, all) = c.served();
    println!("{served} of {all} requests served in time; goodput {:.3}", c.stats.all.goodput());
    for row in &c.stats.classes {
        println!("  {:<14} goodput {:.3}", row.name, row.goodput());
    }
    println!(
        "rules: {} cold nodes fell, {} stops of the ledger, {} ran twice, {} sends after a drain, {} second answers",
        c.node_overloads, c.origin_overloads, c.executed_twice, c.drain_violations, c.answered_twice
    );
    let (ramp, span) = (&c.slow_start, &c.slow_start.fullest);
    println!(
        "cold nodes: {} starts, {} got more than N in a span, {} more than N + 2 root of N + 2; the most {} of N {:.1} ({:.2} times, {:.1} with chance) at {:.1} s, the closest {} of {:.1} with chance",
        ramp.starts, ramp.past_allowed, ramp.past_bound, span.got, span.allowed, span.ratio(), span.bound,
        span.age_ms as f64 / 1e3, ramp.closest.got, ramp.closest.bound
    );
    let told = &ramp.closest_notified;
    println!(
        "cold nodes, by proxies notified of the start: {} starts past the bound with over two thirds from them; the most {} of {:.1} ({:.2} of the bound, {} in all) at {:.1} s",
        ramp.broken, told.notified, told.bound, told.notified_ratio(), told.got, told.age_ms as f64 / 1e3
    );
    println!("{} attempts over connections that had carried one", c.reused);
    match c.steady_after(0.95) {
        Some(s) => println!("steady service (goodput 0.95 and up) from second {s} on"),
        None => println!("no steady service (goodput 0.95 and up) by the end"),
    }
    for (who, load) in ["a node", "the ledger"].iter().zip(&c.load) {
        let (most, all) = (load.max_opened.iter().max().unwrap_or(&0), load.opened.iter().sum::<u64>());
        println!(
            "{who}: {most} connections a second at most ({all} in all), {} attempts out at most, {} turned away for lack of room",
            load.max_in_flight, load.rejected_attempts
        );
    }
    if !c.list_calls.is_empty() {
        let (all, most) = (c.list_calls.iter().sum::<u64>(), c.list_calls.iter().max().unwrap_or(&0));
        let mut sorted = c.list_calls.clone();
        sorted.sort_unstable();
        println!(
            "list service: {all} calls, {most} in the busiest second, {} in the median one, {} refused; by second {:?}",
            sorted[sorted.len() / 2], c.list_rejected, c.list_calls
        );
    }
}
