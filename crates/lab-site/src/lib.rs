//! The model of a site on loopback sockets, in real time: cache nodes, the origin, discovery, and the load balancer in
//! front of the proxies.
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

/// Where proxy `.0` is to reach a member that listens at `.1` and is of kind `.2` (`ledger` for the origin): the address
/// of a relay of the fault rig.
pub type Route = std::sync::Arc<dyn Fn(usize, SocketAddr, &str) -> SocketAddr + Send + Sync>;

/// What may be asked of a site beyond its day.
#[derive(Clone, Default)]
pub struct SiteOptions {
    /// Where each proxy reaches each member; at the member itself without one.
    pub route: Option<Route>,
    /// Calls a second that discovery answers in all; past that it answers 503 with `Retry-After`.
    pub max_list_calls_per_second: Option<u64>,
    /// What that `Retry-After` says, in seconds.
    pub retry_after_s: f64,
    /// The connections that cache nodes accept.
    pub connection_limits: ConnectionLimits,
}

/// Restarts that may wait to be made.
const MAX_PENDING_RESTARTS: usize = 1024;

/// What a site has counted over its day.
pub struct SiteCounts {
    /// How late the model's events were handled, in microseconds.
    pub lateness: Histogram<u64>,
    /// Requests that reached the origin: fetches and writes.
    pub origin_requests: u64,
    /// Reads served from a node's cache.
    pub hits: u64,
    /// Reads that a node missed.
    pub misses: u64,
    /// Calls at discovery, for each second from the site's opening.
    pub list_calls: Vec<u64>,
    /// Of those, rejected for being past what it answers a second.
    pub list_rejected: Vec<u64>,
    /// Connections and attempts at cache nodes, and at the origin.
    pub member_load: [MemberLoad; 2],
}

/// An open site, on a thread of its own.
pub struct Site {
    /// Where discovery answers, an address for each proxy.
    pub discovery: Vec<SocketAddr>,
    /// Where each member listened when the site opened, the origin last.
    pub members: Vec<SocketAddr>,
    /// The endpoint list when the site opened, in discovery's form, for each proxy.
    pub initial_lists: Vec<Value>,
    /// Proxies that the day wants restarted.
    pub proxy_restarts: mpsc::Receiver<usize>,
    begin: Option<oneshot::Sender<()>>,
    stop: oneshot::Sender<()>,
    thread: JoinHandle<SiteCounts>,
}

struct OpenedSite {
    discovery: Vec<SocketAddr>,
    members: Vec<SocketAddr>,
    initial_lists: Vec<Value>,
}

impl Site {
    /// Opens a site; no fault is injected before [`Site::begin`].
    ///
    /// # Errors
    /// If the system lacks addresses, descriptors or threads.
    pub fn open(
        day: &Day,
        clock: Clock,
        recorder: impl FnOnce() -> Recorder + Send + 'static,
    ) -> io::Result<Site> {
        Site::open_with(day, clock, recorder, SiteOptions::default())
    }

    /// Opens a site with options: the addresses at which each proxy reaches each member, and limits of discovery and nodes.
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
        let (restarts_out, proxy_restarts) = mpsc::channel(MAX_PENDING_RESTARTS);
        let (opened_out, opened) = std::sync::mpsc::channel();
        let day = day.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let run_site = move || {
            let local = tokio::task::LocalSet::new();
            let state = SiteState::new(&day, clock, recorder(), restarts_out, options, node::spawn_member);
            let running = state.clone();
            local.block_on(&runtime, async move {
                // Who opens the site waits for this.
                let _ = opened_out.send(open(&running).await);
                tokio::task::spawn_local(running.clone().drive());
                tokio::task::spawn_local(running.clone().flush_evidence());
                let beginning = running.clone();
                tokio::task::spawn_local(async move {
                    if begun.await.is_ok() {
                        beginning.begin();
                    }
                });
                // Whoever held the site and let go of it wants it closed.
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
        let opened = opened.recv().map_err(|_| io::Error::other("the site did not open"))??;
        let OpenedSite { discovery, members, initial_lists } = opened;
        Ok(Site { discovery, members, initial_lists, proxy_restarts, begin: Some(begin), stop, thread })
    }

    /// Begins the day: faults are injected at their times from now on.
    pub fn begin(&mut self) {
        if let Some(begin) = self.begin.take() {
            // A site that has ended by itself is noticed when it is closed.
            let _ = begin.send(());
        }
    }

    /// Closes the site and returns what it counted.
    pub fn close(self) -> SiteCounts {
        // A site that has ended by itself has nothing to be told.
        let _ = self.stop.send(());
        self.thread.join().unwrap_or_else(|panic| std::panic::resume_unwind(panic))
    }
}

async fn open(state: &std::rc::Rc<SiteState>) -> io::Result<OpenedSite> {
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
    Ok(OpenedSite { discovery: addrs, members, initial_lists })
}
