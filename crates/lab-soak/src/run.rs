//! One run from start to end.

use crate::connection_ends::ConnectionEnds;
use crate::plan::{SoakPlan, Succession};
use crate::restart::{Begin, ProxySlot, SlotOutcome};
use crate::verdict::{RunReport, ANSWER_GRACE};
use crate::SoakError;
use aniseyoke_lab_audit::{Evidence, Recorder, Verdict};
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::{proxy_config, Day, FileError};
use aniseyoke_lab_load::{Load, LoadOptions, LoadSummary};
use aniseyoke_lab_process::{check_health, ProcessLog, Program};
use aniseyoke_lab_site::{Health, LoadBalancer, Site};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Name of the log of the proxies in the folder of a run.
pub const LOG_FILE: &str = "processes.log";
/// Name of the report in the folder of a run.
pub const REPORT_FILE: &str = "report.json";
/// Operator file that enables logging of the ends of all connections.
const OPERATOR_FILE: &str = "[log]\nburst = 100000\nper_second = 10000\n[log.targets]\nfront = \"debug\"\n";
/// Time after their start within which all proxies must be healthy.
const HEALTHY_WITHIN: Duration = Duration::from_secs(30);
/// Interval of the health checks of the proxies.
const HEALTH_INTERVAL: Duration = Duration::from_millis(50);
/// The load begins this long after all proxies are healthy.
const START_DELAY: Duration = Duration::from_millis(50);
/// Clients use at most one in this many of the proxies' descriptors.
const CLIENTS_DIVISOR: usize = 3;

/// Runs a plan. Writes the log of all processes and the report to `folder`, which no other run may use.
///
/// # Errors
/// If the run could not be completed.
pub fn run(plan: SoakPlan, program: &Path, folder: &Path) -> Result<RunReport, SoakError> {
    std::fs::create_dir_all(folder).map_err(FileError::at(folder))?;
    let day = plan.day()?;
    let environment = Environment::open(&plan, &day, program, folder)?;
    let report = environment.play(plan, &day)?;
    let path = folder.join(REPORT_FILE);
    let text = serde_json::to_vec_pretty(&report).unwrap_or_default();
    std::fs::write(&path, text).map_err(FileError::at(&path))?;
    Ok(report)
}

/// The environment of a run, without its load.
struct Environment {
    clock: Clock,
    site: Site,
    program: Arc<Program>,
    configs: Vec<Value>,
    log: ProcessLog,
    folder: PathBuf,
    evidence: SyncSender<Vec<Evidence>>,
    auditor: JoinHandle<Verdict>,
}

/// The thread of a proxy and its channels.
struct SlotThread {
    begin: SyncSender<Begin>,
    started: Receiver<Result<SocketAddr, SoakError>>,
    thread: JoinHandle<Result<SlotOutcome, SoakError>>,
}

impl Environment {
    fn open(plan: &SoakPlan, day: &Day, program: &Path, folder: &Path) -> Result<Self, SoakError> {
        let clock = Clock::start();
        let (evidence, auditor) = aniseyoke_lab_audit::start(day);
        let observed = evidence.clone();
        let site = Site::open(day, clock, move || Recorder::new(clock, observed)).map_err(SoakError::Site)?;
        let path = folder.join(LOG_FILE);
        let log = ProcessLog::create(&path).map_err(FileError::at(&path))?;
        let operator = folder.join("operator.toml");
        std::fs::write(&operator, OPERATOR_FILE).map_err(FileError::at(&operator))?;
        let mut configs: Vec<Value> = (site.discovery.iter().enumerate())
            .map(|(index, addr)| proxy_config(day, index, *addr, &site.initial_lists[index]))
            .collect();
        let mut program = Program::new(program.to_owned());
        program.kill_with_parent = true;
        program.log = Some(log.clone());
        program.operator = Some(operator.canonicalize().map_err(FileError::at(&operator))?);
        if plan.succession == Succession::Handover {
            for config in &mut configs {
                let listener = TcpListener::bind("127.0.0.1:0").map_err(SoakError::Listener)?;
                config["listen"] = json!(listener.local_addr().map_err(SoakError::Listener)?.to_string());
                program.listeners.push(listener);
            }
        }
        let (program, folder) = (Arc::new(program), folder.to_owned());
        Ok(Environment { clock, site, program, configs, log, folder, evidence, auditor })
    }

