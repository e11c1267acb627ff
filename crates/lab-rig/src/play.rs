//! One experiment from start to end: site, relays, real proxies, load, the schedule of faults, the audit.

use super::board::{Board, Party};
use super::mesh::{Mesh, Totals};
use super::plan::{Action, Do, Plan, Schedule};
use super::procs::Procs;
use super::ready::{Readiness, Watch};
use aniseyoke_lab_audit::{Evidence, Recorder, Seen, Verdict};
use aniseyoke_lab_day::clock::{Clock, MS};
use aniseyoke_lab_day::{proxy_config, Day};
use aniseyoke_lab_load::{outcome_lines, Line, Load, OUTCOMES};
use aniseyoke_lab_process::{health, raise_descriptors, Log, Program};
use aniseyoke_lab_site::{Front, Health, Site};
use aniseyoke_lab_world::connection_load::Met;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Steps of the schedule are carried out, and processes looked at, this often.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// All proxies are well within this time of their start.
const WELL_WITHIN: Duration = Duration::from_secs(30);
/// Clients hold at most this part of the proxies' descriptors.
const CLIENTS_PART: usize = 3;

/// What an experiment came to.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The seed of its schedule.
    pub seed: u64,
    /// Real proxies.
    pub proxies: usize,
    /// Requests by outcome, over all.
    pub all: Line,
    /// For each second of the load: requests by outcome.
    pub seconds: Vec<BTreeMap<String, u64>>,
    /// Calls at the list service for each second from the site's opening, before the load and during it.
    pub list_asks: Vec<u64>,
    /// Of those, refused as past what it takes.
    pub list_refused: Vec<u64>,
    /// When the load began, in seconds from the site's opening.
    pub began_s: f64,
    /// What cache nodes were met with.
    pub nodes: Met,
    /// What the ledger was met with.
    pub ledger: Met,
    /// What the relays did.
    pub links: Totals,
    /// What was done when, in seconds on the clock of the audit (from the rig's start, the load beginning a little later).
    pub done: Vec<(f64, String)>,
    /// Proxies that ended by themselves, or did not start again.
    pub crashes: Vec<String>,
    /// Processes that each proxy had.
    pub starts: Vec<u32>,
    /// How long those that were started again took until they were ready.
    pub restarted: Readiness,
    /// The audit.
    pub verdict: Verdict,
}

impl Outcome {
    /// Whether no rule was broken and no proxy crashed.
    pub fn clean(&self) -> bool {
        self.verdict.clean() && self.crashes.is_empty()
    }
}

/// Plays an experiment; `folder` takes the proxies' folders and the log of all processes (`processes.log`).
///
/// # Errors
/// If it could not be played: the system lacks something, or a proxy did not start.
pub fn run(
    plan: &Plan,
    day: &Day,
    program: Program,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<Outcome, String> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    // Children are tied to this thread, which lives until they are all ended.
    runtime.block_on(play(plan, day, program, seed, folder, stop))
}

