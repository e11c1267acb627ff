//! A platform that replaces the processes of one proxy: it holds the listening socket and the folder that they share,
//! and has nodes that come and go and a discovery service that can be down.
#![allow(dead_code)]

use crate::bodies::{header, read_head, serve, Random};
use crate::rig::*;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The deadline of all classes, unless a test sets another one.
const DEADLINE: Duration = Duration::from_millis(1500);
/// How often a call at the service looks whether that is down.
const DOWN_CHECK: Duration = Duration::from_millis(10);

/// The list of a discovery service, and which calls it answers.
#[derive(Default)]
struct ListState {
    version: u64,
    /// Each node that was ever listed, and the version of its last change.
    members: BTreeMap<String, (u64, Value)>,
    /// Whether calls and watches end without an answer.
    is_down: bool,
    /// Whether calls that begin end without an answer, while open watches are answered.
    refuses_calls: bool,
    /// The newest version that was written to a watch.
    watched: u64,
}

/// A discovery service whose list a test changes.
#[derive(Clone, Default)]
pub struct ListService(Arc<(Mutex<ListState>, Condvar)>);

impl ListService {
    fn state(&self) -> MutexGuard<'_, ListState> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: impl FnOnce(&mut ListState)) {
        change(&mut self.state());
        self.0 .1.notify_all();
    }

    /// Starts to serve; returns its address.
    pub fn start(&self) -> SocketAddr {
        let service = self.clone();
        serve(Server::new(), move |peer| while service.answer(peer).is_some() {})
    }

    /// Sets the state of a node.
    pub fn set(&self, id: &str, addr: SocketAddr, kind: &str, node_state: &str, started_ms: u64) {
        let mut node = member(id, addr, kind, node_state);
        node["started_ms"] = json!(started_ms);
        self.change(|state| {
            state.version += 1;
            state.members.insert(id.to_owned(), (state.version, node));
        });
    }

    pub fn set_down(&self, is_down: bool) {
        self.change(|state| state.is_down = is_down);
    }

    pub fn refuse_calls(&self, refuses: bool) {
        self.change(|state| state.refuses_calls = refuses);
    }

    /// Waits until the newest version has been written to a watch.
    pub fn wait_until_watched(&self) {
        until("a watch has the newest list", || {
            let state = self.state();
            state.watched == state.version
        });
    }

    /// Returns the whole list as of now.
    pub fn known(&self) -> Value {
        let state = self.state();
        let nodes: Vec<_> = state.members.values().map(|(_, node)| node.clone()).collect();
        list(
            state.version,
            true,
            &nodes.into_iter().filter(|node| node["state"] != "gone").collect::<Vec<_>>(),
        )
    }

    /// Answers a call; returns `None` if the connection is to end.
    fn answer(&self, peer: &mut Peer) -> Option<()> {
        let head = read_head(peer)?;
        let parameter = |name: &str| {
            let value = head[0].split([' ', '?', '&']).find_map(|part| part.strip_prefix(name))?;
            value.parse::<u64>().ok()
        };
        let Some(from) = parameter("from=") else {
            if self.state().is_down || self.state().refuses_calls {
                return None;
            }
            peer.reply("200 OK", "", &self.known().to_string());
            return Some(());
        };
        let end = Instant::now() + Duration::from_millis(parameter("hold_ms=").unwrap_or(0));
        let mut state = self.state();
        while state.version == from && Instant::now() < end {
            if state.is_down {
                return None;
            }
            let waited = self.0 .1.wait_timeout(state, DOWN_CHECK);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        if state.is_down {
            return None;
        }
        let changed = state.members.values().filter(|(version, _)| *version > from);
        let changes = list(state.version, false, &changed.map(|(_, node)| node.clone()).collect::<Vec<_>>());
        state.watched = state.version;
        drop(state);
        let text = changes.to_string();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len());
        std::io::Write::write_all(peer.0.get_mut(), answer.as_bytes()).ok()
    }
}

/// A node: its address now, and when requests arrived.
#[derive(Clone)]
pub struct Node {
    pub id: String,
    pub addr: SocketAddr,
    served: Arc<Served>,
}

/// What a node has got, and how it answers.
#[derive(Default)]
struct Served {
    arrivals: Mutex<Vec<Instant>>,
    /// Whether requests wait for their answers.
    holds: Mutex<bool>,
    released: Condvar,
}

impl Served {
    fn wait_until_released(&self) {
        let holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        let released = self.released.wait_timeout_while(holds, STEP_TIMEOUT, |holds| *holds);
        drop(released.unwrap_or_else(PoisonError::into_inner));
    }
}

