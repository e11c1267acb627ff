//! The restart of one proxy of a run: the signals to its process, its successor, and the kill.

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

/// Interval at which the state of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time within which a successor must admit clients.
const ADMITS_WITHIN: Duration = Duration::from_secs(10);
/// Text that a process logs once it admits clients on an inherited socket.
const ADMITS_LOG_TEXT: &str = "clients are admitted";
/// Delay of the first SIGTERM after the signals begin, so that SIGHUP can be sent before it.
const TERMINATE_DELAY: Duration = Duration::from_millis(300);

/// The start of the load, as sent to the threads of all proxies.
#[derive(Clone)]
pub struct Begin {
    /// Start time of the load.
    pub at: Instant,
    /// The load balancer for new connections.
    pub load_balancer: Arc<LoadBalancer>,
}

/// The parameters of one proxy of a run.
pub struct ProxySlot {
    /// The index of the proxy.
    pub index: usize,
    /// The program of the proxy.
    pub program: Arc<Program>,
    /// The configuration of the proxy.
    pub config: Value,
    /// The folder that the processes of the proxy share.
    pub folder: PathBuf,
    /// The plan of the run.
    pub plan: Arc<SoakPlan>,
    /// The clock of the run.
    pub clock: Clock,
    /// The channel to the auditor.
    pub evidence: SyncSender<Vec<Evidence>>,
    /// Is set once the load has ended.
    pub load_ended: Arc<AtomicBool>,
}

/// The results of the processes of a proxy.
#[derive(Default)]
pub struct SlotOutcome {
    /// The ends of the processes that were terminated.
    pub ends: Vec<ProcessEnd>,
    /// Descriptions of the processes that exited unexpectedly.
    pub crashes: Vec<String>,
}

impl ProxySlot {
    /// Starts the first process, sends its address to `started`, and restarts it once the load has begun. Then waits
    /// for the end of the load and terminates the successor. Must run on its own thread, because child processes are
    /// killed with the thread that started them.
    ///
    /// # Errors
    /// If the successor does not start.
    pub fn play(
        self,
        started: &SyncSender<Result<SocketAddr, SoakError>>,
        begin: &Receiver<Begin>,
    ) -> Result<SlotOutcome, SoakError> {
        let first = self.start();
        // Sending fails only if the receiver has already given up because of another proxy's error.
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
            while !self.load_ended.load(Ordering::Relaxed) && successor.ended().is_none() {
                sleep(POLL_INTERVAL);
            }
            if successor.ended().is_some() {
                self.record_crash(successor.as_mut(), &mut outcome);
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

    /// Stops the old process according to the plan. Returns the successor, or none if the old process crashed before
    /// the restart.
    fn restart(
        &self,
        mut old: Box<dyn RunningProxy>,
        begin: &Begin,
        outcome: &mut SlotOutcome,
    ) -> Result<Option<Box<dyn RunningProxy>>, SoakError> {
        let restart_at = begin.at + Duration::from_millis(self.restart_plan().at_ms);
        while Instant::now() < restart_at {
            if old.ended().is_some() {
                self.record_crash(old.as_mut(), outcome);
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

    /// Returns the signals of the plan, each with its delay from the time at which the signals begin.
    fn signals(&self) -> Vec<(SignalKind, Duration)> {
        let signals = self.restart_plan().signals.iter();
        let begins = TERMINATE_DELAY.as_millis() as i64;
        signals.map(|s| (s.kind, Duration::from_millis((begins + s.at_ms).max(0) as u64))).collect()
    }

    fn start_successor(&self) -> Result<Box<dyn RunningProxy>, SoakError> {
        let successor = self.start()?;
        let until = Instant::now() + ADMITS_WITHIN;
        while !successor.last_lines().iter().any(|line| line.contains(ADMITS_LOG_TEXT)) {
            if Instant::now() > until {
                return Err(SoakError::NotReady { index: self.index, within: ADMITS_WITHIN });
            }
            sleep(POLL_INTERVAL);
        }
        Ok(successor)
    }

    /// Sends signals until the process has ended, and kills it at the earliest time that the platform allows after the
    /// first SIGTERM.
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
                // A process that has exited by now does not count as killed.
                let status = process.ended();
                process.kill();
                return ProcessEnd { proxy: self.index, after_s: at.elapsed().as_secs_f64(), status };
            }
            sleep(POLL_INTERVAL);
        }
    }

    fn record_crash(&self, process: &mut dyn RunningProxy, outcome: &mut SlotOutcome) {
        let how = process.ended().unwrap_or_default();
        let lines = process.last_lines().join("\n    ");
        outcome.crashes.push(format!("proxy {} exited unexpectedly, {how}:\n    {lines}", self.index));
        self.record(Observation::Crashed { proxy: self.index });
    }

    fn record(&self, observed: Observation) {
        // Sending fails only if the auditor has ended, and evidence is not needed then.
        let _ = self.evidence.send(vec![Evidence { at: self.clock.now(), observed }]);
    }
}

fn send(process: &dyn RunningProxy, kind: SignalKind) {
    let signal = match kind {
        SignalKind::Terminate => Signal::SIGTERM,
        SignalKind::HangUp => Signal::SIGHUP,
    };
    if let Some(pid) = process.pid() {
        // A child that has ended but was not reaped keeps its process id, so the signal can't reach another process.
        let _ = kill(Pid::from_raw(pid as i32), signal);
    }
}
