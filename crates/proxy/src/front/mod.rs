//! The clients' listener: what it is started with, and the parts that serve it. `accept` takes connections in and
//! decides who makes room, `client` keeps one connection, `request` reads and `answer` answers, `stop` ends.

mod accept;
mod answer;
mod client;
mod gate;
mod places;
mod request;
mod stop;

use crate::budget::Budget;
use crate::config::{Config, Names};
use crate::control::Control;
use crate::discovery::{self, EndpointWatcher, ListPolling, ListStatus, WatchTriggers};
use crate::drain::Drain;
use crate::opening::Opening;
use crate::peers::Peers;
use crate::socket::Descriptors;
use crate::state::Store;
use crate::upstream::Upstreams;
use crate::{admin, handover, Engine};
use aniseyoke_core::Plan;
use aniseyoke_decision::api;
use client::Client;
use hyper::header::HeaderValue;
use places::Places;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, Instant};

const THIN_EVERY: Duration = Duration::from_millis(20);
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// A process that takes over lets clients in once it has the list from discovery, or without it after this time.
const TOLD_WITHIN: Duration = Duration::from_secs(1);
const TOLD_AGAIN: Duration = Duration::from_millis(5);
/// Descriptors that are no sockets of the budget: standard streams, the listener, the runtime's own, the files of
/// the operators' state, discovery's.
const OWN_DESCRIPTORS: usize = 20 + discovery::DESCRIPTORS;
/// A process that stops claims so many descriptors beyond those that it uses.
const CLAIM_MORE: usize = 4;
/// Memory that is no connection's.
const OWN_MEMORY: usize = 8 << 20;

struct Server {
    engine: Rc<Engine>,
    upstreams: Rc<Upstreams>,
    descriptors: Rc<Descriptors>,
    budget: Rc<Budget>,
    settings: api::Settings,
    names: Rc<Names>,
    drain: Rc<Drain>,
    /// Processes of this proxy that live beside this one.
    others: Cell<usize>,
    clients: RefCell<Vec<Rc<Client>>>,
    /// A connection that was accepted, and waits for a descriptor of the budget.
    taken: RefCell<Option<TcpStream>>,
    /// The ids of all requests that lack their answer. Their hash is keyed, since clients choose them.
    ids: RefCell<HashSet<HeaderValue>>,
    left: Notify,
    /// When a process that was told to stop may be ended with whatever it has not answered.
    killed_at: Cell<Option<Instant>>,
}

/// What the operator sets beyond the platform's settings.
pub struct Beyond {
    /// What the core is to work by.
    pub plan: Arc<Plan>,
    /// When the list service may be asked, where that is limited.
    pub paced: Option<ListPolling>,
    /// What is told of the list then.
    pub held: Option<Rc<ListStatus>>,
    /// Permits to open connections, where that is limited.
    pub opening: Option<Opening>,
    /// Memory that is no connection's beside what every proxy keeps, in bytes.
    pub reserve: usize,
    /// What a call for the version is told; it changes with versions from a control service.
    pub about: Rc<RefCell<serde_json::Value>>,
    /// Called once the core runs, with the address where clients are taken.
    pub started: Box<dyn FnOnce(Rc<Engine>, std::net::SocketAddr) -> Result<(), String>>,
    /// Called once a second.
    pub each_second: Box<dyn Fn()>,
    /// Called when the platform's file is to be read again.
    pub reread: Box<dyn Fn()>,
}

