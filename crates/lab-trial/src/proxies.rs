//! The proxies of a trial: starts and polls them, restarts them according to the day, and stops them.

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

/// Time after its start within which a proxy must be healthy.
const HEALTHY_WITHIN: Duration = Duration::from_secs(15);
/// Time that a stopping process has beyond the longest deadline of any class before it is killed.
const STOP_GRACE: Duration = Duration::from_millis(700);
/// Delay between the end of a process and its restart.
const RESTART_DELAY: Duration = Duration::from_millis(400);

enum State {
    Running(Box<dyn RunningProxy>),
    /// The process was terminated, and is killed at this time.
    Stopping(Box<dyn RunningProxy>, Instant),
    /// The process has exited, and is restarted at this time.
    Restarting(Instant),
    /// The process exited unexpectedly, or could not be restarted.
    Failed,
}

struct ProxySlot {
    config: Value,
    state: State,
    /// Usage of the earlier processes.
    previous_usage: Usage,
    /// Usage of the current process.
    current_usage: Usage,
}

/// All proxies of a trial.
pub struct Proxies<'a> {
    starter: Starter<'a>,
    slots: Vec<ProxySlot>,
    stop_timeout: Duration,
    crashes: Vec<String>,
}

/// Starts processes, each in its own empty folder.
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
            let (previous_usage, current_usage) = (Usage::default(), Usage::default());
            proxies.slots.push(ProxySlot {
                config,
                state: State::Running(running),
                previous_usage,
                current_usage,
            });
        }
        Ok(proxies)
    }

    /// Returns the address at which each proxy accepts clients.
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

    /// Terminates a proxy; `poll` restarts it after its end.
    pub fn restart(&mut self, index: usize) {
        let Some(slot) = self.slots.get_mut(index) else { return };
        if let State::Running(mut running) = std::mem::replace(&mut slot.state, State::Failed) {
            running.terminate();
            slot.state = State::Stopping(running, Instant::now() + self.stop_timeout);
        }
    }

    /// Reads the usage of all proxies, detects crashes, and advances pending restarts.
    pub fn poll(&mut self, load_balancer: &LoadBalancer, record: &dyn Fn(Observation)) {
        for index in 0..self.slots.len() {
            let slot = &mut self.slots[index];
            if let State::Running(running) | State::Stopping(running, _) = &mut slot.state {
                if let Some(usage) = running.pid().and_then(Usage::of_process) {
                    slot.current_usage.merge(usage);
                }
            }
            let state = std::mem::replace(&mut slot.state, State::Failed);
            slot.state = match state {
                State::Running(mut running) => match running.ended() {
                    Some(how) => {
                        let lines = running.last_lines().join("\n    ");
                        self.crashes.push(format!(
                            "proxy {index} exited unexpectedly, {how}; its last lines:\n    {lines}"
                        ));
                        record(Observation::Crashed { proxy: index });
                        State::Failed
                    }
                    None => State::Running(running),
                },
                State::Stopping(mut running, kill_at) => {
                    if Instant::now() > kill_at {
                        running.kill();
                    }
                    match running.ended() {
                        Some(_) => {
                            slot.previous_usage.cpu_s += slot.current_usage.cpu_s;
                            slot.previous_usage.merge(Usage { cpu_s: 0.0, ..slot.current_usage });
                            slot.current_usage = Usage::default();
                            State::Restarting(Instant::now() + RESTART_DELAY)
                        }
                        None => State::Stopping(running, kill_at),
                    }
                }
                State::Restarting(until) if Instant::now() >= until => {
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
                            State::Failed
                        }
                    }
                }
                other => other,
            };
        }
    }

    /// Checks the health of each proxy and records it in the load balancer.
    pub async fn update_health(&self, load_balancer: &LoadBalancer) {
        for (index, addr) in load_balancer.addrs().into_iter().enumerate() {
            load_balancer.record_health(index, check_health(addr).await);
        }
    }

    /// Stops all proxies. Returns the usage of each, and the descriptions of crashes.
    pub async fn end(mut self) -> (Vec<Usage>, Vec<String>) {
        for slot in &mut self.slots {
            if let State::Running(running) | State::Stopping(running, _) = &mut slot.state {
                if let Some(usage) = running.pid().and_then(Usage::of_process) {
                    slot.current_usage.merge(usage);
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
            let mut usage = slot.previous_usage;
            usage.merge(Usage { cpu_s: 0.0, ..slot.current_usage });
            Usage { cpu_s: slot.previous_usage.cpu_s + slot.current_usage.cpu_s, ..usage }
        };
        (self.slots.iter().map(used).collect(), self.crashes)
    }
}