impl Node {
    pub fn start(id: &str) -> Self {
        let served = Arc::<Served>::default();
        Node { id: id.to_owned(), addr: serve_reads(id, &served), served }
    }

    /// Lets it come back at another address.
    pub fn restart(&mut self) {
        self.addr = serve_reads(&self.id, &self.served);
    }

    pub fn arrivals(&self) -> Vec<Instant> {
        self.served.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sets whether it holds its answers back, from now on and those that it has not begun.
    pub fn hold(&self, holds: bool) {
        *self.served.holds.lock().unwrap_or_else(PoisonError::into_inner) = holds;
        self.served.released.notify_all();
    }

    pub fn count(&self) -> usize {
        self.arrivals().len()
    }
}

fn serve_reads(id: &str, served: &Arc<Served>) -> SocketAddr {
    let (id, served) = (id.to_owned(), served.clone());
    serve(Server::new(), move |peer| {
        while let Some(head) = read_head(peer) {
            if header(&head, "x-correlation-id").is_some() {
                served.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(Instant::now());
            }
            served.wait_until_released();
            let length = id.len();
            let answer = format!("HTTP/1.1 200 OK\r\nX-Lookup: hit\r\nContent-Length: {length}\r\n\r\n{id}");
            if std::io::Write::write_all(peer.0.get_mut(), answer.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// A running process of the proxy, and the address for operators' calls.
pub struct Process {
    pub proxy: Proxy,
    pub admin: SocketAddr,
}

impl Process {
    /// Stops the process as the platform does, and waits for its end.
    pub fn stop(mut self) {
        self.proxy.signal("-TERM");
        assert!(self.proxy.child.wait().expect("its end").success());
    }

    pub fn kill(mut self) {
        self.proxy.child.kill().expect("killed");
        self.proxy.child.wait().expect("its end");
    }
}

/// The platform.
pub struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    pub service: ListService,
    discovery: SocketAddr,
    /// The list that a process is given at its start; it may be old.
    pub known: Value,
    pub deadline: Duration,
    /// How long a node is cold after its start; zero if no node is.
    pub cold: Duration,
    /// What an answer is worth after half of the deadline, as a fraction.
    pub late_value: f64,
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    pub fn new() -> Self {
        static NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NUMBER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("aniseyoke-platform-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let service = ListService::default();
        let discovery = service.start();
        Platform {
            listener,
            folder,
            service,
            discovery,
            known: list(0, true, &[]),
            deadline: DEADLINE,
            cold: Duration::ZERO,
            late_value: 0.5,
        }
    }

    pub fn addr(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Starts a node and lists it.
    pub fn add(&self, id: &str) -> Node {
        let node = Node::start(id);
        self.list(&node, "ready");
        node
    }

    /// Lists a node in this state, as one that started long ago.
    pub fn list(&self, node: &Node, state: &str) {
        self.service.set(&node.id, node.addr, "std", state, 0);
    }

    /// Starts a process that inherits the listening socket, and waits until it says that it serves.
    pub fn start(&self) -> Process {
        let mut config = config(self.discovery, &[]);
        config["known"] = self.known.clone();
        config["mgmt"] = json!("127.0.0.1:0");
        config["listen"] = json!(self.addr().to_string());
        config["settings"]["rules"]["cold_ns"] = json!(self.cold.as_nanos() as u64);
        for class in config["settings"]["categories"].as_array_mut().expect("classes") {
            class["deadline_ns"] = json!(self.deadline.as_nanos() as u64);
            class["promise_ns"] = json!(self.deadline.as_nanos() as u64 / 2);
            class["late_value"] = json!(self.late_value);
        }
        let socket = OwnedFd::from(self.listener.try_clone().expect("a copy"));
        let mut proxy = Proxy::with(&config, |command| {
            command.env("TMPDIR", &self.folder).env("PROXY_FD", "0").stdin(Stdio::from(socket));
        });
        let admin = proxy.admin_addr();
        until("it serves", || call(admin, "GET", "/api/ready", "") == 200);
        Process { proxy, admin }
    }

    /// Reads a key that a random number names, on a connection of its own; returns whether it was served.
    pub fn read(&self, random: &mut Random) -> bool {
        let mut client = Peer::to(self.addr());
        client.write(&get("read", "").replace("7f3a9c21e0b4d655", &format!("{:016x}", random.next())));
        client.answer().status() == 200
    }

    /// Reads random keys until a node has got a request more.
    pub fn read_until_used(&self, random: &mut Random, node: &Node) {
        let before = node.count();
        until("the node is in use", || {
            self.read(random);
            node.count() > before
        });
    }
}