/// Serves until `stop`, then drains; follows another discovery when the file names one at a `hangup`.
pub async fn run(
    config: Config,
    beyond: Beyond,
    stop: impl Future<Output = ()>,
    mut hangup: Signal,
) -> Result<(), String> {
    let listen = config.listen;
    let inherited = handover::inherited(listen)?;
    let handed = inherited.is_some();
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited),
        None => TcpListener::bind(listen).await,
    };
    let listener = listener.map_err(|e| format!("PROXY_LISTEN: {listen}: {e}"))?;
    let bound = listener.local_addr().map_err(|e| format!("PROXY_LISTEN: {listen}: {e}"))?;
    tracing::info!("{} on {bound}", if handed { "handover: listening" } else { "listening" });
    let dir = std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(std::path::PathBuf::from);
    let living = Peers::join(dir.clone());
    let (door, door_memory) = config.mgmt.map_or((0, 0), |_| (admin::DESCRIPTORS, admin::MEMORY));
    let own = OWN_DESCRIPTORS + door;
    let memory = config.memory.saturating_sub(OWN_MEMORY + door_memory + beyond.reserve);
    let places = Places { sockets: config.sockets, own, memory };
    let others = living.others();
    let descriptors = Descriptors::new(places.part(&others));
    let budget = Budget::new(places.held(&others));
    let settings = config.settings.clone();
    let (connect_timeout, conn_idle) = (config.connect_timeout, settings.conn_idle);
    let upstreams =
        Upstreams::new(descriptors.clone(), budget.clone(), connect_timeout, conn_idle, beyond.opening);
    let (watch, asked) = mpsc::unbounded_channel();
    let (mgmt, drain) = (config.mgmt, Rc::<Drain>::default());
    // Danger: who asks for what is newer than an old list hears nothing while nothing is, and can't tell it from a
    // discovery that is down. A process that takes over asks for the whole list.
    let version = config.known.as_ref().filter(|_| !handed).map(|known| known.version);
    let (addr, names) = (config.discovery, Rc::new(config.names));
    let discovery = EndpointWatcher::new(addr, version, settings.must_ask_in, names.clone(), beyond.paced);
    let known = config.known.as_ref().map_or_else(Vec::new, |known| names.entries(known));
    let engine = Engine::new(beyond.plan, config.seed, &known, upstreams.clone(), watch);
    let engine = engine.map_err(|fault| fault.to_string())?;
    (beyond.started)(engine.clone(), bound)?;
    let (moves, moved) = mpsc::unbounded_channel();
    let triggers = WatchTriggers { watch_requests: asked, address_changes: moved };
    tokio::task::spawn_local(discovery.follow(engine.clone(), triggers));
    tokio::task::spawn_local(async move {
        while hangup.recv().await.is_some() {
            match Config::again() {
                // The receiver is gone only when the proxy ends.
                Ok(config) => drop(moves.send(config.discovery)),
                Err(e) => tracing::warn!("the settings stay as they are: {e}"),
            }
            (beyond.reread)();
        }
    });
    let sweeper = upstreams.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(Duration::from_secs(1)).await;
            sweeper.sweep();
            (beyond.each_second)();
        }
    });
    let server = Rc::new(Server {
        engine: engine.clone(),
        upstreams,
        descriptors,
        budget,
        settings,
        names,
        drain: drain.clone(),
        others: Cell::new(0),
        clients: RefCell::default(),
        taken: RefCell::default(),
        ids: RefCell::default(),
        left: Notify::new(),
        killed_at: Cell::new(None),
    });
    let watched = server.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(LOOK_EVERY).await;
            let now = Instant::now();
            watched.clients.borrow().iter().for_each(|c| c.look(now, &watched.drain));
        }
    });
    if mgmt.is_some() && dir.is_none() {
        tracing::warn!("TMPDIR is not set: what operators order ends with this process");
    }
    let crowded = server.clone();
    tokio::task::spawn_local(async move {
        loop {
            sleep(THIN_EVERY).await;
            crowded.thin();
        }
    });
    let control = Control::new(engine.clone(), drain, Store::open(dir), beyond.about, beyond.held);
    if let Some(mgmt) = mgmt {
        let control = control.clone();
        let act = move |call| {
            let control = control.clone();
            async move { control.act(call).await }
        };
        admin::open(mgmt, act).await?;
    }
    let (looking, sharing) = (control.clone(), server.clone());
    tokio::task::spawn_local(async move {
        loop {
            sleep(LOOK_EVERY).await;
            looking.look();
            sharing.share(&places, &living);
        }
    });
    tokio::select! {
        biased;
        () = stop => {}
        never = async {
            if handed {
                // Danger: what is taken from the queue before it can be served is lost to the one that can.
                server.until_told().await;
            }
            control.serving.set(true);
            server.accept_all(&listener).await
        } => match never {},
    }
    server.stop(listener, handed).await;
    Ok(())
}

impl Server {
    /// Danger: clients that hold every descriptor could be answered by nobody. Of two they get one.
    fn clients_most(&self) -> usize {
        self.descriptors.most() / 2
    }

    /// Takes no more descriptors than the other processes of this proxy leave; one that stops takes ever fewer.
    fn share(&self, places: &Places, living: &Peers) {
        let others = living.others();
        let mut most = places.part(&others);
        if self.drain.stopping() && !others.is_empty() {
            most = most.min(self.descriptors.used() + CLAIM_MORE);
            living.claim(most + places.own);
        }
        self.budget.limit(places.held(&others));
        if most != self.descriptors.most() {
            self.descriptors.limit(most);
        }
        if self.others.replace(others.len()) != others.len() {
            tracing::info!("{} other processes live: {most} connections at most", others.len());
        }
        while self.descriptors.used() > most && self.upstreams.yield_idle() {}
    }

    /// Waits until this process can serve as well as the one that it takes over from.
    async fn until_told(&self) {
        let start = Instant::now();
        while !(self.engine.can_serve() && (self.engine.told() || start.elapsed() > TOLD_WITHIN)) {
            sleep(TOLD_AGAIN).await;
        }
        tracing::info!("handover: clients are let in");
    }
}
