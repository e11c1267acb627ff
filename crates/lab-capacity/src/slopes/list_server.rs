//! A list service with a configurable number of nodes that answers watches and changes its list at a fixed rate, and
//! the nodes, which accept connections and send nothing.

use aniseyoke_lab_day::Member;
use aniseyoke_lab_site::http::HttpConnection;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// The longest wait of a watch for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);
/// Changes in the history; a client with an older version receives the full list.
const MAX_CHANGES: usize = 4096;

/// The list service and the state of its members.
pub struct EndpointListServer {
    members: RefCell<Vec<Member>>,
    /// The index of the changed member for each change; the first change led to version `first_version + 1`.
    changes: RefCell<std::collections::VecDeque<usize>>,
    first_version: Cell<u64>,
    version: watch::Sender<u64>,
}

impl EndpointListServer {
    /// Opens a listener for each node and lists it; nodes are assigned the kinds in rotation.
    ///
    /// # Errors
    /// If no port or descriptor is available.
    pub async fn open(nodes: usize, kinds: &[String]) -> io::Result<Rc<EndpointListServer>> {
        let mut members = Vec::new();
        for n in 0..nodes {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let addr = listener.local_addr()?;
            let kind = kinds.get(n % kinds.len().max(1)).cloned().unwrap_or_default();
            members.push(Member { id: format!("node-{n}"), addr, kind, state: "ready", started_ms: 0 });
            tokio::task::spawn_local(async move {
                let mut connections = Vec::new();
                // Connections stay open, up to the process's limit on descriptors.
                while let Ok((stream, _)) = listener.accept().await {
                    connections.push(stream);
                }
            });
        }
        let (version, _) = watch::channel(1);
        Ok(Rc::new(EndpointListServer {
            members: members.into(),
            changes: RefCell::default(),
            first_version: Cell::new(1),
            version,
        }))
    }

    fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// The response of the list service: the changes since a version, or the full list.
    pub fn changes_since(&self, from: Option<u64>) -> Value {
        let (members, changes, now) = (self.members.borrow(), self.changes.borrow(), self.version());
        let known = from.filter(|from| (self.first_version.get()..=now).contains(from));
        let servers: Vec<Value> = match known {
            Some(from) => {
                let skipped = (from - self.first_version.get()) as usize;
                let changed: BTreeSet<usize> = changes.iter().skip(skipped).copied().collect();
                changed.into_iter().map(|n| members[n].json()).collect()
            }
            None => members.iter().map(Member::json).collect(),
        };
        json!({"version": now, "full": known.is_none(), "servers": servers})
    }

    /// Applies the next change: each node in turn starts to drain and becomes ready again.
    pub fn apply_next_change(&self) {
        let mut members = self.members.borrow_mut();
        let step = self.version() as usize;
        let n = (step / 2) % members.len().max(1);
        let Some(member) = members.get_mut(n) else { return };
        member.state = if member.state == "ready" { "draining" } else { "ready" };
        let mut changes = self.changes.borrow_mut();
        changes.push_back(n);
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
            self.first_version.set(self.first_version.get() + 1);
        }
        drop((members, changes));
        self.version.send_modify(|version| *version += 1);
    }

    /// Serves watches on the current thread and applies `changes_per_second` changes to the list; returns the address.
    ///
    /// # Errors
    /// If no port is available.
    pub async fn serve(self: &Rc<Self>, changes_per_second: f64) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let listening_server = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = listening_server.clone();
                tokio::task::spawn_local(async move {
                    // A connection that the client closes needs no handling.
                    let _ = server.serve_connection(stream).await;
                });
            }
        });
        if changes_per_second > 0.0 {
            let changing_server = self.clone();
            tokio::task::spawn_local(async move {
                let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / changes_per_second));
                loop {
                    ticks.tick().await;
                    changing_server.apply_next_change();
                }
            });
        }
        Ok(addr)
    }

    async fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let (mut http, mut version) = (HttpConnection::new(stream), self.version.subscribe());
        while let Some(request) = http.read_request().await? {
            http.read_body(request.framing, |_| {}).await?;
            let parameter = |name| aniseyoke_lab_site::query_parameter(&request.path, name);
            let from = parameter("from");
            if let (Some(from), Some(hold)) = (from, parameter("hold_ms")) {
                tokio::select! {
                    _ = version.wait_for(|version| *version != from) => {}
                    () = tokio::time::sleep(Duration::from_millis(hold).min(MAX_WATCH_WAIT)) => {}
                    () = http.closed() => return Ok(()),
                }
            }
            let body = self.changes_since(from).to_string();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
            http.write(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes()).await?;
        }
        Ok(())
    }
}
