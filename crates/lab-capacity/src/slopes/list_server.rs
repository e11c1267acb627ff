//! A list service of as many nodes as wanted that answers watches and changes at a rate; and the nodes, which
//! accept connections and stay silent.

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

/// A watch waits no longer than this.
const MAX_HOLD: Duration = Duration::from_secs(60);
/// Changes that are remembered; a caller with an older version gets the whole list.
const MAX_CHANGES: usize = 4096;

/// The list.
pub struct EndpointListServer {
    members: RefCell<Vec<Member>>,
    /// Which member each change was of; the first led to version `first + 1`.
    changes: RefCell<std::collections::VecDeque<usize>>,
    first: Cell<u64>,
    version: watch::Sender<u64>,
}

impl EndpointListServer {
    /// A list of nodes that take connections, of the kinds named in turn.
    ///
    /// # Errors
    /// If the system lacks ports or descriptors.
    pub async fn open(nodes: usize, kinds: &[String]) -> io::Result<Rc<EndpointListServer>> {
        let mut members = Vec::new();
        for n in 0..nodes {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let addr = listener.local_addr()?;
            let kind = kinds.get(n % kinds.len().max(1)).cloned().unwrap_or_default();
            members.push(Member { id: format!("node-{n}"), addr, kind, state: "ready", started_ms: 0 });
            tokio::task::spawn_local(async move {
                let mut held = Vec::new();
                // Connections are held, up to what the process may have.
                while let Ok((stream, _)) = listener.accept().await {
                    held.push(stream);
                }
            });
        }
        let (version, _) = watch::channel(1);
        Ok(Rc::new(EndpointListServer {
            members: members.into(),
            changes: RefCell::default(),
            first: Cell::new(1),
            version,
        }))
    }

    fn version(&self) -> u64 {
        *self.version.borrow()
    }

    /// In the list service's form: what has changed since a version, or all of it.
    pub fn since(&self, from: Option<u64>) -> Value {
        let (members, changes, now) = (self.members.borrow(), self.changes.borrow(), self.version());
        let known = from.filter(|from| (self.first.get()..=now).contains(from));
        let servers: Vec<Value> = match known {
            Some(from) => {
                let skipped = (from - self.first.get()) as usize;
                let changed: BTreeSet<usize> = changes.iter().skip(skipped).copied().collect();
                changed.into_iter().map(|n| members[n].json()).collect()
            }
            None => members.iter().map(Member::json).collect(),
        };
        json!({"version": now, "full": known.is_none(), "servers": servers})
    }

    /// The next change: node after node starts to drain and is ready again.
    pub fn change(&self) {
        let mut members = self.members.borrow_mut();
        let step = self.version() as usize;
        let n = (step / 2) % members.len().max(1);
        let Some(member) = members.get_mut(n) else { return };
        member.state = if member.state == "ready" { "draining" } else { "ready" };
        let mut changes = self.changes.borrow_mut();
        changes.push_back(n);
        if changes.len() > MAX_CHANGES {
            changes.pop_front();
            self.first.set(self.first.get() + 1);
        }
        drop((members, changes));
        self.version.send_modify(|version| *version += 1);
    }

    /// Serves watches on the current thread, and changes the list this many times a second; returns the address.
    ///
    /// # Errors
    /// If the system lacks ports.
    pub async fn serve(self: &Rc<Self>, changes_per_second: f64) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let serving = self.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = serving.clone();
                tokio::task::spawn_local(async move {
                    // A caller that goes away is no concern of the list's.
                    let _ = server.serve_connection(stream).await;
                });
            }
        });
        if changes_per_second > 0.0 {
            let changing = self.clone();
            tokio::task::spawn_local(async move {
                let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / changes_per_second));
                loop {
                    ticks.tick().await;
                    changing.change();
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
                    () = tokio::time::sleep(Duration::from_millis(hold).min(MAX_HOLD)) => {}
                    () = http.closed() => return Ok(()),
                }
            }
            let body = self.since(from).to_string();
            let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ";
            http.write(format!("{head}{}\r\n\r\n{body}", body.len()).as_bytes()).await?;
        }
        Ok(())
    }
}