async fn play(
    plan: &Plan,
    day: &Day,
    mut program: Program,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<Outcome, String> {
    raise_descriptors();
    let clock = Clock::start();
    let (out, auditor) = aniseyoke_lab_audit::start(day);
    let (site_out, load_out, own_out) = (out.clone(), out.clone(), out);
    let board = Board::default();
    let mesh = Mesh::start(board.clone(), seed).map_err(|e| format!("relays: {e}"))?;
    let routed = mesh.clone();
    let route: aniseyoke_lab_site::Mesh = Arc::new(move |proxy, addr, kind| {
        routed.route(proxy, addr, if kind == "ledger" { Party::Ledger } else { Party::Node(addr) })
    });
    let recorder = move || Recorder::new(clock, site_out);
    let rigging = aniseyoke_lab_site::Rigging {
        mesh: Some(route),
        asks_most: plan.list.asks_per_second,
        retry_after_s: plan.list.retry_after.as_secs_f64(),
        bears: plan.bears,
    };
    let mut site = Site::open_rigged(day, clock, recorder, rigging).map_err(|e| format!("site: {e}"))?;
    let configs = (site.discovery.iter().enumerate())
        .map(|(me, addr)| proxy_config(day, me, mesh.route(me, *addr, Party::Discovery), &site.known[me]))
        .collect();
    program.tied = true;
    let log = Log::create(&folder.join("processes.log")).map_err(|e| format!("processes.log: {e}"))?;
    program.log = Some(log.clone());
    let Schedule { steps } = plan.schedule(seed);
    for (_, step) in &steps {
        if let Do::Begin(active) = step {
            board.strike(active.clone());
        }
    }
    program.clocks = (0..plan.proxies()).map(|me| plan.clock(me)).collect();
    let mut procs = Procs::start(program, configs, &folder.join("proxies"))?;
    let addrs: Vec<_> = (0..procs.len()).filter_map(|me| procs.addr(me)).collect();
    let front = Arc::new(Front::new(&addrs, day.site.proxy.notice));
    until_well(&addrs).await?;
    let watch = Watch::start().map_err(|e| format!("watch: {e}"))?;
    let note = move |seen| {
        // An auditor that has ended wants no more.
        let _ = own_out.send(vec![Evidence { at: clock.now(), seen }]);
    };
    let connections = (day.site.proxy.sockets * day.site.proxy.count / CLIENTS_PART).max(1);
    let from = clock.now() + 50 * MS;
    let load =
        Load::start(day, clock, from, front.clone(), connections, move || Recorder::new(clock, load_out))
            .map_err(|e| format!("load: {e}"))?;
    site.begin();
    let began = Instant::now();
    let (mut next, mut done, mut crashes) = (0, Vec::new(), Vec::new());
    while !load.over() {
        tokio::time::sleep(LOOK_EVERY).await;
        let now = began.elapsed();
        while let Some((at, step)) = steps.get(next).filter(|(at, _)| *at <= now) {
            let until = steps[next..].iter().find_map(|(later, d)| match d {
                Do::Resume(p) | Do::Start(p, _) if matches!(step, Do::Signal(q, _) if q == p) => Some(*later),
                _ => None,
            });
            let what = match step {
                Do::Begin(active) => format!(
                    "{:?} between {:?} and {:?} since before the start",
                    active.fault, active.a, active.b
                ),
                Do::Strike(active) => {
                    board.strike(active.clone());
                    format!("{:?} between {:?} and {:?}", active.fault, active.a, active.b)
                }
                Do::Lift(id) => {
                    board.lift(*id);
                    format!("link fault {id} lifted")
                }
                Do::Signal(me, action) => {
                    let pid = procs.pid(*me);
                    if procs.runs(*me) && *action != Action::Term {
                        // Told before the signal: what the clients see of it comes after.
                        let back =
                            until.map_or(u64::MAX, |u| clock.now() + u.saturating_sub(*at).as_nanos() as u64);
                        note(Seen::Struck { proxy: *me, until: back });
                    }
                    let struck = procs.signal(*me, *action);
                    if struck && *action != Action::Pause {
                        watch.ended(*me).await;
                    }
                    if struck && *action == Action::Kill {
                        front.looked(*me, Health::Dead);
                    }
                    format!(
                        "{action:?} proxy {me} ({pid:?}){}",
                        if struck { "" } else { ": it was not running" }
                    )
                }
                Do::Resume(me) => {
                    procs.resume(*me);
                    format!("proxy {me} resumed")
                }
                Do::Start(me, state) => match (Instant::now(), procs.restart(*me, *state)) {
                    (since, Ok(Some(addr))) => {
                        watch.started(*me, addr, since).await;
                        front.moved(*me, addr);
                        note(Seen::Started { proxy: *me });
                        format!("proxy {me} started again at {addr}, state {state:?}")
                    }
                    (_, Ok(None)) => format!("proxy {me} was not down"),
                    (_, Err(why)) => {
                        crashes.push(why);
                        note(Seen::Crashed { proxy: *me });
                        format!("proxy {me} did not start again")
                    }
                },
            };
            let on_clock = clock.now() as f64 / 1e9;
            tracing::info!("{on_clock:8.3} s  {what} (due {:.3} s into the load)", at.as_secs_f64());
            done.push((on_clock, what));
            next += 1;
        }
        while site.orders.try_recv().is_ok() {
            // The day's own restarts of proxies are the rig's to make; they are not carried out.
        }
        for (me, why) in procs.look() {
            note(Seen::Crashed { proxy: me });
            crashes.push(why);
        }
        look_at_health(&procs, &front).await;
        if stop.load(Ordering::Relaxed) {
            load.progress.stop.store(true, Ordering::Relaxed);
        }
    }
    let tally = load.finish();
    let restarted = watch.finish()?;
    procs.end(Duration::from_secs(3));
    let starts = procs.starts();
    drop(procs);
    let counts = site.close();
    let links = mesh.totals();
    mesh.close();
    log.flush();
    drop(note);
    let verdict = auditor.join().map_err(|_| "the auditor broke".to_owned())?;
    let (all, _, _) = outcome_lines(&tally);
    let name = |n: usize| format!("{:?}", OUTCOMES[n]).to_lowercase();
    let seconds = (tally.outcomes.iter())
        .map(|counts| {
            counts.iter().enumerate().filter(|(_, c)| **c > 0).map(|(n, c)| (name(n), *c)).collect()
        })
        .collect();
    let (list_asks, list_refused) = (counts.list_asks, counts.list_refused);
    let [nodes, ledger] = counts.met;
    let began_s = from as f64 / 1e9;
    Ok(Outcome {
        began_s,
        nodes,
        ledger,
        seed,
        proxies: plan.proxies(),
        all,
        seconds,
        list_asks,
        list_refused,
        links,
        done,
        crashes,
        starts,
        restarted,
        verdict,
    })
}

async fn until_well(addrs: &[std::net::SocketAddr]) -> Result<(), String> {
    let until = Instant::now() + WELL_WITHIN;
    for (me, addr) in addrs.iter().enumerate() {
        while health(*addr).await != Health::Well {
            if Instant::now() > until {
                return Err(format!("proxy {me} does not get well within {WELL_WITHIN:?}"));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Asks all at once, so that paused ones cost one wait, not one each.
async fn look_at_health(procs: &Procs, front: &Front) {
    let mut looks = tokio::task::JoinSet::new();
    for me in 0..procs.len() {
        match procs.addr(me) {
            Some(addr) => drop(looks.spawn(async move { (me, health(addr).await) })),
            None => front.looked(me, Health::Dead),
        }
    }
    while let Some(Ok((me, health))) = looks.join_next().await {
        front.looked(me, health);
    }
}

/// The day of an experiment: the one it names, sized, lengthened and paced as it says. A day's file is looked for
/// beside the experiment's file first.
///
/// # Errors
/// What is wrong with the day, or with it so sized.
pub fn day_of(plan: &Plan, beside: Option<&Path>) -> Result<Day, String> {
    let near = beside.and_then(Path::parent).map(|folder| folder.join(&plan.day)).filter(|p| p.is_file());
    let name = near.map_or(plan.day.clone(), |p| p.display().to_string());
    let day = Day::open(&name).map_err(|e| e.to_string())?;
    let nodes = plan.nodes.unwrap_or(day.site.cache.count);
    let mut day = day.sized(plan.proxies(), nodes).map_err(|e| e.to_string())?;
    if let Some(length) = plan.length {
        day.length = length;
    }
    if let Some(rate) = plan.rate {
        day.load.rate = rate;
    }
    Ok(day)
}

/// The part of what is served in time that counts as steady service.
const STEADY: f64 = 0.95;

/// The second of the load from which on every second serves that part in time; none if its last does not.
pub fn steady_after(outcome: &Outcome) -> Option<usize> {
    let served = |counts: &BTreeMap<String, u64>| {
        let all: u64 = counts.values().sum();
        all == 0 || counts.get("served").copied().unwrap_or(0) as f64 >= STEADY * all as f64
    };
    // What comes in the last second has been cut short by the end.
    let seconds = outcome.seconds.split_last().map_or(&[][..], |(_, rest)| rest);
    let after = seconds.iter().rposition(|counts| !served(counts)).map_or(0, |last| last + 1);
    (after < seconds.len()).then_some(after)
}

/// The outcome as a table for a reader.
pub fn table(outcome: &Outcome) -> String {
    let mut text = format!("{} proxies, seed {}\n", outcome.proxies, outcome.seed);
    for (at, what) in &outcome.done {
        text += &format!("  {at:8.3} s  {what}\n");
    }
    let all = &outcome.all;
    text += &format!("requests {}, goodput {:.3}\n", all.requests, all.goodput);
    for (outcome, count) in &all.outcomes {
        text += &format!("  {outcome:<12} {count:>8}\n");
    }
    let (asks, refused) = (&outcome.list_asks, &outcome.list_refused);
    let mut sorted = asks.clone();
    sorted.sort_unstable();
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0);
    text += &format!(
        "list service: {} calls, at most {} in a second, median {} a second, {} refused\n",
        asks.iter().sum::<u64>(),
        sorted.last().copied().unwrap_or(0),
        median,
        refused.iter().sum::<u64>()
    );
    for (who, met) in [("a node", &outcome.nodes), ("the ledger", &outcome.ledger)] {
        let (all, most) = (met.opened.iter().sum::<u64>(), met.opened_most.iter().max().unwrap_or(&0));
        text += &format!(
            "{who}: {most} connections a second at most ({all} in all), {} held at once, {} attempts out, {} of them turned away for lack of room, {} connections turned away\n",
            met.held_most,
            met.out_most,
            met.full,
            met.turned.iter().sum::<u64>()
        );
    }
    let r = &outcome.restarted;
    if r.ready + r.unready > 0 {
        let seconds = |time: Option<f64>| time.map_or("not".to_owned(), |s| format!("{s:.3} s"));
        text += &format!(
            "started again: {} ready, {} not; half within {}, nine in ten within {}, all within {}\n",
            r.ready,
            r.unready,
            seconds(r.p50_s),
            seconds(r.p90_s),
            seconds(r.most_s)
        );
    }
    match steady_after(outcome) {
        Some(s) => text += &format!("steady service (95% served in time) from second {s} of the load on\n"),
        None => text += "no steady service (95% served in time) by the end\n",
    }
    let l = &outcome.links;
    text += &format!(
        "links: {} relays, {} connections; dropped {}, cut {}, reset {}, held silent {}, target gone {}\n",
        l.relays, l.taken, l.dropped, l.cut, l.reset, l.held, l.unreached
    );
    let v = &outcome.verdict;
    text += &format!(
        "audit: {} requests, {} unanswered where the rig struck, {} closed at the door, broken {:?}\n",
        v.requests, v.struck, v.closed_at_the_door, v.broken
    );
    if !v.struck_twice.is_empty() {
        text += &format!(
            "ran twice after a kill, asked again elsewhere (no takeover yet): {:?}\n",
            v.struck_twice
        );
    }
    for violation in v.violations.iter().chain(&v.struck_violations) {
        text += &format!("{:?}: {}\n", violation.rule, violation.what);
        for line in &violation.history {
            text += &format!("    {line}\n");
        }
    }
    for crash in &outcome.crashes {
        text += &format!("crash: {crash}\n");
    }
    text += if outcome.clean() { "clean\n" } else { "RULES BROKEN\n" };
    text
}
