//! Executes a run: starts all processes, publishes purges and versions, injects faults by the schedule, waits until
//! everything is in force, and collects the outcome.

mod start;

use super::children::{Children, Line};
use super::error::ScaleError;
use super::host::{HostCommand, HostMessage, MemberReport};
use super::layout;
use super::link::{self, Link};
use super::plan::{Plan, Role, Schedule, Step};
use super::publish::{self, PublishLog, Published};
use super::tally::CompletionTally;
use super::{descriptors, now};
use crate::versions;
use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::Usage;
use aniseyoke_lab_site::Site;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The time limit, after the last start, for all members to be up and have the first version.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
/// The idle time before the schedule starts.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// The time limit for hosts to report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum number of routes of a version.
const MIN_ROUTES: u64 = 1;

/// The executables of a run.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The proxy's executable.
    pub proxy: PathBuf,
    /// The executable of the control service and of relays.
    pub control: PathBuf,
    /// The lab's executable, for hosts of hollow members.
    pub lab: PathBuf,
}

/// The resource usage of a child during the schedule.
#[derive(Clone, Copy, Debug)]
pub struct ChildUsage {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Peak memory since the child's start, in MB.
    pub memory_mb: f64,
}

/// The outcome of a run.
pub struct Outcome {
    /// The duration of the schedule and the wait after it, in seconds.
    pub seconds: f64,
    /// The number of children.
    pub processes: usize,
    /// The merged report of the hollow members.
    pub hollow: MemberReport,
    /// When each version was in force at the real proxies.
    pub real: CompletionTally,
    /// The published purges, in the order of their answers.
    pub purges: Vec<Published>,
    /// The published versions, in the order of their answers.
    pub changes: Vec<Published>,
    /// The number of purges and of versions that were due.
    pub due: (usize, usize),
    /// The number of failed calls that were retried, and the last reason.
    pub retries: (usize, String),
    /// The resource usage of each child, by kind.
    pub usage: BTreeMap<&'static str, Vec<ChildUsage>>,
    /// The executed steps, with their times in seconds from the start of the schedule.
    pub played: Vec<(f64, String)>,
    /// Crashes of children and other problems.
    pub problems: Vec<String>,
    /// The schedule of the run.
    pub schedule: Schedule,
}

struct Run<'a> {
    plan: &'a Plan,
    seed: u64,
    children: Children,
    root: usize,
    region_relays: Vec<usize>,
    site_relays: Vec<usize>,
    real_proxies: Vec<usize>,
    hosts: Vec<usize>,
    /// The link of each region; `None` for regions that have no delay and are never partitioned, whose members and
    /// relays connect directly.
    links: Vec<Option<Link>>,
    real: CompletionTally,
    /// Whether each real proxy was restarted and has logged no version since.
    restarted: Vec<bool>,
    host_progress: Vec<HostProgress>,
    reports: Vec<Option<MemberReport>>,
    /// Crashes of children and other problems.
    problems: Vec<String>,
}

/// The last progress that a host reported.
#[derive(Clone, Copy, Debug, Default)]
struct HostProgress {
    /// The number of members that are up.
    up: usize,
    /// The number through which all members have all purges.
    purges: u64,
    /// The number through which all proxies have all versions.
    versions: u64,
}

/// Parses the number of the version from a proxy's log line that a version is in force.
pub fn version_in_force(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("version ")?;
    let (stamp, _) = rest.split_once(" is in force")?;
    stamp.split_once('.')?.1.parse().ok()
}

