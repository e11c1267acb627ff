//! An open-loop load generator: arrivals are drawn in advance and released when they are due, regardless of earlier
//! responses.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod arrivals;
mod client;
mod stats;
mod summary;

pub use arrivals::{attempt_limits, retry_delay, Arrival, Arrivals, ClientBehavior, ABORT_DELAY};
pub use stats::{Goodput, LoadStats, Outcome, OutcomeStats, OUTCOMES};
pub use summary::{LoadSummary, OutcomeSummary, Percentiles};

use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::{nanos, Clock, Nanos, SECOND};
use aniseyoke_lab_day::Day;
use aniseyoke_lab_site::LoadBalancer;
use client::Clients;
use std::io;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Maximum number of requests in flight. Arrivals beyond it are not sent, which makes the trial invalid.
const MAX_IN_FLIGHT: usize = 20_000;
/// Capacity of the queue from the releasing thread to the clients, in arrivals.
const MAX_RELEASED: usize = 1 << 14;
/// An idle connection that was closed is reopened after this time.
const REOPEN_IDLE_AFTER: Duration = Duration::from_secs(1);

/// Options of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadOptions {
    /// Maximum number of connections in use.
    pub connections: usize,
    /// A client waits this much longer than the time left that it sends before it gives up, to allow for the network
    /// and scheduling delays of this machine.
    pub grace: Duration,
}

impl LoadOptions {
    /// Options with this number of connections and a grace of 150 ms.
    pub fn new(connections: usize) -> Self {
        LoadOptions { connections, grace: Duration::from_millis(150) }
    }
}

/// The progress of a running load, shared with other threads.
#[derive(Default)]
pub struct Progress {
    /// Number of arrivals released so far.
    pub released: AtomicU64,
    /// Number of requests that have ended.
    pub ended: AtomicU64,
    /// Set to end the load early; requests in flight are still completed.
    pub stop: AtomicBool,
}

/// A running load, on its own threads.
pub struct Load {
    /// Its progress.
    pub progress: Arc<Progress>,
    thread: JoinHandle<LoadStats>,
}

impl Load {
    /// Starts the load of a day at time `from` of the clock.
    ///
    /// # Errors
    /// If a thread or the runtime can't be created.
    pub fn start(
        day: &Day,
        clock: Clock,
        from: Nanos,
        load_balancer: Arc<LoadBalancer>,
        options: LoadOptions,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
    ) -> io::Result<Load> {
        let progress = Arc::<Progress>::default();
        let (released, arrivals) = mpsc::channel(MAX_RELEASED);
        let (shared_day, shared) = (day.clone(), progress.clone());
        let releasing = move || release_on_time(&shared_day, clock, from, &shared, &released);
        std::thread::Builder::new().name("pace".into()).spawn(releasing)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (day, shared_progress) = (day.clone(), progress.clone());
        let run = move || {
            let clients = Clients::new(&day, clock, from, load_balancer, recorder(), options);
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, release(clients.clone(), from, arrivals, shared_progress));
            drop(local);
            clients.recorder.flush();
            let stats = clients.stats.borrow().clone();
            stats
        };
        let thread = std::thread::Builder::new().name("load".into()).spawn(run)?;
        Ok(Load { progress, thread })
    }

    /// Whether every request has ended.
    pub fn finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the end of the load and returns its statistics.
    pub fn finish(self) -> LoadStats {
        self.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

/// Releases each arrival when it is due. It runs on its own thread, since a runtime's timers are only accurate to a
/// millisecond.
fn release_on_time(
    day: &Day,
    clock: Clock,
    from: Nanos,
    progress: &Progress,
    released: &mpsc::Sender<Arrival>,
) {
    for mut arrival in Arrivals::new(day) {
        arrival.due += from;
        let wait = arrival.due.saturating_sub(clock.now());
        if wait > 0 {
            std::thread::sleep(Duration::from_nanos(wait));
        }
        if progress.stop.load(Ordering::Relaxed) || released.blocking_send(arrival).is_err() {
            return;
        }
        progress.released.fetch_add(1, Ordering::Relaxed);
    }
}

async fn release(
    clients: Rc<Clients>,
    from: Nanos,
    mut arrivals: mpsc::Receiver<Arrival>,
    progress: Arc<Progress>,
) {
    let flush_clients = clients.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_millis(50)).await;
            flush_clients.recorder.flush();
        }
    });
    for _ in 0..clients.day.load.misbehaving.idle_connections {
        tokio::task::spawn_local(idle(clients.clone()));
    }
    while let Some(arrival) = arrivals.recv().await {
        if clients.in_flight.get() >= MAX_IN_FLIGHT {
            clients.stats.borrow_mut().not_sent += 1;
            continue;
        }
        let (clients, progress) = (clients.clone(), progress.clone());
        tokio::task::spawn_local(async move {
            clients.request(arrival).await;
            progress.ended.fetch_add(1, Ordering::Relaxed);
        });
    }
    // Requests with retries can last up to the deadline of their class; none lasts longer than that plus the grace of
    // slow clients.
    let max_deadline = clients.day.load.classes.iter().map(|c| nanos(c.deadline)).max().unwrap_or(0);
    let end = clients.clock.now().max(from + nanos(clients.day.length)) + 2 * max_deadline + 5 * SECOND;
    while clients.in_flight.get() > 0 && clients.clock.now() < end {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Opens a connection without using it, and reopens it when the proxy has closed it.
async fn idle(clients: Rc<Clients>) {
    loop {
        let (_, addr) = clients.load_balancer.pick();
        if let Ok(mut stream) = TcpStream::connect(addr).await {
            let mut byte = [0; 64];
            // Any input, such as an error response, is read until the connection closes.
            while stream.read(&mut byte).await.is_ok_and(|n| n > 0) {}
            clients.stats.borrow_mut().idle_closed += 1;
        }
        sleep(REOPEN_IDLE_AFTER).await;
    }
}
