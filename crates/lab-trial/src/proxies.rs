//! The proxies of a trial: started, polled, restarted as the day says, and ended.

use super::TrialError;
use aniseyoke_lab_audit::Observation;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_process::{check_health, ProcessError, ProxyLauncher, RunningProxy, Usage};
use aniseyoke_lab_site::{Health, LoadBalancer};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// A proxy is healthy within this time of its start.
const HEALTHY_WITHIN: Duration = Duration::from_secs(15);
/// A process that was asked to end gets this long beyond the longest deadline of any class.
const STOP_GRACE: Duration = Duration::from_millis(700);
/// A process is started again this long after its end.
const RESTART_DELAY: Duration = Duration::from_millis(400);

enum State {
    Running(Box<dyn RunningProxy>),
    /// It was asked to end, and is killed at this time.
    Stopping(Box<dyn RunningProxy>, Instant),
    /// It is started again at this time.
    Down(Instant),
    /// It ended by itself, or could not be started again.
    Gone,
}

struct ProxySlot {
    config: Value,
    state: State,
    /// What earlier processes used.
    past: Usage,
    /// What the present one uses.
    present: Usage,
}

/// All proxies of a trial.
pub struct Proxies<'a> {
    starter: Starter<'a>,
    slots: Vec<ProxySlot>,
    stop_timeout: Duration,
    crashes: Vec<String>,
}

/// Starts processes, each in an empty folder of its own.
struct Starter<'a> {
    launcher: &'a dyn ProxyLauncher,
    folder: PathBuf,
    starts: usize,
}

impl Starter<'_> {
    fn start(&mut self, index: usize, config: &Value) -> Result<Box<dyn RunningProxy>, ProcessError> {
        self.starts += 1;
        self.launcher.start(index, config, &self.folder.join(format!("proxy-{index}-{}", self.starts)))
    }
}

impl<'a> Proxies<'a> {
    /// Starts a proxy for each configuration.
    pub fn start(
        day: &Day,
        launcher: &'a dyn ProxyLauncher,
        configs: Vec<Value>,
        folder: &Path,
    ) -> Result<Self, TrialError> {
        let longest = day.load.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let mut proxies = Proxies {
            starter: Starter { launcher, folder: folder.to_owned(), starts: 0 },
            slots: Vec::new(),
            stop_timeout: longest.max(Duration::from_secs(3)) + STOP_GRACE,
            crashes: Vec::new(),
        };
        for (index, config) in configs.into_iter().enumerate() {
            let running = proxies.starter.start(index, &config)?;
            let (past, present) = (Usage::default(), Usage::default());
            proxies.slots.push(ProxySlot { config, state: State::Running(running), past, present });
        }
        Ok(proxies)
    }

    /// Where each accepts clients.
    pub fn addrs(&self) -> Vec<SocketAddr> {
        let addr = |slot: &ProxySlot| match &slot.state {
            State::Running(running) | State::Stopping(running, _) => running.addr(),
            _ => SocketAddr::from(([127, 0, 0, 1], 1)),
        };
        self.slots.iter().map(addr).collect()
    }

    /// Waits until every proxy is healthy.
    pub async fn wait_until_healthy(&mut self) -> Result<(), TrialError> {
        let until = Instant::now() + HEALTHY_WITHIN;
        for (index, addr) in self.addrs().into_iter().enumerate() {
            while check_health(addr).await != Health::Healthy {
                let last_lines = match &mut self.slots[index].state {
                    State::Running(running) => match running.ended() {
                        Some(how) => {
                            let last_lines = running.last_lines();
                            return Err(TrialError::Ended { index, how, last_lines });
                        }
                        None => running.last_lines(),
                    },
                    _ => Vec::new(),
                };
                if Instant::now() > until {
                    return Err(TrialError::Unhealthy { index, last_lines });
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(())
    }

    /// Asks a proxy to end; it will be started again.
    pub fn restart(&mut self, index: usize) {
        let Some(slot) = self.slots.get_mut(index) else { return };
        if let State::Running(mut running) = std::mem::replace(&mut slot.state, State::Gone) {
            running.terminate();
            slot.state = State::Stopping(running, Instant::now() + self.stop_timeout);
        }
    }

    /// Reads their usage, notices those that have ended, and carries restarts on.
    pub fn poll(&mut self, load_balancer: &LoadBalancer, record: &dyn Fn(Observation)) {
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            if let State::Running(running) | State::Stopping(running, _) = &mut slot.state {
                if let Some(usage) = running.pid().and_then(Usage::of_process) {
                    slot.present.merge(usage);
                }
            }
            let state = std::mem::replace(&mut slot.state, State::Gone);
            slot.state = match state {
                State::Running(mut running) => match running.ended() {
                    Some(how) => {
                        let lines = running.last_lines().join("\n    ");
                        self.crashes.push(format!(
                            "proxy {index} ended by itself, {how}; its last lines:\n    {lines}"
                        ));
                        record(Observation::Crashed { proxy: index });
                        State::Gone
                    }
                    None => State::Running(running),
                },
                State::Stopping(mut running, by) => {
                    if Instant::now() > by {
                        running.kill();
                    }
                    match running.ended() {
                        Some(_) => {
                            slot.past.cpu_s += slot.present.cpu_s;
                            slot.past.merge(Usage { cpu_s: 0.0, ..slot.present });
                            slot.present = Usage::default();
                            State::Down(Instant::now() + RESTART_DELAY)
                        }
                        None => State::Stopping(running, by),
                    }
                }
                State::Down(until) if Instant::now() >= until => {
                    let config = slot.config.clone();
                    record(Observation::Started { proxy: index });
                    match self.starter.start(index, &config) {
                        Ok(running) => {
                            load_balancer.set_addr(index, running.addr());
                            State::Running(running)
                        }
                        Err(why) => {
                            self.crashes.push(why.to_string());
                            record(Observation::Crashed { proxy: index });
                            State::Gone
                        }
                    }
                }
                other => other,
            };
        }
    }

    /// Tells the load balancer each proxy's health.
    pub async fn update_health(&self, load_balancer: &LoadBalancer) {
        for (index, addr) in load_balancer.addrs().into_iter().enumerate() {
            load_balancer.record_health(index, check_health(addr).await);
        }
    }

    /// Ends all; what each used, and what became of those that crashed.
    pub async fn end(mut self) -> (Vec<Usage>, Vec<String>) {
        for slot in &mut self.slots {
            if let State::Running(running) | State::Stopping(running, _) = &mut slot.state {
                if let Some(usage) = running.pid().and_then(Usage::of_process) {
                    slot.present.merge(usage);
                }
                running.terminate();
            }
        }
        let until = Instant::now() + self.stop_timeout;
        for slot in &mut self.slots {
            if let State::Running(running) | State::Stopping(running, _) = &mut slot.state {
                while running.ended().is_none() && Instant::now() < until {
                    sleep(Duration::from_millis(10)).await;
                }
                running.kill();
            }
        }
        let used = |slot: &ProxySlot| {
            let mut usage = slot.past;
            usage.merge(Usage { cpu_s: 0.0, ..slot.present });
            Usage { cpu_s: slot.past.cpu_s + slot.present.cpu_s, ..usage }
        };
        (self.slots.iter().map(used).collect(), self.crashes)
    }
}
