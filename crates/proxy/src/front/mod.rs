//! The client side of the proxy: the listener, its connections, and their requests.
//!
//! - `startup` builds the components, and `tasks` runs the background tasks;
//! - `accept` admits connections and selects the one to close when descriptors run out;
//! - `client` serves a connection, `head_reader` checks its request heads before hyper reads them, and `close`
//!   describes its end; `clients` is the registry of the open connections;
//! - `framing` decides how the body of a request is framed, and `rejection` is why a request is rejected;
//! - `upload_clock` tells when a client may have written the last byte of a body;
//! - `unread_body` tells whether the rest of a body has arrived, with `chunked_end` for chunked ones;
//! - `request` parses a request, and `answer` responds to it;
//! - `resources` has the limits of the process, and `shutdown` the graceful shutdown.

mod accept;
mod answer;
mod chunked_end;
mod client;
mod clients;
mod close;
mod error;
mod framing;
mod head_reader;
mod headers;
mod rejection;
mod request;
mod resources;
mod shutdown;
mod startup;
mod tasks;
mod unread_body;
mod upload_clock;

pub use error::StartError;

use crate::budget::Budget;
use crate::config::{Config, Names};
use crate::control::{AdminHandler, StatusSources};
use crate::descriptors::DescriptorBudget;
use crate::discovery::{ListPolling, ListStatus, WatchTriggers};
use crate::drain::Drain;
use crate::metrics::Metrics;
use crate::opening::OpenLimiter;
use crate::operator_orders::OrderStore;
use crate::peers::Peers;
use crate::request_ids::RequestIds;
use crate::startup::{StartPhase, StartTimer};
use crate::upstream::Upstreams;
use crate::{admin, Engine};
use aniseyoke_core::EngineConfig;
use aniseyoke_decision::api;
use clients::Clients;
use resources::ResourceLimits;
use startup::{ClientListener, Parts};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tasks::{every, reload_on_hangup};
use tokio::net::TcpStream;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// Interval of closing surplus idle client connections.
const SHED_IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the checks for overdue clients, operators' orders and other processes of this proxy.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of closing connections to cache nodes that have been idle for too long.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// A process that takes over accepts clients once it has the endpoint list from discovery, or after this time
/// without it.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the checks whether the endpoint list has been received.
const ENDPOINT_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Number of descriptors that a process claims during shutdown beyond those in use.
const SPARE_DESCRIPTORS: usize = 4;

/// State shared by all client connections.
struct Server {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    descriptors: Rc<DescriptorBudget>,
    /// For the bodies of requests.
    budget: Arc<Budget>,
    /// For answers, which slow readers may hold for long.
    answer_budget: Arc<Budget>,
    settings: api::Settings,
    names: Rc<Names>,
    drain: Rc<Drain>,
    /// Number of other running processes of this proxy.
    other_processes: Cell<usize>,
    clients: Rc<Clients>,
    /// An accepted connection that waits for a descriptor of the budget.
    pending_connection: RefCell<Option<(TcpStream, SocketAddr)>>,
    request_ids: Rc<RequestIds>,
    metrics: Rc<Metrics>,
}

/// Options beyond the platform's configuration.
pub struct FrontOptions {
    /// Options of the engine.
    pub engine: EngineOptions,
    /// Options of the admin endpoint.
    pub admin: AdminOptions,
    /// Callbacks of the caller.
    pub hooks: Hooks,
    /// Logs the startup phases.
    pub start_timer: StartTimer,
}

/// Options of the engine and its connections.
pub struct EngineOptions {
    /// The engine's configuration.
    pub plan: Arc<EngineConfig>,
    /// The poll schedule, status and cache of the endpoint list, if the operator's file has a section for it.
    pub polling: Option<ListPolling>,
    /// Permits to open connections, if opening is rate-limited.
    pub opening: Option<OpenLimiter>,
    /// Memory that is not available to connections, beyond the base memory of every proxy, in bytes.
    pub reserved_memory: usize,
}

/// What the admin endpoint reports.
pub struct AdminOptions {
    /// The versions of the program and the configuration; updated with each version from a control service.
    pub version_info: Rc<RefCell<serde_json::Value>>,
    /// The status of the endpoint list, if the operator's file has a section for it.
    pub list_status: Option<Rc<ListStatus>>,
}

/// Callback for when the engine runs, with the address of the client listener.
pub type StartedHook = Box<dyn FnOnce(Rc<Engine>, SocketAddr) -> Result<(), StartError>>;

/// Callbacks of the caller.
pub struct Hooks {
    /// Called once the engine runs.
    pub started: StartedHook,
    /// Called once a second.
    pub each_second: Box<dyn Fn()>,
    /// Called on SIGHUP, after the platform's file has been reread.
    pub reload: Box<dyn Fn()>,
}

