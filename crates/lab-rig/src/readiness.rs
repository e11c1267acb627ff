//! Measures how long restarted proxies take to become ready, that is, to pass the health check at their listener. The checks
//! run on a separate thread, since the thread of the rig blocks while it starts a process.

use super::error::RigError;
use aniseyoke_lab_process::check_health;
use aniseyoke_lab_site::Health;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// The interval between health checks of one proxy.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The capacity of the command queue of the thread.
const MAX_QUEUED_COMMANDS: usize = 256;

/// How long restarted proxies took to become ready.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Readiness {
    /// The number of restarted processes that became ready.
    pub ready: usize,
    /// The number of restarted processes that were not ready at the end of the load, and were not ended by the rig before.
    pub unready: usize,
    /// The median time to readiness, in seconds, over all restarted processes; `None` if fewer than half became ready.
    pub p50_s: Option<f64>,
    /// The 90th percentile of the time to readiness, in seconds; `None` if fewer than 90% became ready.
    pub p90_s: Option<f64>,
    /// The longest time to readiness, in seconds; `None` if any process did not become ready.
    pub most_s: Option<f64>,
}

impl Readiness {
    /// Computes the percentiles from the times to readiness in seconds and the number of processes that did not become ready.
    pub fn from_times(mut times: Vec<f64>, unready: usize) -> Self {
        times.sort_by(f64::total_cmp);
        let all = times.len() + unready;
        let rank = |fraction: f64| times.get(((all as f64 * fraction).ceil() as usize).max(1) - 1).copied();
        Readiness { ready: times.len(), unready, p50_s: rank(0.5), p90_s: rank(0.9), most_s: rank(1.0) }
    }
}

enum WatchCommand {
    Started { index: usize, addr: SocketAddr, since: Instant },
    Ended { index: usize },
}

/// Measures the time to readiness of restarted proxies.
pub struct ReadinessWatch {
    commands: mpsc::Sender<WatchCommand>,
    thread: JoinHandle<Readiness>,
}

impl ReadinessWatch {
    /// Starts the thread.
    ///
    /// # Errors
    /// Returns an error if the thread or its runtime could not be created.
    pub fn start() -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let watch = move || runtime.block_on(watch(receiver));
        let thread = std::thread::Builder::new().name("ready".into()).spawn(watch)?;
        Ok(ReadinessWatch { commands, thread })
    }

    /// Reports that a process was started at `since` and accepts clients at `addr`.
    pub async fn started(&self, index: usize, addr: SocketAddr, since: Instant) {
        // The send fails only if the thread has panicked, which `finish` reports.
        let _ = self.commands.send(WatchCommand::Started { index, addr, since }).await;
    }

    /// Reports that the rig ended a process; if it was not ready yet, it is not counted.
    pub async fn ended(&self, index: usize) {
        let _ = self.commands.send(WatchCommand::Ended { index }).await;
    }

    /// Stops the thread and returns the result.
    ///
    /// # Errors
    /// Returns an error if the thread panicked.
    pub fn finish(self) -> Result<Readiness, RigError> {
        drop(self.commands);
        self.thread.join().map_err(|_| RigError::WatchPanicked)
    }
}

async fn watch(mut commands: mpsc::Receiver<WatchCommand>) -> Readiness {
    let (mut checks, mut times) = (JoinSet::new(), Vec::new());
    let mut waiting: HashMap<usize, AbortHandle> = HashMap::new();
    loop {
        tokio::select! {
            biased;
            Some(check) = checks.join_next(), if !checks.is_empty() => {
                // An aborted check yields no time.
                if let Ok((index, time)) = check {
                    waiting.remove(&index);
                    times.push(time);
                }
            }
            command = commands.recv() => match command {
                Some(WatchCommand::Started { index, addr, since }) => {
                    let check = checks.spawn(async move {
                        while check_health(addr).await != Health::Healthy {
                            tokio::time::sleep(POLL_INTERVAL).await;
                        }
                        (index, since.elapsed().as_secs_f64())
                    });
                    if let Some(old) = waiting.insert(index, check) {
                        old.abort();
                    }
                }
                Some(WatchCommand::Ended { index }) => {
                    if let Some(old) = waiting.remove(&index) {
                        old.abort();
                    }
                }
                None => return Readiness::from_times(times, waiting.len()),
            },
        }
    }
}