/// Executes an experiment. The directories and the log of the children are created in `folder`; `progress` is called
/// with a description of the current activity and the completed fraction.
///
/// # Errors
/// Fails if the limit of file descriptors is too low, or if a part of the run could not be started.
pub fn run(
    plan: &Plan,
    seed: u64,
    programs: &Programs,
    folder: &Path,
    stop: &AtomicBool,
    progress: &dyn Fn(&str, f64),
) -> Result<Outcome, ScaleError> {
    descriptors::raise_limit(plan, seed)?;
    let clock = Clock::start();
    let open = |day: &Day| Site::open(day, clock, move || Recorder::discarding(clock));
    let day = Day::open("quiet")?.resized(plan.real().max(1), *plan.listed.get_ref())?;
    let site = open(&day).map_err(ScaleError::Site)?;
    // Hollow proxies poll a discovery endpoint of their own, because the load of thousands would block the real
    // proxies.
    let hollow_site = match *plan.polled.get_ref() {
        0 => None,
        nodes => Some(open(&day.clone().resized(1, nodes)?).map_err(ScaleError::HollowSite)?),
    };
    let links = link::LinkRuntime::start().map_err(ScaleError::Links)?;
    let mut run = Run::new(plan, seed, Children::new(&folder.join("processes.log"))?);
    progress("control service and relays", 0.0);
    let addrs = run.start_control(programs, folder, &links)?;
    progress("real proxies", 0.0);
    run.start_real(programs, folder, &day, &site, &addrs.services)?;
    progress("hollow members", 0.0);
    let discovery = hollow_site.as_ref().map(|site| site.discovery[0]);
    run.start_hosts(programs, &day, discovery, &addrs.services)?;
    run.wait_until_up(addrs.operators, &day, progress)?;
    let outcome = run.play(addrs.operators, &day, stop, progress);
    site.close();
    hollow_site.map(Site::close);
    outcome
}

impl<'a> Run<'a> {
    fn new(plan: &'a Plan, seed: u64, children: Children) -> Self {
        let hosts = *plan.hosts.get_ref();
        Run {
            plan,
            seed,
            children,
            root: 0,
            region_relays: Vec::new(),
            site_relays: Vec::new(),
            real_proxies: Vec::new(),
            hosts: Vec::new(),
            links: Vec::new(),
            real: CompletionTally::new(plan.real()),
            restarted: vec![false; plan.real()],
            host_progress: vec![HostProgress::default(); hosts],
            reports: vec![None; hosts],
            problems: Vec::new(),
        }
    }

    fn purging(&self) -> bool {
        self.plan.purges.per_second > 0.0
    }

    /// Handles an output line of a child.
    fn handle_line(&mut self, line: &Line) {
        if let Some(host) = self.hosts.iter().position(|n| *n == line.child) {
            match serde_json::from_str::<HostMessage>(&line.text) {
                Ok(HostMessage::Progress { up, purges, versions }) => {
                    self.host_progress[host] = HostProgress { up, purges, versions };
                }
                Ok(HostMessage::Report(report)) => self.reports[host] = Some(*report),
                Err(_) => {}
            }
        } else if let Some(real) = self.real_proxies.iter().position(|n| *n == line.child) {
            if let Some(number) = version_in_force(&line.text) {
                match std::mem::replace(&mut self.restarted[real], false) {
                    true => self.real.record_not_applicable(real, number),
                    false => self.real.record(real, number, line.received_at),
                }
            }
        }
    }

