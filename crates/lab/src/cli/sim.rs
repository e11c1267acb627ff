//! `sim`: a day in simulated time.

use super::Which;
use aniseyoke_lab_sim::{Counts, Options, Service, Sim};
use clap::Args;
use rayon::prelude::*;
use std::time::{Duration, Instant};

/// A day in simulated time.
#[derive(Args)]
pub struct Simulate {
    #[command(flatten)]
    which: Which,
    /// Proxies; the day's own number otherwise.
    #[arg(long)]
    proxies: Option<usize>,
    /// Cache nodes; the day's own number otherwise. What is asked and what the ledger bears go with it.
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
    /// Proxies ask it in their own slots, as `[list]` in the operator's file has them do.
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
    /// The same to the ledger.
    #[arg(long, requires = "opens", default_value_t = 400.0)]
    opens_ledger: f64,
    /// Seconds in a line of the table.
    #[arg(long, default_value_t = 1)]
    step: usize,
    /// Write seed, seconds and what cold nodes got (`ramp`) of each play there as JSON.
    #[arg(long)]
    json: Option<std::path::PathBuf>,
}

struct Played {
    seed: u64,
    counts: Counts,
    took: Duration,
}

/// Plays it; whether no rule was broken.
pub fn run(args: &Simulate) -> Result<bool, String> {
    let day = args.which.open()?;
    let (proxies, nodes) =
        (args.proxies.unwrap_or(day.site.proxy.count), args.nodes.unwrap_or(day.site.cache.count));
    let day = day.sized(proxies, nodes).map_err(|e| e.to_string())?;
    if !(0.0..1.0).contains(&args.heavy) {
        return Err(format!("--heavy {} is not a part from 0 to below 1", args.heavy));
    }
    if !(0.0..=10.0).contains(&args.uneven) {
        return Err(format!("--uneven {} is not within 0 to 10", args.uneven));
    }
    let left_out = Sim::left_out(&day);
    if !left_out.is_empty() {
        println!("not played in simulated time: {}", left_out.join(", "));
    }
    if args.opens.is_some_and(|o| o.is_nan() || o <= 0.0)
        || args.opens_ledger.is_nan()
        || args.opens_ledger <= 0.0
    {
        return Err("--opens and --opens-ledger are above 0".into());
    }
    let list = args.list.then(|| Service {
        paced: args.paced,
        takes: args.list_takes,
        retry_after: Duration::from_secs(1),
        down: args.list_down,
    });
    let opening = args.opens.map(|node| (node, args.opens_ledger));
    let options =
        Options { warm: args.warm, uneven: args.uneven, heavy: args.heavy, crowd: None, list, opening };
    let started = Instant::now();
    let play = |n: u64| {
        let mut day = day.clone();
        day.seed += n;
        let start = Instant::now();
        let counts = Sim::new(&day, options.clone()).run();
        Played { seed: day.seed, counts, took: start.elapsed() }
    };
    let played: Vec<Played> = (0..args.seeds.max(1)).into_par_iter().map(play).collect();
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
                |p| serde_json::json!({"seed": p.seed, "seconds": p.counts.seconds, "ramp": p.counts.ramped}),
            )
            .collect();
        let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(played.iter().all(|p| !p.counts.broken()))
}

fn print(name: &str, played: &Played, step: usize) {
    let c = &played.counts;
    println!("day {name}, seed {}, {:.1} s", played.seed, played.took.as_secs_f64());
    print!("{}", c.table(step));
    let (served, all) = c.served();
    println!("{served} of {all} requests served in time; goodput {:.3}", c.tally.all.goodput());
    for row in &c.tally.classes {
        println!("  {:<14} goodput {:.3}", row.name, row.goodput());
    }
    println!(
        "rules: {} cold nodes fell, {} stops of the ledger, {} ran twice, {} sends after a drain, {} second answers",
        c.fell, c.stopped, c.ran_twice, c.drains_broken, c.answered_twice
    );
    let (ramp, span) = (&c.ramped, &c.ramped.fullest);
    println!(
        "cold nodes: {} starts, {} got more than N in a span, {} more than N + 2 root of N + 2; the most {} of N {:.1} ({:.2} times, {:.1} with chance) at {:.1} s, the closest {} of {:.1} with chance",
        ramp.starts, ramp.past_allowed, ramp.past_bound, span.got, span.allowed, span.ratio(), span.bound,
        span.age_ms as f64 / 1e3, ramp.closest.got, ramp.closest.bound
    );
    println!("{} attempts over connections that had carried one", c.reused);
    match c.steady_after(0.95) {
        Some(s) => println!("steady service (goodput 0.95 and up) from second {s} on"),
        None => println!("no steady service (goodput 0.95 and up) by the end"),
    }
    for (who, met) in ["a node", "the ledger"].iter().zip(&c.met) {
        let (most, all) = (met.opened_most.iter().max().unwrap_or(&0), met.opened.iter().sum::<u64>());
        println!(
            "{who}: {most} connections a second at most ({all} in all), {} attempts out at most, {} turned away for lack of room",
            met.out_most, met.full
        );
    }
    if !c.list_asks.is_empty() {
        let (all, most) = (c.list_asks.iter().sum::<u64>(), c.list_asks.iter().max().unwrap_or(&0));
        let mut sorted = c.list_asks.clone();
        sorted.sort_unstable();
        println!(
            "list service: {all} calls, {most} in the busiest second, {} in the median one, {} refused; by second {:?}",
            sorted[sorted.len() / 2], c.list_refused, c.list_asks
        );
    }
}
