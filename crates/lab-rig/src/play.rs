//! Runs one experiment from start to end: the site, relays, real proxies, load, the fault schedule and the audit.

use super::board::{FaultBoard, LinkEnd};
use super::error::RigError;
use super::plan::{Action, FolderState, Plan, Schedule, Step};
use super::processes::ProxyProcesses;
use super::readiness::ReadinessWatch;
use super::relays::{RelayTotals, Relays};
use aniseyoke_lab_audit::{Evidence, Observation, Recorder, Verdict};
use aniseyoke_lab_day::clock::{Clock, Nanos, MILLISECOND};
use aniseyoke_lab_day::{proxy_config, Day};
use aniseyoke_lab_load::{Load, LoadOptions, LoadStats, LoadSummary, OUTCOMES};
use aniseyoke_lab_process::{check_health, raise_descriptor_limit, ProcessLog, Program};
use aniseyoke_lab_site::{Health, LoadBalancer, Route, Site, SiteCounts, SiteOptions};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

pub use super::outcome::{steady_after, table, Outcome};

/// The interval at which due steps of the schedule are executed and processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The time limit for all proxies to become healthy after their start.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long after the end of the load processes that are still running are killed.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// The load opens at most (total proxy descriptors / this) connections, but at least one.
const CLIENT_DESCRIPTORS_DIVISOR: usize = 3;
/// The delay between the time when all proxies are healthy and the beginning of the load.
const START_DELAY: Nanos = 50 * MILLISECOND;

/// Runs an experiment. The directories of the proxies and the combined log of all processes (`processes.log`) are created in
/// `folder`.
///
/// # Errors
/// Returns an error if the experiment could not be run: a system resource is missing, or a proxy did not start or did not
/// become healthy. Also if the thread of the auditor or of the readiness watch panicked.
pub fn run(
    plan: &Plan,
    day: &Day,
    program: Program,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<Outcome, RigError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    // Children are killed when the thread that started them ends, so the experiment runs on the caller's thread, which
    // waits here until the experiment has ended.
    runtime.map_err(RigError::Runtime)?.block_on(play(plan, day, program, seed, folder, stop))
}

/// The parts of an experiment other than its proxies.
struct Environment {
    clock: Clock,
    board: FaultBoard,
    relays: Arc<Relays>,
    site: Site,
    log: ProcessLog,
    evidence: SyncSender<Vec<Evidence>>,
    auditor: JoinHandle<Verdict>,
}

impl Environment {
    /// Opens the site, with a relay on each link, and starts the auditor.
    fn open(plan: &Plan, day: &Day, seed: u64, folder: &Path) -> Result<Self, RigError> {
        let clock = Clock::start();
        let (evidence, auditor) = aniseyoke_lab_audit::start(day);
        let board = FaultBoard::default();
        let relays = Relays::start(board.clone(), seed).map_err(RigError::Relays)?;
        let site = open_site(plan, day, clock, &relays, evidence.clone())?;
        let log = ProcessLog::create(&folder.join("processes.log")).map_err(RigError::Log)?;
        Ok(Environment { clock, board, relays, site, log, evidence, auditor })
    }

    /// Injects the faults that are active before the proxies start.
    fn inject_before_start(&self, steps: &[(Duration, Step)]) {
        for (_, step) in steps {
            if let Step::InjectBeforeStart(fault) = step {
                self.board.inject(fault.clone());
            }
        }
    }

    /// Starts all proxies of a plan.
    fn start_proxies(
        &self,
        plan: &Plan,
        day: &Day,
        mut program: Program,
        folder: &Path,
    ) -> Result<ProxyProcesses, RigError> {
        let configs = (self.site.discovery.iter().enumerate())
            .map(|(index, addr)| {
                let discovery = self.relays.route(index, *addr, LinkEnd::Discovery);
                proxy_config(day, index, discovery, &self.site.initial_lists[index])
            })
            .collect();
        program.kill_with_parent = true;
        program.log = Some(self.log.clone());
        program.clock_offsets = (0..plan.proxies()).map(|index| plan.clock(index)).collect();
        Ok(ProxyProcesses::start(program, configs, &folder.join("proxies"))?)
    }

