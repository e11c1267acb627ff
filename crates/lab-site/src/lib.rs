//! Runs the model of a site on loopback sockets in real time: cache nodes, the origin, discovery, and the load
//! balancer in front of the proxies.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod discovery;
pub mod http;
mod listener;
mod load_balancer;
mod node;
mod state;

pub use discovery::query_parameter;
pub use load_balancer::{Health, LoadBalancer};

use aniseyoke_lab_audit::Recorder;
use aniseyoke_lab_day::clock::Clock;
use aniseyoke_lab_day::Day;
use aniseyoke_lab_world::connection_load::{ConnectionLimits, MemberLoad};
use hdrhistogram::Histogram;
use serde_json::Value;
use state::SiteState;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::thread::JoinHandle;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

/// Returns the address at which proxy `.0` reaches a member of kind `.2` (`ledger` for the origin) that listens at
/// `.1`: the address of a relay of the fault rig.
pub type Route = std::sync::Arc<dyn Fn(usize, SocketAddr, &str) -> SocketAddr + Send + Sync>;

/// Options of a site in addition to its day.
#[derive(Clone, Default)]
pub struct SiteOptions {
    /// Address at which each proxy reaches each member; the member's own address if absent.
    pub route: Option<Route>,
    /// Maximum number of calls per second at discovery over all proxies; it answers further calls with 503 and
    /// `Retry-After`.
    pub max_list_calls_per_second: Option<u64>,
    /// Value of that `Retry-After`, in seconds.
    pub retry_after_s: f64,
    /// Connection limits of cache nodes.
    pub connection_limits: ConnectionLimits,
}

/// Capacity of the queue of proxy restarts.
const MAX_PENDING_RESTARTS: usize = 1024;

/// Counts of a site over its day.
pub struct SiteCounts {
    /// Delay in handling the model's events, in microseconds.
    pub lateness: Histogram<u64>,
    /// Requests that reached the origin (fetches and writes).
    pub origin_requests: u64,
    /// Reads served from a node's cache.
    pub hits: u64,
    /// Cache misses of nodes.
    pub misses: u64,
    /// Calls at discovery in each second since the site opened.
    pub list_calls: Vec<u64>,
    /// Calls at discovery that were rejected by its rate limit, in each second.
    pub list_rejected: Vec<u64>,
    /// Connections and attempts at cache nodes, then at the origin.
    pub member_load: [MemberLoad; 2],
}

/// An open site, on a thread of its own.
pub struct Site {
    /// The address of discovery for each proxy.
    pub discovery: Vec<SocketAddr>,
    /// The address of each member when the site opened, the origin last.
    pub members: Vec<SocketAddr>,
    /// The endpoint list for each proxy when the site opened, in the JSON of discovery.
    pub initial_lists: Vec<Value>,
    /// Proxies that must be restarted according to the day.
    pub proxy_restarts: mpsc::Receiver<usize>,
    begin: Option<oneshot::Sender<()>>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<SiteCounts>,
}

struct SiteEndpoints {
    discovery: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    initial_lists: Vec<Value>,
}

impl Site {
    /// Opens a site; no fault is injected before [`Site::begin`].
    ///
    /// # Errors
    /// If addresses, file descriptors or threads are unavailable.
    pub fn open(
        day: &Day,
        clock: Clock,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
    ) -> io::Result<Site> {
        Site::open_with(day, clock, recorder, SiteOptions::default())
    }

    /// Opens a site with options: the addresses at which each proxy reaches each member, and limits of discovery and
    /// nodes.
    ///
    /// # Errors
    /// As [`Site::open`].
    pub fn open_with(
        day: &Day,
        clock: Clock,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
        options: SiteOptions,
    ) -> io::Result<Site> {
        let (stop, stopped) = oneshot::channel();
        let (begin, begun) = oneshot::channel();
        let (restart_tx, proxy_restarts) = mpsc::channel(MAX_PENDING_RESTARTS);
        let (opened_tx, opened) = std::sync::mpsc::channel();
        let day = day.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run_site = move || {
            let local = tokio::task::LocalSet::new();
            let state = SiteState::new(&day, clock, recorder(), restart_tx, options, node::spawn_member);
            let task_state = state.clone();
            local.block_on(&runtime, async move {
                // The opener waits for this message.
                let _ = opened_tx.send(open(&task_state).await);
                tokio::task::spawn_local(task_state.clone().drive());
                tokio::task::spawn_local(task_state.clone().flush_evidence());
                let begin_state = task_state.clone();
                tokio::task::spawn_local(async move {
                    if begun.await.is_ok() {
                        begin_state.begin();
                    }
                });
                // The site closes on request, or when its owner drops it.
                let _ = stopped.await;
            });
            state.recorder.flush();
            drop(local);
            let counts = SiteCounts {
                lateness: state.lateness.borrow().clone(),
                origin_requests: state.origin_requests.get(),
                hits: state.hits.get(),
                misses: state.misses.get(),
                list_calls: state.list_calls.borrow().clone(),
                list_rejected: state.list_rejected.borrow().clone(),
                member_load: state.connection_load.borrow().load(),
            };
            counts
        };
        let thread = std::thread::Builder::new().name("site".into()).spawn(run_site)?;
        let opened =
            opened.recv().map_err(|_| io::Error::other("the site thread ended before the site opened"))??;
        let SiteEndpoints { discovery, members, initial_lists } = opened;
        Ok(Site { discovery, members, initial_lists, proxy_restarts, begin: Some(begin), stop, thread })
    }

    /// Starts the day: faults are injected at their times from now on.
    pub fn begin(&mut self) {
        if let Some(begin) = self.begin.take() {
            // If the site thread has ended early, `close` reports it.
            let _ = begin.send(());
        }
    }

    /// Closes the site and returns its counts.
    pub fn close(self) -> SiteCounts {
        // Sending fails only if the site thread has already ended.
        let _ = self.stop.send(());
        self.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

async fn open(state: &std::rc::Rc<SiteState>) -> io::Result<SiteEndpoints> {
    state.open_members()?;
    let mut addrs = Vec::new();
    for proxy in 0..state.day.site.proxy.count {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        addrs.push(listener.local_addr()?);
        tokio::task::spawn_local(discovery::serve_proxy(state.clone(), proxy, listener));
    }
    let endpoints = state.model.borrow().endpoint_list().all();
    let members = state.members.borrow().iter().map(|p| p.addr).collect();
    let initial_lists =
        (0..addrs.len()).map(|proxy| discovery::list(state, proxy, &endpoints, true)).collect();
    Ok(SiteEndpoints { discovery: addrs, members, initial_lists })
}
