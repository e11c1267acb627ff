//! The run: everything starts, is left alone for a moment, purges and changes are made, faults strike by the schedule,
//! what is still out is waited for, and all of it is told.

mod start;

use super::host::{Order, Report, Said};
use super::layout;
use super::link::{self, Link};
use super::plan::{Do, Plan, Role, Schedule};
use super::procs::{Line, Procs};
use super::publish::{self, Log, Made};
use super::tally::Tally;
use super::{need, now};
use crate::audit::Recorder;
use crate::clock::Clock;
use crate::day::Day;
use crate::fleet;
use crate::site::Site;
use crate::trial::Usage;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Everyone is up and has the first version within this time of the last start.
const UP_WITHIN: Duration = Duration::from_secs(60);
/// All is left alone for so long before the schedule starts.
const QUIET: Duration = Duration::from_secs(2);
/// A host tells everything within this time.
const REPORTS_WITHIN: Duration = Duration::from_secs(60);
const LOOK: Duration = Duration::from_millis(20);
/// Routes are changed in a version of so many classes at least.
const ROUTES_LEAST: u64 = 1;

/// The programs of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The proxy.
    pub proxy: PathBuf,
    /// The control service and its relays.
    pub control: PathBuf,
    /// The laboratory, for hosts of hollow members.
    pub lab: PathBuf,
}

/// What a child of a sort used over the schedule.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// The most memory, in MB, over its life.
    pub memory_mb: f64,
}

/// What came of a run.
pub struct Outcome {
    /// How long the schedule and what was waited for after it took, in seconds.
    pub seconds: f64,
    /// Children started.
    pub processes: usize,
    /// What the hollow members told.
    pub hollow: Report,
    /// When each version was in force at the real proxies.
    pub real: Tally,
    /// Purges made, in the order of their answers.
    pub purges: Vec<Made>,
    /// Versions made.
    pub changes: Vec<Made>,
    /// The same that were due.
    pub due: (usize, usize),
    /// Calls that failed and were made again, and the last reason.
    pub again: (usize, String),
    /// What each child used, by sort.
    pub used: BTreeMap<&'static str, Vec<Used>>,
    /// Faults as they were played, with seconds from the start of the schedule.
    pub played: Vec<(f64, String)>,
    /// Children that ended by themselves, and what else went wrong.
    pub troubles: Vec<String>,
    /// The schedule.
    pub schedule: Schedule,
}

struct Run<'a> {
    plan: &'a Plan,
    seed: u64,
    procs: Procs,
    root: usize,
    regions: Vec<usize>,
    sites: Vec<usize>,
    reals: Vec<usize>,
    hosts: Vec<usize>,
    /// None where a region is neither far nor ever cut off: its members and relays connect without one.
    links: Vec<Option<Link>>,
    real: Tally,
    /// Real proxies that were started again and have told of no version since.
    anew: Vec<bool>,
    stands: Vec<(usize, u64, u64)>,
    reports: Vec<Option<Report>>,
}

/// The number of a version that a proxy's line says is in force.
pub fn in_force(line: &str) -> Option<u64> {
    let (_, told) = line.split_once("version ")?;
    let (stamp, _) = told.split_once(" is in force")?;
    stamp.split_once('.')?.1.parse().ok()
}

/// Plays an experiment; `folder` takes what children leave, `progress` is told what is going on and how far it is.
///
/// # Errors
/// What is short, or what did not start.
pub fn run(
    plan: &Plan,
    seed: u64,
    programs: &Programs,
    folder: &Path,
    stop: &AtomicBool,
    progress: &dyn Fn(&str, f64),
) -> Result<Outcome, String> {
    need::secure(plan, seed)?;
    let clock = Clock::start();
    let mut day = Day::open("quiet").map_err(|e| e.to_string())?;
    let listed = *plan.listed.get_ref();
    day = day.sized(plan.real().max(1), listed).map_err(|e| e.to_string())?;
    let site = Site::open(&day, clock, move || Recorder::nowhere(clock)).map_err(|e| format!("site: {e}"))?;
    // Thousands that ask for one list would keep real proxies from theirs.
    let asked = match *plan.asked.get_ref() {
        0 => None,
        asked => {
            let day = day.clone().sized(1, asked).map_err(|e| e.to_string())?;
            let site = Site::open(&day, clock, move || Recorder::nowhere(clock));
            Some(site.map_err(|e| format!("the second site: {e}"))?)
        }
    };
    let links = link::Carrier::start().map_err(|e| format!("links: {e}"))?;
    let procs = Procs::new(&folder.join("processes.log"))?;
    let mut run = Run {
        plan,
        seed,
        procs,
        root: 0,
        regions: Vec::new(),
        sites: Vec::new(),
        reals: Vec::new(),
        hosts: Vec::new(),
        links: Vec::new(),
        real: Tally::new(plan.real()),
        anew: vec![false; plan.real()],
        stands: vec![(0, 0, 0); *plan.hosts.get_ref()],
        reports: vec![None; *plan.hosts.get_ref()],
    };
    progress("control service and relays", 0.0);
    let (door, tells) = run.start_control(programs, folder, &links)?;
    progress("real proxies", 0.0);
    run.start_real(programs, folder, &day, &site, &tells)?;
    progress("hollow members", 0.0);
    let list = asked.as_ref().map(|site| site.discovery[0]);
    run.start_hosts(programs, &day, list, &tells)?;
    run.until_up(door, &day, progress)?;
    let outcome = run.schedule(door, &day, stop, progress);
    site.close();
    asked.map(Site::close);
    outcome
}