    /// Starts the load of the day; returns the time at which it begins, and the load.
    fn start_load(&self, day: &Day, load_balancer: Arc<LoadBalancer>) -> Result<(Nanos, Load), RigError> {
        let connections = (day.site.proxy.sockets * day.site.proxy.count / CLIENT_DESCRIPTORS_DIVISOR).max(1);
        let (clock, evidence) = (self.clock, self.evidence.clone());
        let from = clock.now() + START_DELAY;
        let recorder = move || Recorder::new(clock, evidence);
        let load = Load::start(day, clock, from, load_balancer, LoadOptions::new(connections), recorder)
            .map_err(RigError::Load)?;
        Ok((from, load))
    }

    /// Closes the site and the relays and waits for the auditor. All other senders of evidence must have been dropped.
    fn close(self) -> Result<(SiteCounts, RelayTotals, Verdict), RigError> {
        let counts = self.site.close();
        let links = self.relays.totals();
        self.relays.close();
        self.log.flush();
        drop(self.evidence);
        let verdict = self.auditor.join().map_err(|_| RigError::AuditorPanicked)?;
        Ok((counts, links, verdict))
    }
}

async fn play(
    plan: &Plan,
    day: &Day,
    program: Program,
    seed: u64,
    folder: &Path,
    stop: &AtomicBool,
) -> Result<Outcome, RigError> {
    raise_descriptor_limit();
    let mut environment = Environment::open(plan, day, seed, folder)?;
    let Schedule { steps } = plan.schedule(seed);
    environment.inject_before_start(&steps);
    let processes = environment.start_proxies(plan, day, program, folder)?;
    let addrs: Vec<_> = (0..processes.len()).filter_map(|index| processes.addr(index)).collect();
    let load_balancer = Arc::new(LoadBalancer::new(&addrs, day.site.proxy.detection_delay));
    wait_until_healthy(&addrs).await?;
    let watch = ReadinessWatch::start().map_err(RigError::Watch)?;
    let (from, load) = environment.start_load(day, load_balancer.clone())?;
    let mut experiment = Experiment {
        clock: environment.clock,
        board: environment.board.clone(),
        processes,
        load_balancer,
        watch,
        evidence: environment.evidence.clone(),
        executed_steps: Vec::new(),
        crashes: Vec::new(),
    };
    experiment.run_until_load_ends(&steps, &load, &mut environment.site, stop).await;
    let stats = load.finish();
    let Experiment { mut processes, watch, evidence, executed_steps, crashes, .. } = experiment;
    // Guards against a hang: the auditor ends only after every sender is dropped.
    drop(evidence);
    let restarted = watch.finish()?;
    processes.end(SHUTDOWN_TIMEOUT);
    let starts = processes.starts();
    drop(processes);
    let (counts, links, verdict) = environment.close()?;
    let [nodes, origin] = counts.member_load;
    Ok(Outcome {
        began_s: from as f64 / 1e9,
        nodes,
        origin,
        seed,
        proxies: plan.proxies(),
        all: LoadSummary::from(&stats).all,
        seconds: outcomes_by_second(&stats),
        list_asks: counts.list_calls,
        list_refused: counts.list_rejected,
        links,
        steps: executed_steps,
        crashes,
        starts,
        restarted,
        verdict,
    })
}

