//! How long proxies that were started again take to be ready, that is healthy at their listener. They are checked from a
//! thread of their own, since the rig's thread blocks while it starts a process.

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

/// How often each is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Orders to the thread that may wait.
const MAX_QUEUED_COMMANDS: usize = 256;

/// How long the proxies that were started again took to be ready.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Readiness {
    /// Processes started again that got ready.
    pub ready: usize,
    /// Those that were not ready when the load was over, and were not ended by the rig.
    pub unready: usize,
    /// Half of all were ready this long after their start, in seconds; none if they were not.
    pub p50_s: Option<f64>,
    /// The same for nine in ten.
    pub p90_s: Option<f64>,
    /// The same for all.
    pub most_s: Option<f64>,
}

impl Readiness {
    /// From the times of those that got ready, in seconds, and the number of those that did not.
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

/// Watches proxies that were started again.
pub struct ReadinessWatch {
    commands: mpsc::Sender<WatchCommand>,
    thread: JoinHandle<Readiness>,
}

impl ReadinessWatch {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the system has none, or no runtime for it.
    pub fn start() -> std::io::Result<Self> {
        let (commands, receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let watch = move || runtime.block_on(watch(receiver));
        let thread = std::thread::Builder::new().name("ready".into()).spawn(watch)?;
        Ok(ReadinessWatch { commands, thread })
    }

    /// A process was started at `since` and accepts clients at `addr`.
    pub async fn started(&self, index: usize, addr: SocketAddr, since: Instant) {
        // The thread is gone only if it panicked, which `finish` tells.
        let _ = self.commands.send(WatchCommand::Started { index, addr, since }).await;
    }

    /// The rig ended a process; if it was not ready yet, it does not count.
    pub async fn ended(&self, index: usize) {
        let _ = self.commands.send(WatchCommand::Ended { index }).await;
    }

    /// The times of all.
    ///
    /// # Errors
    /// If the thread panicked.
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
                // A check that was aborted has no time.
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
