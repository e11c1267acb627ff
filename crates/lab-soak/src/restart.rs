//! One proxy of a run: the process that is told to stop, its successor, and the kill.

use crate::plan::{RestartPlan, SignalKind, SoakPlan, Succession};
use crate::verdict::ProcessEnd;
use crate::SoakError;
use aniseyoke_lab_audit::{Evidence, Observation};
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_process::{Program, ProxyLauncher, RunningProxy};
use aniseyoke_lab_site::LoadBalancer;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, SyncSender};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How often a process is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// A successor admits clients within this time.
const ADMITS_WITHIN: Duration = Duration::from_secs(10);
/// What a process logs once it admits clients of an inherited socket.
const ADMITS_LINE: &str = "clients are admitted";
/// The first SIGTERM comes this long after all is ready for it, so that SIGHUP may come before.
const BEFORE_TERMINATE: Duration = Duration::from_millis(300);

/// The start of the load, for the threads of all proxies.
#[derive(Clone)]
pub struct Begin {
    /// When the load begins.
    pub at: Instant,
    /// Where new connections go.
    pub load_balancer: Arc<LoadBalancer>,
}

/// What one proxy of a run needs.
pub struct ProxySlot {
    /// The proxy's number.
    pub index: usize,
    /// Its program.
    pub program: Arc<Program>,
    /// Its configuration.
    pub config: Value,
    /// The folder that its processes share.
    pub folder: PathBuf,
    /// What the seed decides.
    pub plan: Arc<SoakPlan>,
    /// The run's clock.
    pub clock: Clock,
    /// The auditor.
    pub evidence: SyncSender<Vec<Evidence>>,
    /// Set once the load has ended.
    pub load_over: Arc<AtomicBool>,
}

/// What became of a proxy's processes.
#[derive(Default)]
pub struct SlotOutcome {
    /// Those that were told to stop.
    pub ends: Vec<ProcessEnd>,
    /// Those that ended by themselves.
    pub crashes: Vec<String>,
}

impl ProxySlot {
    /// Starts the first process, tells its address, and once the load begins restarts it; then waits for the load's end and
    /// ends the successor. It runs on a thread of its own: children are killed with the thread that started them.
    ///
    /// # Errors
    /// If a process does not start.
    pub fn play(
        self,
        started: &SyncSender<Result<SocketAddr, SoakError>>,
        begin: &Receiver<Begin>,
    ) -> Result<SlotOutcome, SoakError> {
        let first = self.start();
        // Who waits for the address gives up with the first error.
        let old = match first {
            Ok(process) => {
                let _ = started.send(Ok(process.addr()));
                process
            }
            Err(error) => {
                let _ = started.send(Err(error));
                return Ok(SlotOutcome::default());
            }
        };
        let Ok(begin) = begin.recv() else { return Ok(SlotOutcome::default()) };
        let mut outcome = SlotOutcome::default();
        let successor = self.restart(old, &begin, &mut outcome)?;
        if let Some(mut successor) = successor {
            while !self.load_over.load(Ordering::Relaxed) && successor.ended().is_none() {
                sleep(POLL_INTERVAL);
            }
            if successor.ended().is_some() {
                self.crashed(successor.as_mut(), &mut outcome);
            } else {
                let only_terminate = [(SignalKind::Terminate, Duration::ZERO)];
                outcome.ends.push(self.stop(successor, Instant::now(), &only_terminate));
            }
        }
        Ok(outcome)
    }

    fn start(&self) -> Result<Box<dyn RunningProxy>, SoakError> {
        Ok(self.program.start(self.index, &self.config, &self.folder)?)
    }

    fn restart_plan(&self) -> &RestartPlan {
        &self.plan.restarts[self.index]
    }