/// Opens the site of an experiment, with a relay on each link.
fn open_site(
    plan: &Plan,
    day: &Day,
    clock: Clock,
    relays: &Arc<Relays>,
    evidence: SyncSender<Vec<Evidence>>,
) -> Result<Site, RigError> {
    let relays = relays.clone();
    let route: Route = Arc::new(move |proxy, addr, kind| {
        // `ledger` is the name of the origin in days, plans and reports.
        relays.route(proxy, addr, if kind == "ledger" { LinkEnd::Ledger } else { LinkEnd::Node(addr) })
    });
    let options = SiteOptions {
        route: Some(route),
        max_list_calls_per_second: plan.list.calls_per_second,
        retry_after_s: plan.list.retry_after.as_secs_f64(),
        connection_limits: plan.connection_limits,
    };
    let recorder = move || Recorder::new(clock, evidence);
    Site::open_with(day, clock, recorder, options).map_err(RigError::Site)
}

/// Returns the number of requests by outcome, for each second of the load.
fn outcomes_by_second(stats: &LoadStats) -> Vec<BTreeMap<String, u64>> {
    let name = |n: usize| format!("{:?}", OUTCOMES[n]).to_lowercase();
    let named = |counts: &[u64; OUTCOMES.len()]| {
        counts
            .iter()
            .enumerate()
            .filter(|(_, count)| **count > 0)
            .map(|(n, count)| (name(n), *count))
            .collect()
    };
    stats.outcomes.iter().map(named).collect()
}

/// The state of a running experiment.
struct Experiment {
    clock: Clock,
    board: FaultBoard,
    processes: ProxyProcesses,
    load_balancer: Arc<LoadBalancer>,
    watch: ReadinessWatch,
    evidence: SyncSender<Vec<Evidence>>,
    /// The executed steps, with their times in seconds on the clock.
    executed_steps: Vec<(f64, String)>,
    crashes: Vec<String>,
}

impl Experiment {
    fn record(&self, observed: Observation) {
        // Fails only if the auditor has ended, which needs no more evidence.
        let _ = self.evidence.send(vec![Evidence { at: self.clock.now(), observed }]);
    }