/// Serves until `stop` completes, then drains. At each `hangup`, rereads the platform's file and switches to
/// the discovery service that it names. Returns the time by which the process must have exited.
///
/// # Errors
/// If the proxy can't start.
pub async fn run(
    config: Config,
    options: FrontOptions,
    stop: impl Future<Output = ()>,
    hangup: Signal,
) -> Result<Instant, StartError> {
    let FrontOptions { engine: engine_options, admin: admin_options, hooks, mut start_timer } = options;
    let ClientListener { listener, addr, handed_over } = ClientListener::open(config.listen).await?;
    tracing::info!("{} on {addr}", if handed_over { "handover: listening" } else { "listening" });
    start_timer.complete(StartPhase::Listening);
    let state_dir = startup::state_dir();
    let peers = Peers::join(state_dir.clone());
    let limits = ResourceLimits::new(&config, engine_options.reserved_memory);
    let mgmt = config.mgmt;
    let parts = startup::build(config, engine_options, &limits, &peers, handed_over)?;
    let Parts { server, watcher, watch_requests, listed_nodes, current_list } = parts;
    (hooks.started)(server.engine.clone(), addr)?;
    start_timer.complete(StartPhase::Engine);

    let (address_sender, address_changes) = mpsc::unbounded_channel();
    let triggers = WatchTriggers { watch_requests, address_changes };
    tokio::task::spawn_local(watcher.follow(server.engine.clone(), triggers));
    reload_on_hangup(hangup, address_sender, hooks.reload);
    server.start_housekeeping(hooks.each_second);

    if mgmt.is_some() && state_dir.is_none() {
        tracing::warn!("TMPDIR is not set: operators' orders will be lost when this process exits");
    }
    let store = OrderStore::open(state_dir);
    let AdminOptions { version_info, list_status } = admin_options;
    let sources = StatusSources { version_info, list_status, metrics: server.metrics.clone() };
    let slow_start_time = Duration::from_nanos(server.settings.slow_start_time);
    let control = AdminHandler::new(
        server.engine.clone(),
        listed_nodes,
        server.drain.clone(),
        store,
        sources,
        slow_start_time,
    );
    if let Some(mgmt) = mgmt {
        open_admin_endpoint(mgmt, &control).await?;
    }
    let (orders, limited_server) = (control.clone(), server.clone());
    every(CHECK_INTERVAL, move || {
        orders.apply_stored_orders();
        current_list.take_over(&limited_server.engine);
        limited_server.adjust_limits(&limits, &peers);
    });
    tokio::select! {
        biased;
        () = stop => {}
        never = async {
            if handed_over {
                // A connection that is accepted too early can no longer be accepted by the old process, which
                // can serve it.
                server.wait_for_endpoint_list().await;
            }
            control.serving.set(true);
            server.accept_all(&listener).await
        } => match never {},
    }
    Ok(server.shut_down(listener, handed_over).await)
}

async fn open_admin_endpoint(addr: SocketAddr, control: &Rc<AdminHandler>) -> Result<(), StartError> {
    let control = control.clone();
    let handler = move |call| {
        let control = control.clone();
        async move { control.handle_call(call).await }
    };
    admin::open(addr, handler).await?;
    Ok(())
}

impl Server {
    /// Starts the tasks that close expired, overdue and surplus idle connections.
    fn start_housekeeping(self: &Rc<Self>, each_second: Box<dyn Fn()>) {
        let upstreams = self.upstreams.clone();
        every(SWEEP_INTERVAL, move || {
            upstreams.close_expired_idle();
            each_second();
        });
        let server = self.clone();
        every(CHECK_INTERVAL, move || {
            let now = Instant::now();
            server.clients.open().iter().for_each(|client| client.close_if_overdue(now, &server.drain));
        });
        let server = self.clone();
        every(SHED_IDLE_INTERVAL, move || server.shed_idle_clients());
    }

    /// Returns the maximum number of client connections: half of the descriptors, so that as many are left
    /// for connections to cache nodes.
    fn max_clients(&self) -> usize {
        self.descriptors.limit() / 2
    }

    /// Limits descriptors and memory to what the other processes of this proxy leave. During shutdown the
    /// claim shrinks with the descriptors in use.
    fn adjust_limits(&self, limits: &ResourceLimits, peers: &Peers) {
        let other_claims = peers.other_claims();
        let mut connections = limits.max_connections(&other_claims);
        if self.drain.is_shutting_down() && !other_claims.is_empty() {
            connections = connections.min(self.descriptors.used() + SPARE_DESCRIPTORS);
            limits.claim(peers, connections);
        }
        self.budget.set_limit(limits.max_buffered_bytes(&other_claims));
        self.answer_budget.set_limit(limits.max_answer_bytes(&other_claims));
        if connections != self.descriptors.limit() {
            self.descriptors.set_limit(connections);
        }
        if self.other_processes.replace(other_claims.len()) != other_claims.len() {
            tracing::info!(
                "{} other processes of this proxy are running: limit is {connections} connections",
                other_claims.len()
            );
        }
        while self.descriptors.used() > connections && self.upstreams.close_longest_idle() {}
    }

    /// Waits until the engine can serve and the endpoint list has been received, or its timeout has expired.
    async fn wait_for_endpoint_list(&self) {
        let start = Instant::now();
        while !(self.engine.can_serve()
            && (self.engine.list_received() || start.elapsed() > ENDPOINT_LIST_TIMEOUT))
        {
            sleep(ENDPOINT_LIST_CHECK_INTERVAL).await;
        }
        tracing::info!("handover: clients are admitted");
    }
}
