//! How long proxies that were started again take until they are ready: healthy at their listener. They are looked at from
//! a thread of its own, since the rig's stands still while it starts a process.

use aniseyoke_lab_process::health;
use aniseyoke_lab_site::Health;
use serde::Serialize;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, JoinSet};

/// Each is looked at so often.
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// Orders that may wait.
const ORDERS_MOST: usize = 256;

/// What the proxies that were started again came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Readiness {
    /// Processes started again that got ready.
    pub ready: usize,
    /// Those that were not ready when the load was over, and were not ended by the rig.
    pub unready: usize,
    /// Half of all were ready so long after their start, in seconds; none: they were not.
    pub p50_s: Option<f64>,
    /// Nine in ten.
    pub p90_s: Option<f64>,
    /// The last.
    pub most_s: Option<f64>,
}

impl Readiness {
    /// From the times of those that got ready, in seconds, and the number of those that did not.
    pub fn of(mut times: Vec<f64>, unready: usize) -> Self {
        times.sort_by(f64::total_cmp);
        let all = times.len() + unready;
        let rank = |part: f64| times.get(((all as f64 * part).ceil() as usize).max(1) - 1).copied();
        Readiness { ready: times.len(), unready, p50_s: rank(0.5), p90_s: rank(0.9), most_s: rank(1.0) }
    }
}

enum Order {
    Started { me: usize, addr: SocketAddr, since: Instant },
    Ended { me: usize },
}

/// Looks at proxies that were started again.
pub struct Watch {
    orders: mpsc::Sender<Order>,
    thread: JoinHandle<Readiness>,
}

impl Watch {
    /// Starts the thread.
    ///
    /// # Errors
    /// If the system has none, or no runtime for it.
    pub fn start() -> std::io::Result<Self> {
        let (orders, taken) = mpsc::channel(ORDERS_MOST);
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let watch = move || runtime.block_on(watch(taken));
        let thread = std::thread::Builder::new().name("ready".into()).spawn(watch)?;
        Ok(Watch { orders, thread })
    }

    /// A process was started at `since`, and takes clients there.
    pub async fn started(&self, me: usize, addr: SocketAddr, since: Instant) {
        // The thread is gone only if it broke, which the end tells.
        let _ = self.orders.send(Order::Started { me, addr, since }).await;
    }

    /// The rig ended a process; if it was not ready yet, it does not count.
    pub async fn ended(&self, me: usize) {
        let _ = self.orders.send(Order::Ended { me }).await;
    }

    /// What came of it.
    ///
    /// # Errors
    /// If the thread broke.
    pub fn finish(self) -> Result<Readiness, String> {
        drop(self.orders);
        self.thread.join().map_err(|_| "the thread that looks at restarted proxies broke".to_owned())
    }
}

async fn watch(mut orders: mpsc::Receiver<Order>) -> Readiness {
    let (mut looks, mut times) = (JoinSet::new(), Vec::new());
    let mut waiting: HashMap<usize, AbortHandle> = HashMap::new();
    loop {
        tokio::select! {
            biased;
            Some(look) = looks.join_next(), if !looks.is_empty() => {
                // One that was called off has no time.
                if let Ok((me, time)) = look {
                    waiting.remove(&me);
                    times.push(time);
                }
            }
            order = orders.recv() => match order {
                Some(Order::Started { me, addr, since }) => {
                    let look = looks.spawn(async move {
                        while health(addr).await != Health::Well {
                            tokio::time::sleep(LOOK_EVERY).await;
                        }
                        (me, since.elapsed().as_secs_f64())
                    });
                    if let Some(old) = waiting.insert(me, look) {
                        old.abort();
                    }
                }
                Some(Order::Ended { me }) => {
                    if let Some(old) = waiting.remove(&me) {
                        old.abort();
                    }
                }
                None => return Readiness::of(times, waiting.len()),
            },
        }
    }
}