    /// Ends the old process by the plan; returns its successor, unless one of them crashed.
    fn restart(
        &self,
        mut old: Box<dyn RunningProxy>,
        begin: &Begin,
        outcome: &mut SlotOutcome,
    ) -> Result<Option<Box<dyn RunningProxy>>, SoakError> {
        let due = begin.at + Duration::from_millis(self.restart_plan().at_ms);
        while Instant::now() < due {
            if old.ended().is_some() {
                self.crashed(old.as_mut(), outcome);
                return Ok(None);
            }
            sleep(POLL_INTERVAL);
        }
        let successor = match self.plan.succession {
            Succession::Handover => Some(self.start_successor()?),
            Succession::AfterEnd => None,
        };
        let signals = self.signals();
        outcome.ends.push(self.stop(old, Instant::now(), &signals));
        let successor = match successor {
            Some(successor) => successor,
            None => {
                let successor = self.start()?;
                begin.load_balancer.set_addr(self.index, successor.addr());
                self.record(Observation::Started { proxy: self.index });
                successor
            }
        };
        Ok(Some(successor))
    }

    /// The signals of the plan, each with its time from when they begin.
    fn signals(&self) -> Vec<(SignalKind, Duration)> {
        let signals = self.restart_plan().signals.iter();
        let begins = BEFORE_TERMINATE.as_millis() as i64;
        signals.map(|s| (s.kind, Duration::from_millis((begins + s.at_ms).max(0) as u64))).collect()
    }

    fn start_successor(&self) -> Result<Box<dyn RunningProxy>, SoakError> {
        let successor = self.start()?;
        let until = Instant::now() + ADMITS_WITHIN;
        while !successor.last_lines().iter().any(|line| line.contains(ADMITS_LINE)) {
            if Instant::now() > until {
                return Err(SoakError::NotReady { index: self.index, within: ADMITS_WITHIN });
            }
            sleep(POLL_INTERVAL);
        }
        Ok(successor)
    }

    /// Sends signals until the process has ended, and kills it at the earliest time after the first SIGTERM.
    fn stop(
        &self,
        mut process: Box<dyn RunningProxy>,
        from: Instant,
        signals: &[(SignalKind, Duration)],
    ) -> ProcessEnd {
        let mut signals = signals.iter();
        let mut next = signals.next();
        let mut terminated: Option<Instant> = None;
        loop {
            if let Some(status) = process.ended() {
                let after = terminated.map_or(Duration::ZERO, |at| at.elapsed());
                return ProcessEnd {
                    proxy: self.index,
                    after_s: after.as_secs_f64(),
                    status: Some(if terminated.is_some() {
                        status
                    } else {
                        format!("{status} before SIGTERM")
                    }),
                };
            }
            while let Some((kind, _)) = next.filter(|(_, at)| from.elapsed() >= *at) {
                send(process.as_ref(), *kind);
                if *kind == SignalKind::Terminate {
                    terminated.get_or_insert_with(Instant::now);
                }
                next = signals.next();
            }
            if let Some(at) = terminated.filter(|at| at.elapsed() >= self.plan.kill_after()) {
                // One that has ended in this very moment has done so by itself.
                let status = process.ended();
                process.kill();
                return ProcessEnd { proxy: self.index, after_s: at.elapsed().as_secs_f64(), status };
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn crashed(&self, process: &mut dyn RunningProxy, outcome: &mut SlotOutcome) {
        let how = process.ended().unwrap_or_default();
        let lines = process.last_lines().join("\n    ");
        outcome.crashes.push(format!("proxy {} ended by itself, {how}:\n    {lines}", self.index));
        self.record(Observation::Crashed { proxy: self.index });
    }

    fn record(&self, observed: Observation) {
        // An auditor that has ended wants no more.
        let _ = self.evidence.send(vec![Evidence { at: self.clock.now(), observed }]);
    }
}

fn send(process: &dyn RunningProxy, kind: SignalKind) {
    let signal = match kind {
        SignalKind::Terminate => Signal::SIGTERM,
        SignalKind::HangUp => Signal::SIGHUP,
    };
    if let Some(pid) = process.pid() {
        // A child that has ended and was not waited for keeps its number, so that no other process gets this.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}
