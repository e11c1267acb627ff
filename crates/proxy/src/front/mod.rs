//! The clients' side of the proxy: its listener, the connections on it, and their requests.
//!
//! - `startup` builds the parts, and `tasks` runs beside them;
//! - `accept` admits connections and decides which one is closed when descriptors run out;
//! - `client` is one connection, whose request heads `head_reader` checks before hyper reads them, and `close` is its end;
//! - `request` parses a request and `answer` gives it its one final answer;
//! - `resources` are the process's limits, and `shutdown` is the graceful shutdown.

mod accept;
mod answer;
mod client;
mod close;
mod error;
mod head_reader;
mod headers;
mod request;
mod resources;
mod shutdown;
mod startup;
mod tasks;

pub use error::StartError;

use crate::budget::Budget;
use crate::config::{Config, Names};
use crate::control::Control;
use crate::descriptors::DescriptorBudget;
use crate::discovery::{ListPolling, ListStatus, WatchTriggers};
use crate::drain::Drain;
use crate::opening::OpenLimiter;
use crate::operator_orders::OrderStore;
use crate::peers::Peers;
use crate::startup::{StartPhase, StartTimer};
use crate::upstream::Upstreams;
use crate::{admin, Engine};
use aniseyoke_core::EngineConfig;
use aniseyoke_decision::api;
use client::Client;
use hyper::header::HeaderValue;
use resources::ResourceLimits;
use startup::{ClientListener, Parts};
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tasks::{every, reload_on_hangup};
use tokio::net::TcpStream;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Instant};

/// Idle clients' connections beyond their part are closed so often.
const SHED_IDLE_INTERVAL: Duration = Duration::from_millis(20);
/// Overdue clients, the operators' orders and the other processes are looked for so often.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Idle connections to cache nodes that are too old are closed so often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// A process that takes over admits clients once it has the list from discovery, or without it after this time.
const ENDPOINT_LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// How often it looks whether it has it.
const ENDPOINT_LIST_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A process that stops claims so many descriptors beyond those that it uses.
const SPARE_DESCRIPTORS: usize = 4;

/// What all connections of clients share.
struct Server {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    descriptors: Rc<DescriptorBudget>,
    budget: Rc<Budget>,
    settings: api::Settings,
    names: Rc<Names>,
    drain: Rc<Drain>,
    /// How many processes of this proxy live beside this one.
    other_processes: Cell<usize>,
    clients: RefCell<Vec<Rc<Client>>>,
    /// A connection that was accepted, and waits for a descriptor of the budget.
    pending_connection: RefCell<Option<(TcpStream, SocketAddr)>>,
    /// The ids of all requests that lack their answer. Their hash is keyed, since clients choose them.
    open_request_ids: RefCell<HashSet<HeaderValue>>,
    client_closed: Notify,
    /// When a process that was told to stop may be killed with whatever it has not answered.
    kill_deadline: Cell<Option<Instant>>,
}

/// What the operator sets beyond the platform's settings.
pub struct FrontOptions {
    /// How requests are served.
    pub engine: EngineOptions,
    /// What the admin endpoint shows.
    pub admin: AdminOptions,
    /// What else is to be done at certain moments.
    pub hooks: Hooks,
    /// Logs the phases of the start.
    pub start_timer: StartTimer,
}

/// How requests are served.
pub struct EngineOptions {
    /// The engine's configuration.
    pub plan: Arc<EngineConfig>,
    /// The poll schedule, status and cache of the endpoint list, where the operator's file has a section for it.
    pub polling: Option<ListPolling>,
    /// Permits to open connections, where that is limited.
    pub opening: Option<OpenLimiter>,
    /// Memory that is no connection's beside what every proxy keeps, in bytes.
    pub reserved_memory: usize,
}

/// What the admin endpoint shows.
pub struct AdminOptions {
    /// The program, its configuration and its version; it changes with versions from a control service.
    pub version_info: Rc<RefCell<serde_json::Value>>,
    /// The status of the endpoint list, where the operator's file has a section for it.
    pub list_status: Option<Rc<ListStatus>>,
}

/// Called once the engine runs, with the address where clients are accepted.
pub type StartedHook = Box<dyn FnOnce(Rc<Engine>, SocketAddr) -> Result<(), StartError>>;