    /// Executes the schedule and polls the proxies until the load has ended.
    async fn run_until_load_ends(
        &mut self,
        steps: &[(Duration, Step)],
        load: &Load,
        site: &mut Site,
        stop: &AtomicBool,
    ) {
        site.begin();
        // The schedule starts now, at most `START_DELAY` before the load.
        let began = Instant::now();
        let mut next = 0;
        while !load.finished() {
            tokio::time::sleep(POLL_INTERVAL).await;
            let elapsed = began.elapsed();
            while let Some((due, step)) = steps.get(next).filter(|(due, _)| *due <= elapsed) {
                let description = self.execute_step(*due, step, &steps[next..]).await;
                let at = self.clock.now() as f64 / 1e9;
                tracing::info!(
                    "{at:8.3} s  {description} (due {:.3} s into the schedule)",
                    due.as_secs_f64()
                );
                self.executed_steps.push((at, description));
                next += 1;
            }
            while site.proxy_restarts.try_recv().is_ok() {
                // Proxy restarts that the day's timeline requests are discarded; only the fault schedule restarts
                // proxies.
            }
            for (index, reason) in self.processes.poll() {
                self.record(Observation::Crashed { proxy: index });
                self.crashes.push(reason);
            }
            update_health(&self.processes, &self.load_balancer).await;
            if stop.load(Ordering::Relaxed) {
                load.progress.stop.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Executes a step that was due at `due`; `rest` are the steps from this one on. Returns a description of the step.
    async fn execute_step(&mut self, due: Duration, step: &Step, rest: &[(Duration, Step)]) -> String {
        match step {
            Step::InjectBeforeStart(fault) => {
                format!("{:?} between {:?} and {:?} since before the start", fault.fault, fault.a, fault.b)
            }
            Step::Inject(fault) => {
                self.board.inject(fault.clone());
                format!("{:?} between {:?} and {:?}", fault.fault, fault.a, fault.b)
            }
            Step::Clear(id) => {
                self.board.clear(*id);
                format!("link fault {id} lifted")
            }
            Step::Signal(index, action) => {
                let recovery_delay = rest.iter().find_map(|(later, step)| match step {
                    Step::Resume(other) | Step::Start(other, _) if other == index => Some(*later - due),
                    _ => None,
                });
                self.signal(*index, *action, recovery_delay).await
            }
            Step::Resume(index) => {
                self.processes.resume(*index);
                format!("proxy {index} resumed")
            }
            Step::Start(index, state) => self.restart(*index, *state).await,
        }
    }

    /// Performs an action on a proxy that is resumed or restarted after `recovery_delay`, or never.
    async fn signal(&mut self, index: usize, action: Action, recovery_delay: Option<Duration>) -> String {
        let pid = self.processes.pid(index);
        // Not recorded for `Term`: a terminated proxy drains, so its requests have to be answered.
        if self.processes.is_running(index) && action != Action::Term {
            // Recorded before the signal is sent, so that it precedes all observations of clients that result from it.
            let until = recovery_delay.map_or(u64::MAX, |after| self.clock.now() + after.as_nanos() as u64);
            self.record(Observation::FaultInjected { proxy: index, until });
        }
        let signalled = self.processes.signal(index, action);
        if signalled && action != Action::Pause {
            self.watch.ended(index).await;
        }
        if signalled && action == Action::Kill {
            self.load_balancer.record_health(index, Health::NoResponse);
        }
        format!("{action:?} proxy {index} ({pid:?}){}", if signalled { "" } else { ": it was not running" })
    }

    async fn restart(&mut self, index: usize, state: FolderState) -> String {
        let since = Instant::now();
        match self.processes.restart(index, state) {
            Ok(Some(addr)) => {
                self.watch.started(index, addr, since).await;
                self.load_balancer.set_addr(index, addr);
                self.record(Observation::Started { proxy: index });
                format!("proxy {index} started again at {addr}, state {state:?}")
            }
            // The proxy is running, is paused, or has crashed.
            Ok(None) => format!("proxy {index} was not down"),
            Err(reason) => {
                self.crashes.push(reason.to_string());
                self.record(Observation::Crashed { proxy: index });
                format!("proxy {index} did not start again")
            }
        }
    }
}

async fn wait_until_healthy(addrs: &[SocketAddr]) -> Result<(), RigError> {
    let until = Instant::now() + HEALTHY_TIMEOUT;
    for (index, addr) in addrs.iter().enumerate() {
        while check_health(*addr).await != Health::Healthy {
            if Instant::now() > until {
                return Err(RigError::Unhealthy { index, time_limit: HEALTHY_TIMEOUT });
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    Ok(())
}

/// Checks the health of all proxies concurrently, so that the check takes one timeout in total, not one for each paused proxy.
async fn update_health(processes: &ProxyProcesses, load_balancer: &LoadBalancer) {
    let mut checks = tokio::task::JoinSet::new();
    for index in 0..processes.len() {
        match processes.addr(index) {
            Some(addr) => drop(checks.spawn(async move { (index, check_health(addr).await) })),
            None => load_balancer.record_health(index, Health::NoResponse),
        }
    }
    while let Some(Ok((index, health))) = checks.join_next().await {
        load_balancer.record_health(index, health);
    }
}

/// Opens the day that a plan names, and applies the sizes, the length and the rate of the plan. The file of a day is looked up
/// first in the directory of the plan file, `plan_path`.
///
/// # Errors
/// Returns an error if the day can't be opened, or is invalid at these sizes.
pub fn open_day(plan: &Plan, plan_path: Option<&Path>) -> Result<Day, RigError> {
    let local_file =
        plan_path.and_then(Path::parent).map(|folder| folder.join(&plan.day)).filter(|p| p.is_file());
    let name = local_file.map_or(plan.day.clone(), |p| p.display().to_string());
    let day = Day::open(&name)?;
    let nodes = plan.nodes.unwrap_or(day.site.cache.count);
    let mut day = day.resized(plan.proxies(), nodes)?;
    if let Some(length) = plan.length {
        day.length = length;
    }
    if let Some(rate) = plan.rate {
        day.load.rate = rate;
    }
    Ok(day)
}