    /// Handles the output lines of children for the given time.
    fn handle_lines(&mut self, within: Duration) {
        let deadline = Instant::now() + within;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match self.children.next_line(left) {
                Some(line) => self.handle_line(&line),
                None => return,
            }
            if left.is_zero() {
                return;
            }
        }
    }

    /// Returns the progress of all members, hollow and real.
    fn progress(&self) -> HostProgress {
        let all = |number: fn(&HostProgress) -> u64| self.host_progress.iter().map(number).min().unwrap_or(0);
        HostProgress {
            up: self.host_progress.iter().map(|host| host.up).sum(),
            purges: all(|host| host.purges),
            versions: all(|host| host.versions).min(self.real.reached_by_all()),
        }
    }

    /// Publishes the first version, and waits until all members are connected and have it.
    fn wait_until_up(
        &mut self,
        operators: SocketAddr,
        day: &Day,
        progress: &dyn Fn(&str, f64),
    ) -> Result<(), ScaleError> {
        let hollow = self.plan.hollow();
        let deadline = Instant::now() + STARTUP_TIMEOUT;
        let first = publish::version(self.version_body(day, 0));
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(ScaleError::Runtime)?;
        let published = runtime.block_on(aniseyoke_control::operators::call(operators, &first));
        published.map_err(|e| ScaleError::Control(e.to_string()))?;
        loop {
            self.handle_lines(POLL_INTERVAL);
            let HostProgress { up, versions, .. } = self.progress();
            progress("members connecting", up as f64 / hollow.max(1) as f64);
            if up == hollow && versions >= 1 {
                return Ok(());
            }
            let ended = self.children.take_crashed();
            if !ended.is_empty() {
                return Err(ScaleError::Crashed(ended));
            }
            if Instant::now() > deadline {
                let (lacking, real) = (self.real.lacking(1).count(), self.plan.real());
                let seconds = STARTUP_TIMEOUT.as_secs();
                return Err(ScaleError::NotUp { seconds, up, hollow, versions, lacking, real });
            }
        }
    }

    fn version_body(&self, day: &Day, change: u64) -> serde_json::Value {
        versions::version_body(day, self.plan.changes.routes.max(MIN_ROUTES), change)
    }

    fn children_by_kind(&self) -> Vec<(&'static str, Vec<usize>)> {
        vec![
            ("root", vec![self.root]),
            ("region_relay", self.region_relays.clone()),
            ("site_relay", self.site_relays.clone()),
            ("real", self.real_proxies.clone()),
            ("host", self.hosts.clone()),
        ]
    }

    fn usage(&mut self) -> Vec<Usage> {
        (0..self.children.len()).map(|n| self.children.usage(n)).collect()
    }

    fn send_command(&mut self, host: usize, command: HostCommand) {
        let line = serde_json::to_string(&command).unwrap_or_default();
        if let Err(why) = self.children.write(self.hosts[host], &line) {
            self.problems.push(why.to_string());
        }
    }

    /// Returns the host of a hollow member, and the member's index there.
    fn locate_hollow(&self, role: Role, n: usize) -> (usize, usize) {
        let hosts = *self.plan.hosts.get_ref();
        let (host, at) = (n % hosts, n / hosts);
        let proxies = (host..self.plan.count(Role::Proxy)).step_by(hosts).len();
        (host, if role == Role::Node { proxies + at } else { at })
    }

    /// Executes a step and returns a description of it.
    fn execute(&mut self, step: Step) -> String {
        let child = |run: &Self, role, n: usize| match role {
            Role::RegionRelay => run.region_relays[n],
            Role::SiteRelay => run.site_relays[n],
            _ => run.real_proxies[n],
        };
        match step {
            Step::Kill(role @ (Role::Proxy | Role::Node), n) => {
                let (host, member) = self.locate_hollow(role, n);
                self.send_command(host, HostCommand::Kill(member));
            }
            Step::Start(role @ (Role::Proxy | Role::Node), n) => {
                let (host, member) = self.locate_hollow(role, n);
                self.send_command(host, HostCommand::Start(member));
            }
            Step::Kill(role, n) => {
                let child = child(self, role, n);
                self.children.kill(child);
            }
            Step::Start(role, n) => {
                if role == Role::Real {
                    self.restarted[n] = true;
                }
                let child = child(self, role, n);
                if let Err(why) = self.children.start(child) {
                    self.problems.push(why.to_string());
                }
            }
            Step::Cut(region) => self.links[region].iter().for_each(|link| link.cut(true)),
            Step::Heal(region) => self.links[region].iter().for_each(|link| link.cut(false)),
        }
        match step {
            Step::Kill(role, n) => format!("{} killed", layout::name(role, n)),
            Step::Start(role, n) => format!("{} restarted", layout::name(role, n)),
            Step::Cut(region) => format!("region {region} partitioned"),
            Step::Heal(region) => format!("region {region} connected again"),
        }
    }

    /// Executes the schedule, waits until everything is in force, and collects the outcome.
    fn play(
        mut self,
        operators: SocketAddr,
        day: &Day,
        stop: &AtomicBool,
        progress: &dyn Fn(&str, f64),
    ) -> Result<Outcome, ScaleError> {
        let schedule = self.plan.schedule(self.seed);
        self.handle_lines(QUIET_TIME);
        (0..self.hosts.len()).for_each(|host| self.send_command(host, HostCommand::Mark));
        let before = self.usage();
        let log = Arc::new(PublishLog::default());
        let start = now();
        let publishers = self.start_publishers(&schedule, &log, operators, start, day)?;
        let played = self.run_schedule(&schedule, &log, start, stop, progress);
        let seconds = Duration::from_nanos(now() - start).as_secs_f64();
        let after = self.usage();
        log.stop.store(true, Ordering::Relaxed);
        self.collect_reports();
        for publisher in publishers {
            // A publisher ends when its current call is answered or times out.
            publisher.join().map_err(|_| ScaleError::PublisherPanicked)?;
        }
        let mut usage = BTreeMap::new();
        for (kind, of) in self.children_by_kind() {
            let child_usage = |n: &usize| ChildUsage {
                cpu_s: after[*n].cpu_s - before[*n].cpu_s,
                memory_mb: after[*n].memory_mb,
            };
            usage.insert(kind, of.iter().map(child_usage).collect());
        }
        let mut hollow = MemberReport::default();
        self.reports.iter_mut().filter_map(Option::take).for_each(|report| hollow.merge(report));
        let why = log.last_failure.lock().map(|why| why.clone()).unwrap_or_default();
        Ok(Outcome {
            seconds,
            processes: self.children.len(),
            hollow,
            real: std::mem::take(&mut self.real),
            purges: PublishLog::snapshot(&log.purges),
            changes: PublishLog::snapshot(&log.changes),
            due: (schedule.purges.len(), schedule.changes.len()),
            retries: (log.retries.load(Ordering::Relaxed), why),
            usage,
            played,
            problems: std::mem::take(&mut self.problems),
            schedule,
        })
    }

    /// Starts the publishers of purges and of versions.
    fn start_publishers(
        &self,
        schedule: &Schedule,
        log: &Arc<PublishLog>,
        operators: SocketAddr,
        start: u64,
        day: &Day,
    ) -> Result<Vec<JoinHandle<()>>, ScaleError> {
        let mut publishers = Vec::new();
        let count = self.plan.purges.publishers;
        for publisher in 0..count {
            let due = schedule.purges.iter().skip(publisher).step_by(count).copied().collect();
            let call = Box::new(move |n| publish::purge(publisher, n));
            publishers.push(publish::start(log.clone(), operators, start, due, call));
        }
        let bodies: Vec<_> = (1..=schedule.changes.len()).map(|n| self.version_body(day, n as u64)).collect();
        let call = Box::new(move |n: usize| publish::version(bodies[n].clone()));
        publishers.push(publish::start(log.clone(), operators, start, schedule.changes.clone(), call));
        publishers.into_iter().collect::<Result<_, _>>().map_err(ScaleError::Runtime)
    }

    /// Executes the schedule until everything that was published is in force, or the time is over. Returns the executed
    /// steps, with their times in seconds from the start.
    fn run_schedule(
        &mut self,
        schedule: &Schedule,
        log: &PublishLog,
        start: u64,
        stop: &AtomicBool,
        progress: &dyn Fn(&str, f64),
    ) -> Vec<(f64, String)> {
        let elapsed = || Duration::from_nanos(now() - start);
        let (length, settle) = (self.plan.length(), self.plan.settle.0);
        let mut played = Vec::new();
        let mut steps = schedule.steps.iter().copied().peekable();
        loop {
            self.handle_lines(POLL_INTERVAL);
            while let Some((_, step)) = steps.next_if(|(at, _)| *at <= elapsed()) {
                let what = self.execute(step);
                tracing::info!("{:8.3} s  {what}", elapsed().as_secs_f64());
                played.push((elapsed().as_secs_f64(), what));
            }
            let crashed = self.children.take_crashed();
            self.problems.extend(crashed);
            let (purges, changes) = (PublishLog::snapshot(&log.purges), PublishLog::snapshot(&log.changes));
            let HostProgress { up, purges: reached_by_all, versions } = self.progress();
            let (made, due, published) = (purges.len(), schedule.purges.len(), changes.len() + 1);
            let what =
                format!("{up} up, purges {reached_by_all}/{made} of {due}, versions {versions}/{published}");
            progress(&what, elapsed().as_secs_f64() / length.as_secs_f64());
            let newest =
                |published: &[Published], least| published.iter().map(|m| m.number).max().unwrap_or(least);
            let all_made = made == due && changes.len() == schedule.changes.len();
            let done = all_made && reached_by_all >= newest(&purges, 0) && versions >= newest(&changes, 1);
            let over = elapsed() >= length && steps.peek().is_none();
            if (over && done) || elapsed() > length + settle || stop.load(Ordering::Relaxed) {
                return played;
            }
        }
    }

    /// Collects the reports of all hosts.
    fn collect_reports(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.send_command(host, HostCommand::Report));
        let deadline = Instant::now() + REPORT_TIMEOUT;
        while self.reports.iter().any(Option::is_none) && Instant::now() < deadline {
            self.handle_lines(POLL_INTERVAL);
        }
        for (host, report) in self.reports.iter().enumerate() {
            if report.is_none() {
                self.problems.push(format!("host-{host} sent no report at the end"));
            }
        }
    }
}

#[cfg(test)]
mod tests;