/// What else is to be done at certain moments.
pub struct Hooks {
    /// Called once the engine runs.
    pub started: StartedHook,
    /// Called once a second.
    pub each_second: Box<dyn Fn()>,
    /// Called when the platform's file is to be read again.
    pub reload: Box<dyn Fn()>,
}

/// Serves until `stop`, then drains; follows another discovery when the file names one at a `hangup`. Returns by when the
/// process has to have ended.
///
/// # Errors
/// If the proxy can't start to serve.
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
    let parts = startup::build(config, engine_options, &limits, &peers.other_claims(), handed_over)?;
    let Parts { server, watcher, watch_requests } = parts;
    (hooks.started)(server.engine.clone(), addr)?;
    start_timer.complete(StartPhase::Engine);

    let (address_sender, address_changes) = mpsc::unbounded_channel();
    let triggers = WatchTriggers { watch_requests, address_changes };
    tokio::task::spawn_local(watcher.follow(server.engine.clone(), triggers));
    reload_on_hangup(hangup, address_sender, hooks.reload);
    server.start_housekeeping(hooks.each_second);

    if mgmt.is_some() && state_dir.is_none() {
        tracing::warn!("TMPDIR is not set: what operators order ends with this process");
    }
    let store = OrderStore::open(state_dir);
    let AdminOptions { version_info, list_status } = admin_options;
    let control = Control::new(server.engine.clone(), server.drain.clone(), store, version_info, list_status);
    if let Some(mgmt) = mgmt {
        open_admin_endpoint(mgmt, &control).await?;
    }
    let (orders, sharing) = (control.clone(), server.clone());
    every(CHECK_INTERVAL, move || {
        orders.apply_stored_orders();
        sharing.adjust_limits(&limits, &peers);
    });
    tokio::select! {
        biased;
        () = stop => {}
        never = async {
            if handed_over {
                // A connection accepted before it can be served would be lost to the process that can serve it.
                server.wait_for_endpoint_list().await;
            }
            control.serving.set(true);
            server.accept_all(&listener).await
        } => match never {},
    }
    Ok(server.shut_down(listener, handed_over).await)
}

async fn open_admin_endpoint(addr: SocketAddr, control: &Rc<Control>) -> Result<(), StartError> {
    let control = control.clone();
    let act = move |call| {
        let control = control.clone();
        async move { control.handle_call(call).await }
    };
    admin::open(addr, act).await?;
    Ok(())
}

impl Server {
    /// Starts the tasks that close connections which are too old, overdue or idle in a crowd.
    fn start_housekeeping(self: &Rc<Self>, each_second: Box<dyn Fn()>) {
        let upstreams = self.upstreams.clone();
        every(SWEEP_INTERVAL, move || {
            upstreams.close_expired_idle();
            each_second();
        });
        let server = self.clone();
        every(CHECK_INTERVAL, move || {
            let now = Instant::now();
            server.clients.borrow().iter().for_each(|client| client.close_if_overdue(now, &server.drain));
        });
        let server = self.clone();
        every(SHED_IDLE_INTERVAL, move || server.shed_idle_clients());
    }

    /// Clients get half of the descriptors, so that as many are left for the connections over which they are answered.
    fn max_clients(&self) -> usize {
        self.descriptors.limit() / 2
    }

    /// Takes no more descriptors than the other processes of this proxy leave; one that stops takes ever fewer.
    fn adjust_limits(&self, limits: &ResourceLimits, peers: &Peers) {
        let others = peers.other_claims();
        let mut connections = limits.max_connections(&others);
        if self.drain.is_shutting_down() && !others.is_empty() {
            connections = connections.min(self.descriptors.used() + SPARE_DESCRIPTORS);
            limits.claim(peers, connections);
        }
        self.budget.set_limit(limits.max_buffered_bytes(&others));
        if connections != self.descriptors.limit() {
            self.descriptors.set_limit(connections);
        }
        if self.other_processes.replace(others.len()) != others.len() {
            tracing::info!("{} other processes live: {connections} connections at most", others.len());
        }
        while self.descriptors.used() > connections && self.upstreams.close_longest_idle() {}
    }

    /// Waits until this process can serve as well as the one that it takes over from.
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