impl Run<'_> {
    fn purging(&self) -> bool {
        self.plan.purges.per_second > 0.0
    }

    /// Takes a line of a child.
    fn take(&mut self, line: &Line) {
        if let Some(host) = self.hosts.iter().position(|n| *n == line.child) {
            match serde_json::from_str::<Said>(&line.text) {
                Ok(Said::Stands { up, purges, versions }) => self.stands[host] = (up, purges, versions),
                Ok(Said::Report(report)) => self.reports[host] = Some(*report),
                Err(_) => {}
            }
        } else if let Some(real) = self.reals.iter().position(|n| *n == line.child) {
            if let Some(number) = in_force(&line.text) {
                match std::mem::replace(&mut self.anew[real], false) {
                    true => self.real.excused(real, number),
                    false => self.real.reached(real, number, line.at),
                }
            }
        }
    }

    fn listen(&mut self, within: Duration) {
        let until = Instant::now() + within;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            match self.procs.next(left) {
                Some(line) => self.take(&line),
                None => return,
            }
            if left.is_zero() {
                return;
            }
        }
    }

    /// Members that are up, and the numbers that all have.
    fn stand(&self) -> (usize, u64, u64) {
        let up = self.stands.iter().map(|s| s.0).sum();
        let all = |number: fn(&(usize, u64, u64)) -> u64| self.stands.iter().map(number).min().unwrap_or(0);
        (up, all(|s| s.1), all(|s| s.2).min(self.real.everywhere()))
    }

    /// Waits until all are connected, and have the first version.
    fn until_up(&mut self, door: SocketAddr, day: &Day, progress: &dyn Fn(&str, f64)) -> Result<(), String> {
        let hollow = self.plan.hollow();
        let until = Instant::now() + UP_WITHIN;
        let first = publish::version(self.body(day, 0));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        runtime.block_on(aniseyoke_control::operators::call(door, &first)).map_err(|e| e.to_string())?;
        loop {
            self.listen(LOOK);
            let (up, _, versions) = self.stand();
            progress("members join", up as f64 / hollow.max(1) as f64);
            if up == hollow && versions >= 1 {
                return Ok(());
            }
            let ended = self.procs.ended();
            if !ended.is_empty() {
                return Err(ended.join("\n"));
            }
            if Instant::now() > until {
                let real = self.real.lacking(1).count();
                return Err(format!(
                    "after {} s {up} of {hollow} hollow members are up, all have version {versions}, and {real} of {} \
                     real proxies lack the first",
                    UP_WITHIN.as_secs(),
                    self.plan.real()
                ));
            }
        }
    }

    fn body(&self, day: &Day, change: u64) -> serde_json::Value {
        fleet::body(day, self.plan.changes.routes.max(ROUTES_LEAST), change)
    }

    fn sorts(&self) -> Vec<(&'static str, Vec<usize>)> {
        vec![
            ("root", vec![self.root]),
            ("region_relay", self.regions.clone()),
            ("site_relay", self.sites.clone()),
            ("real", self.reals.clone()),
            ("host", self.hosts.clone()),
        ]
    }

    fn usage(&mut self) -> Vec<Usage> {
        (0..self.procs.len()).map(|n| self.procs.used(n)).collect()
    }

    fn order(&mut self, host: usize, order: Order, troubles: &mut Vec<String>) {
        let line = serde_json::to_string(&order).unwrap_or_default();
        if let Err(why) = self.procs.write(self.hosts[host], &line) {
            troubles.push(why);
        }
    }

    /// The host of a hollow member, and its number there.
    fn hosted(&self, role: Role, n: usize) -> (usize, usize) {
        let hosts = *self.plan.hosts.get_ref();
        let (host, at) = (n % hosts, n / hosts);
        let proxies = (host..self.plan.count(Role::Proxy)).step_by(hosts).len();
        (host, if role == Role::Node { proxies + at } else { at })
    }

    fn carry_out(&mut self, step: Do, troubles: &mut Vec<String>) -> String {
        let child = |run: &Self, role, n: usize| match role {
            Role::RegionRelay => run.regions[n],
            Role::SiteRelay => run.sites[n],
            _ => run.reals[n],
        };
        match step {
            Do::Kill(role @ (Role::Proxy | Role::Node), n) => {
                let (host, member) = self.hosted(role, n);
                self.order(host, Order::Kill(member), troubles);
            }
            Do::Start(role @ (Role::Proxy | Role::Node), n) => {
                let (host, member) = self.hosted(role, n);
                self.order(host, Order::Start(member), troubles);
            }
            Do::Kill(role, n) => {
                let child = child(self, role, n);
                self.procs.kill(child);
            }
            Do::Start(role, n) => {
                if role == Role::Real {
                    self.anew[n] = true;
                }
                let child = child(self, role, n);
                if let Err(why) = self.procs.start(child) {
                    troubles.push(why);
                }
            }
            Do::Cut(region) => self.links[region].iter().for_each(|link| link.cut(true)),
            Do::Heal(region) => self.links[region].iter().for_each(|link| link.cut(false)),
        }
        match step {
            Do::Kill(role, n) => format!("{} killed", layout::name(role, n)),
            Do::Start(role, n) => format!("{} started again", layout::name(role, n)),
            Do::Cut(region) => format!("region {region} cut off"),
            Do::Heal(region) => format!("region {region} healed"),
        }
    }

    fn schedule(
        mut self,
        door: SocketAddr,
        day: &Day,
        stop: &AtomicBool,
        progress: &dyn Fn(&str, f64),
    ) -> Result<Outcome, String> {
        let (plan, mut troubles, mut played) = (self.plan, Vec::new(), Vec::new());
        let schedule = plan.schedule(self.seed);
        self.listen(QUIET);
        (0..self.hosts.len()).for_each(|host| self.order(host, Order::Mark, &mut troubles));
        let before = self.usage();
        let log = Arc::new(Log::default());
        let start = now();
        let mut publishers = Vec::new();
        for publisher in 0..plan.purges.publishers {
            let due =
                schedule.purges.iter().skip(publisher).step_by(plan.purges.publishers).copied().collect();
            let what = Box::new(move |n| publish::purge(publisher, n));
            publishers.push(publish::start(log.clone(), door, start, due, what));
        }
        let bodies: Vec<_> = (1..=schedule.changes.len()).map(|n| self.body(day, n as u64)).collect();
        let what = Box::new(move |n: usize| publish::version(bodies[n].clone()));
        publishers.push(publish::start(log.clone(), door, start, schedule.changes.clone(), what));
        let elapsed = || Duration::from_nanos(now() - start);
        let mut steps = schedule.steps.iter().copied().peekable();
        let (length, settle) = (plan.length(), plan.settle.0);
        loop {
            self.listen(LOOK);
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= elapsed()) {
                let what = self.carry_out(step, &mut troubles);
                tracing::info!("{:8.3} s  {what}", elapsed().as_secs_f64());
                played.push((elapsed().as_secs_f64(), what));
            }
            troubles.extend(self.procs.ended());
            let (purges, changes) = (Log::made(&log.purges), Log::made(&log.changes));
            let (up, everywhere, versions) = self.stand();
            let what = format!(
                "{up} up, purges {everywhere}/{} of {}, versions {versions}/{}",
                purges.len(),
                schedule.purges.len(),
                changes.len() + 1
            );
            progress(&what, elapsed().as_secs_f64() / length.as_secs_f64());
            let newest = |made: &[Made], least| made.iter().map(|m| m.number).max().unwrap_or(least);
            let made = purges.len() == schedule.purges.len() && changes.len() == schedule.changes.len();
            let done = made && everywhere >= newest(&purges, 0) && versions >= newest(&changes, 1);
            let over = elapsed() >= length && steps.peek().is_none();
            if (over && done) || elapsed() > length + settle || stop.load(Ordering::Relaxed) {
                break;
            }
        }
        let seconds = elapsed().as_secs_f64();
        let after = self.usage();
        log.stop.store(true, Ordering::Relaxed);
        self.gather(&mut troubles);
        for publisher in publishers {
            // Each ends once its call under way has its answer.
            publisher.map_err(|e| e.to_string())?.join().map_err(|_| "a publisher broke".to_owned())?;
        }
        let mut used = BTreeMap::new();
        for (sort, of) in self.sorts() {
            let one = |n: &usize| Used {
                cpu_s: after[*n].cpu_s - before[*n].cpu_s,
                memory_mb: after[*n].memory_mb,
            };
            used.insert(sort, of.iter().map(one).collect());
        }
        let mut hollow = Report::default();
        self.reports.iter_mut().filter_map(Option::take).for_each(|report| hollow.join(report));
        let why = log.why.lock().map(|why| why.clone()).unwrap_or_default();
        Ok(Outcome {
            seconds,
            processes: self.procs.len(),
            hollow,
            real: std::mem::take(&mut self.real),
            purges: Log::made(&log.purges),
            changes: Log::made(&log.changes),
            due: (schedule.purges.len(), schedule.changes.len()),
            again: (log.again.load(Ordering::Relaxed), why),
            used,
            played,
            troubles,
            schedule,
        })
    }

    /// Has every host tell everything.
    fn gather(&mut self, troubles: &mut Vec<String>) {
        (0..self.hosts.len()).for_each(|host| self.order(host, Order::Report, troubles));
        let until = Instant::now() + REPORTS_WITHIN;
        while self.reports.iter().any(Option::is_none) && Instant::now() < until {
            self.listen(LOOK);
        }
        for (host, report) in self.reports.iter().enumerate() {
            if report.is_none() {
                troubles.push(format!("host-{host} told nothing at the end"));
            }
        }
    }
}

#[cfg(test)]
mod tests;