    fn play(mut self, plan: SoakPlan, day: &Day) -> Result<RunReport, SoakError> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(SoakError::Runtime)?;
        let load_ended = Arc::new(AtomicBool::new(false));
        let shared_plan = Arc::new(plan.clone());
        let slots: Vec<SlotThread> =
            (0..plan.restarts.len()).map(|index| self.start_slot(index, &shared_plan, &load_ended)).collect();
        let mut addrs = Vec::new();
        for slot in &slots {
            addrs.push(slot.started.recv().map_err(|_| SoakError::Thread)??);
        }
        runtime.block_on(wait_until_healthy(&addrs))?;
        let load_balancer = Arc::new(LoadBalancer::new(&addrs, day.site.proxy.detection_delay));
        let load = self.start_load(day, &load_balancer)?;
        self.site.begin();
        let begin = Begin { at: Instant::now() + START_DELAY, load_balancer: load_balancer.clone() };
        for slot in &slots {
            // Sending fails if the thread has ended; `join` returns its error.
            let _ = slot.begin.send(begin.clone());
        }
        runtime.block_on(monitor(&load, &load_balancer));
        let load = LoadSummary::from(&load.finish());
        load_ended.store(true, Ordering::Relaxed);
        let mut outcome = SlotOutcome::default();
        for slot in slots {
            let slot_outcome = slot.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))?;
            outcome.ends.extend(slot_outcome.ends);
            outcome.crashes.extend(slot_outcome.crashes);
        }
        let connection_ends = self.connection_ends()?;
        let verdict = self.close()?;
        let SlotOutcome { ends, crashes } = outcome;
        Ok(RunReport { plan, load, process_ends: ends, connection_ends, verdict, crashes })
    }

    fn start_slot(&self, index: usize, plan: &Arc<SoakPlan>, load_ended: &Arc<AtomicBool>) -> SlotThread {
        let (begin, begins) = sync_channel(1);
        let (starts, started) = sync_channel(1);
        let slot = ProxySlot {
            index,
            program: self.program.clone(),
            config: self.configs[index].clone(),
            folder: self.folder.join(format!("proxy-{index}")),
            plan: plan.clone(),
            clock: self.clock,
            evidence: self.evidence.clone(),
            load_ended: load_ended.clone(),
        };
        let thread = std::thread::spawn(move || slot.play(&starts, &begins));
        SlotThread { begin, started, thread }
    }

    fn start_load(&self, day: &Day, load_balancer: &Arc<LoadBalancer>) -> Result<Load, SoakError> {
        let connections = (day.site.proxy.sockets * day.site.proxy.count / CLIENTS_DIVISOR).max(1);
        let options = LoadOptions { connections, grace: ANSWER_GRACE };
        let (clock, evidence) = (self.clock, self.evidence.clone());
        let from = clock.now() + START_DELAY.as_nanos() as u64;
        let recorder = move || Recorder::new(clock, evidence);
        Load::start(day, clock, from, load_balancer.clone(), options, recorder).map_err(SoakError::Load)
    }

    /// Counts the ends of connections in the log of the proxies, after all its lines have been written.
    fn connection_ends(&self) -> Result<ConnectionEnds, SoakError> {
        self.log.flush();
        let path = self.folder.join(LOG_FILE);
        let log = std::fs::read_to_string(&path).map_err(FileError::at(&path))?;
        Ok(ConnectionEnds::count(&log))
    }

    /// Closes the site and waits for the auditor, which ends once all senders of evidence have been dropped.
    fn close(self) -> Result<Verdict, SoakError> {
        let Environment { site, evidence, auditor, .. } = self;
        site.close();
        drop(evidence);
        auditor.join().map_err(|_| SoakError::Auditor)
    }
}

async fn wait_until_healthy(addrs: &[SocketAddr]) -> Result<(), SoakError> {
    let until = Instant::now() + HEALTHY_WITHIN;
    for (index, addr) in addrs.iter().enumerate() {
        while check_health(*addr).await != Health::Healthy {
            if Instant::now() > until {
                return Err(SoakError::NotReady { index, within: HEALTHY_WITHIN });
            }
            tokio::time::sleep(HEALTH_INTERVAL).await;
        }
    }
    Ok(())
}

/// Checks the health of the proxies until the load has ended.
async fn monitor(load: &Load, load_balancer: &LoadBalancer) {
    while !load.finished() {
        let mut checks = tokio::task::JoinSet::new();
        for (index, addr) in load_balancer.addrs().into_iter().enumerate() {
            checks.spawn(async move { (index, check_health(addr).await) });
        }
        while let Some(Ok((index, health))) = checks.join_next().await {
            load_balancer.record_health(index, health);
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}
