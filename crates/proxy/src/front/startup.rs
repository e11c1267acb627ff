//! Builds the components that serve clients: the listener, the engine with its connections to cache nodes,
//! and the client of the discovery service.

use super::error::StartError;
use super::resources::ResourceLimits;
use super::{EngineOptions, Server};
use crate::bind::with_bound_address;
use crate::budget::Budget;
use crate::config::Config;
use crate::descriptors::DescriptorBudget;
use crate::discovery::{CurrentList, EndpointWatcher, SharedList};
use crate::drain::Drain;
use crate::listed_nodes::ListedNodes;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::request_ids::RequestIds;
use crate::shared_ids::IdFiles;
use crate::upstream::Upstreams;
use crate::{handover, Engine};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// The client listener.
pub(super) struct ClientListener {
    pub(super) listener: TcpListener,
    pub(super) addr: SocketAddr,
    /// Whether the platform owns the socket and hands it over from one process to the next.
    pub(super) handed_over: bool,
}

impl ClientListener {
    /// Takes over the listening socket from the platform, or opens one on this address.
    pub(super) async fn open(addr: SocketAddr) -> Result<Self, StartError> {
        let inherited = handover::inherited(addr)?;
        let handed_over = inherited.is_some();
        let listener = match inherited {
            Some(inherited) => TcpListener::from_std(inherited),
            None => TcpListener::bind(addr).await,
        };
        let (listener, addr) = with_bound_address("PROXY_LISTEN", addr, listener)?;
        Ok(ClientListener { listener, addr, handed_over })
    }
}

/// Returns the directory for state that survives restarts, if the platform names one.
pub(super) fn state_dir() -> Option<PathBuf> {
    std::env::var_os("TMPDIR").filter(|dir| !dir.is_empty()).map(PathBuf::from)
}

/// The components of the proxy, before the first connection is accepted.
pub(super) struct Parts {
    pub(super) server: Rc<Server>,
    pub(super) watcher: EndpointWatcher,
    /// Receives the engine's requests to start a watch.
    pub(super) watch_requests: mpsc::UnboundedReceiver<()>,
    pub(super) listed_nodes: Rc<ListedNodes>,
    pub(super) current_list: Rc<CurrentList>,
}

/// Builds the server, its engine and the client of the discovery service.
pub(super) fn build(
    config: Config,
    options: EngineOptions,
    limits: &ResourceLimits,
    peers: &Peers,
    handed_over: bool,
) -> Result<Parts, StartError> {
    let other_claims = peers.other_claims();
    let descriptors = DescriptorBudget::new(limits.max_connections(&other_claims));
    let budget = Budget::new(limits.max_buffered_bytes(&other_claims));
    let answer_budget = Budget::new(limits.max_answer_bytes(&other_claims));
    let metrics = Metrics::new();
    let upstreams = Upstreams::new(
        descriptors.clone(),
        answer_budget.clone(),
        config.connect_timeout,
        config.settings.idle_timeout,
        options.opening,
        metrics.clone(),
    );
    let names = Rc::new(config.names);
    // A process that takes over requests the full list. A request for changes since a known version gets no
    // answer while nothing changes, which can't be distinguished from a discovery service that is down.
    let version = config.initial_list.as_ref().filter(|_| !handed_over).map(|known| known.version);
    let id_files = IdFiles::open(peers.slot());
    let listed_nodes = ListedNodes::open(id_files.clone());
    // Other processes run beside this one only where the socket is handed over.
    let shared_list = peers.slot().filter(|_| handed_over).map(SharedList::open);
    let (current_list, initial_list) = CurrentList::open(
        config.discovery,
        config.initial_list,
        names.clone(),
        listed_nodes.clone(),
        shared_list,
    );
    let watcher = EndpointWatcher::new(
        config.discovery,
        version,
        config.settings.poll_within,
        current_list.clone(),
        options.polling,
    );
    let known = initial_list.as_ref().map_or_else(Vec::new, |list| names.entries(list));
    let (request_watch, watch_requests) = mpsc::unbounded_channel();
    let engine = Engine::new(options.plan, config.seed, &known, upstreams.clone(), request_watch);
    let engine = engine.map_err(|error| StartError::Engine(error.to_string()))?;
    let server = Rc::new(Server {
        engine,
        upstreams,
        descriptors,
        budget,
        answer_budget,
        settings: config.settings,
        names,
        drain: Rc::<Drain>::default(),
        other_processes: Cell::new(0),
        clients: Rc::default(),
        pending_connection: RefCell::default(),
        request_ids: RequestIds::new(id_files, handed_over),
        metrics,
    });
    Ok(Parts { server, watcher, watch_requests, listed_nodes, current_list })
}
