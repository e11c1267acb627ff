//! Builds the parts that serve clients: the listener, the engine with its connections to cache nodes, and the client of the
//! discovery service.

use super::error::StartError;
use super::resources::ResourceLimits;
use super::{EngineOptions, Server};
use crate::bind::with_address;
use crate::budget::Budget;
use crate::config::Config;
use crate::descriptors::DescriptorBudget;
use crate::discovery::EndpointWatcher;
use crate::drain::Drain;
use crate::upstream::Upstreams;
use crate::{handover, Engine};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};

/// The clients' listener.
pub(super) struct ClientListener {
    pub(super) listener: TcpListener,
    pub(super) addr: SocketAddr,
    /// The platform holds the socket, and hands it from one process to the next.
    pub(super) handed_over: bool,
}

impl ClientListener {
    /// Takes the listening socket that the platform hands over, or opens one at this address.
    pub(super) async fn open(addr: SocketAddr) -> Result<Self, StartError> {
        let inherited = handover::inherited(addr)?;
        let handed_over = inherited.is_some();
        let listener = match inherited {
            Some(inherited) => TcpListener::from_std(inherited),
            None => TcpListener::bind(addr).await,
        };
        let (listener, addr) = with_address("PROXY_LISTEN", addr, listener)?;
        Ok(ClientListener { listener, addr, handed_over })
    }
}

/// The folder for what outlives the process, if the platform names one.
pub(super) fn state_dir() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from)
}

/// What serves clients, before the first is accepted.
pub(super) struct Parts {
    pub(super) server: Rc<Server>,
    pub(super) watcher: EndpointWatcher,
    /// The engine's requests for a watch.
    pub(super) watch_requests: mpsc::UnboundedReceiver<()>,
}

/// Builds the server, its engine and the client of the discovery service.
pub(super) fn build(
    config: Config,
    options: EngineOptions,
    limits: &ResourceLimits,
    others: &[Option<usize>],
    handed_over: bool,
) -> Result<Parts, StartError> {
    let descriptors = DescriptorBudget::new(limits.max_connections(others));
    let budget = Budget::new(limits.max_buffered_bytes(others));
    let upstreams = Upstreams::new(
        descriptors.clone(),
        budget.clone(),
        config.connect_timeout,
        config.settings.idle_timeout,
        options.opening,
    );
    let names = Rc::new(config.names);
    // A process that takes over asks for the full list: who asks for what is newer than an old list hears nothing while
    // nothing is, and can't tell that from a discovery that is down.
    let version = config.known.as_ref().filter(|_| !handed_over).map(|known| known.version);
    let watcher = EndpointWatcher::new(
        config.discovery,
        version,
        config.settings.poll_within,
        names.clone(),
        options.polling,
    );
    let known = config.known.as_ref().map_or_else(Vec::new, |known| names.entries(known));
    let (request_watch, watch_requests) = mpsc::unbounded_channel();
    let engine = Engine::new(options.plan, config.seed, &known, upstreams.clone(), request_watch);
    let engine = engine.map_err(|error| StartError::Engine(error.to_string()))?;
    let server = Rc::new(Server {
        engine,
        upstreams,
        descriptors,
        budget,
        settings: config.settings,
        names,
        drain: Rc::<Drain>::default(),
        other_processes: Cell::new(0),
        clients: RefCell::default(),
        pending_connection: RefCell::default(),
        open_request_ids: RefCell::default(),
        client_closed: Notify::new(),
        kill_deadline: Cell::new(None),
    });
    Ok(Parts { server, watcher, watch_requests })
}
