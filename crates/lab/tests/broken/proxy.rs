//! A small proxy that keeps all rules except the one that its configured fault breaks.

use aniseyoke_lab_process::{ProcessError, ProxyLauncher, RunningProxy};
use aniseyoke_lab_site::http::{HttpConnection, RequestHead, ResponseHead};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// How the proxy breaks a rule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It breaks no rule.
    None,
    /// It closes connections instead of sending a response.
    ClosesWithoutResponse,
    /// It accepts requests and never responds.
    NeverResponds,
    /// It writes responses twice.
    RespondsTwice,
    /// It sends a request that is not idempotent twice.
    RepeatsNotIdempotent,
    /// It sends a request with an idempotency key again after the key has expired.
    RepeatsKeyed,
    /// It keeps sending requests to draining nodes.
    IgnoresDraining,
    /// It sends all requests to the node that started last.
    OverloadsColdNode,
    /// The same, and it fetches each miss there several times.
    OverloadsOrigin,
    /// It changes a byte of a response.
    CorruptsResponses,
    /// It sends requests to nodes that no client sent.
    InventsRequests,
    /// It delays requests, and forwards them even if their clients have disconnected.
    ForwardsLate,
    /// The same with a shorter delay.
    ForwardsSoon,
    /// The process exits by itself.
    Exits,
}

/// The fault affects every request whose number is a multiple of this.
const MISBEHAVE_EVERY: u64 = 20;
/// Idempotency keys expire sooner than this in the tests' days.
const KEY_EXPIRED_DELAY: Duration = Duration::from_millis(700);
/// No request may be forwarded this long after its client disconnected.
const LATE_FORWARD_DELAY: Duration = Duration::from_millis(450);
/// No new attempt may begin this long after its client disconnected, but the request itself may still be forwarded.
const SOON_FORWARD_DELAY: Duration = Duration::from_millis(220);
/// Number of fetches for one miss with the fault that overloads the origin.
const FETCHES_PER_MISS: usize = 8;

struct Node {
    addr: String,
    ready: bool,
    started: u64,
    origin: bool,
}

struct Proxy {
    fault: Fault,
    discovery: SocketAddr,
    nodes: RefCell<Vec<Node>>,
    count: Cell<u64>,
}

fn nodes_of(list: &Value) -> Vec<Node> {
    let node = |s: &Value| Node {
        addr: s["addr"].as_str().unwrap_or("").to_owned(),
        ready: s["state"] == "ready",
        started: s["started_ms"].as_u64().unwrap_or(0),
        origin: s["kind"] == "ledger",
    };
    list["servers"].as_array().map(|s| s.iter().map(node).collect()).unwrap_or_default()
}

impl Proxy {
    async fn follow_list(self: Rc<Self>) {
        loop {
            if let Ok(list) = self.fetch_list().await {
                let mut nodes = nodes_of(&list);
                if self.fault == Fault::IgnoresDraining {
                    // It keeps the known nodes with their old state, and removes none.
                    let mut known = self.nodes.borrow_mut();
                    nodes.retain(|n| known.iter().all(|k| k.addr != n.addr));
                    known.extend(nodes);
                } else {
                    *self.nodes.borrow_mut() = nodes;
                }
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    async fn fetch_list(&self) -> io::Result<Value> {
        let mut http = HttpConnection::new(TcpStream::connect(self.discovery).await?);
        http.write(b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n").await?;
        let response = http.read_response().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        http.read_body(response.framing, |part| body.extend_from_slice(part)).await?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }

    fn origin(&self) -> String {
        self.nodes.borrow().iter().find(|n| n.origin).map(|n| n.addr.clone()).unwrap_or_default()
    }

    fn cache_node(&self, key: &str) -> String {
        let nodes = self.nodes.borrow();
        let overloads = matches!(self.fault, Fault::OverloadsColdNode | Fault::OverloadsOrigin);
        let newest = nodes.iter().filter(|n| !n.origin && n.ready && n.started > 0).max_by_key(|n| n.started);
        if let Some(newest) = newest.filter(|_| overloads) {
            return newest.addr.clone();
        }
        let usable: Vec<&Node> =
            nodes.iter().filter(|n| !n.origin && (n.ready || self.fault == Fault::IgnoresDraining)).collect();
        let hash = key.bytes().fold(0usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        usable.get(hash % usable.len().max(1)).map(|n| n.addr.clone()).unwrap_or_default()
    }

    /// Sends one attempt to a node.
    async fn attempt(
        &self,
        addr: &str,
        request: &RequestHead,
        id: &str,
        body: &[u8],
    ) -> io::Result<(ResponseHead, Vec<u8>)> {
        let mut http = HttpConnection::new(TcpStream::connect(addr).await?);
        let key_header =
            request.idempotency_key.as_ref().map(|r| format!("Idempotency-Key: {r}\r\n")).unwrap_or_default();
        let (method, path, length) = (&request.method, &request.path, body.len());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n{key_header}Content-Length: {length}\r\n\r\n"
        );
        http.write(&[head.as_bytes(), body].concat()).await?;
        let response = http.read_response().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut response_body = Vec::new();
        http.read_body(response.framing, |part| response_body.extend_from_slice(part)).await?;
        Ok((response, response_body))
    }

    async fn forward(self: &Rc<Self>, request: &RequestHead, body: &[u8], misbehave: bool) -> (u16, Vec<u8>) {
        match self.fault {
            Fault::ForwardsLate => sleep(LATE_FORWARD_DELAY).await,
            Fault::ForwardsSoon => sleep(SOON_FORWARD_DELAY).await,
            _ => {}
        }
        let id = request.correlation_id.clone().unwrap_or_default();
        let key = request.path.rsplit('/').next().unwrap_or("");
        if request.method == "PUT" {
            let origin = self.origin();
            let class = request.path.split('/').nth(1).unwrap_or("");
            let response = self.attempt(&origin, request, &id, body).await;
            let late = self.fault == Fault::RepeatsKeyed && class == "scan-event";
            if late || self.fault == Fault::RepeatsNotIdempotent && class == "cod-settle" {
                let (proxy, request, body) = (self.clone(), request.clone(), body.to_vec());
                tokio::task::spawn_local(async move {
                    sleep(if late { KEY_EXPIRED_DELAY } else { Duration::ZERO }).await;
                    let _ = proxy.attempt(&origin, &request, &id, &body).await;
                });
            }
            return response.map_or((502, Vec::new()), |(head, body)| (head.status, body));
        }
        if misbehave && self.fault == Fault::InventsRequests {
            let _ = self.attempt(&self.cache_node(key), request, "00000000deadbeef", body).await;
        }
        match self.attempt(&self.cache_node(key), request, &id, body).await {
            Ok((head, body)) if head.status == 200 => return (200, body),
            _ => {}
        }
        let origin = self.origin();
        if self.fault == Fault::OverloadsOrigin {
            for _ in 1..FETCHES_PER_MISS {
                let (proxy, request, id, origin) =
                    (self.clone(), request.clone(), id.clone(), origin.clone());
                tokio::task::spawn_local(
                    async move { drop(proxy.attempt(&origin, &request, &id, b"").await) },
                );
            }
        }
        self.attempt(&origin, request, &id, body)
            .await
            .map_or((503, Vec::new()), |(head, body)| (head.status, body))
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut http = HttpConnection::new(stream);
        while let Some(request) = http.read_request().await? {
            let mut body = Vec::new();
            http.read_body(request.framing, |part| body.extend_from_slice(part)).await?;
            if request.path == "/_health" {
                http.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            self.count.set(self.count.get() + 1);
            let misbehave = self.count.get().is_multiple_of(MISBEHAVE_EVERY);
            let (status, mut response) = self.forward(&request, &body, misbehave).await;
            if misbehave && status == 200 {
                match self.fault {
                    Fault::ClosesWithoutResponse => return Ok(()),
                    Fault::NeverResponds => std::future::pending().await,
                    Fault::CorruptsResponses => response[0] ^= 1,
                    _ => {}
                }
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", response.len());
            let mut bytes = [head.as_bytes(), &response].concat();
            if misbehave && self.fault == Fault::RespondsTwice {
                bytes.extend(bytes.clone());
            }
            http.write(&bytes).await?;
        }
        Ok(())
    }
}

struct InProcessProxy {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    started_at: Instant,
    exits: bool,
}

impl RunningProxy for InProcessProxy {
    fn addr(&self) -> SocketAddr {
        self.addr
    }

    fn pid(&self) -> Option<u32> {
        None
    }

    fn terminate(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn kill(&mut self) {
        self.terminate();
    }

    fn ended(&mut self) -> Option<String> {
        if self.exits && self.started_at.elapsed() > Duration::from_secs(1) {
            self.terminate();
        }
        self.stop.load(Ordering::Relaxed).then(|| "by itself".to_owned())
    }

    fn last_lines(&self) -> Vec<String> {
        vec!["the last line".to_owned()]
    }
}

impl ProxyLauncher for Fault {
    fn start(
        &self,
        _index: usize,
        config: &Value,
        _dir: &Path,
    ) -> Result<Box<dyn RunningProxy>, ProcessError> {
        let discovery = config["discovery"]
            .as_str()
            .and_then(|a| a.parse().ok())
            .ok_or(ProcessError::Launcher("discovery"))?;
        let (fault, nodes) = (*self, nodes_of(&config["known"]));
        let stop = Arc::<AtomicBool>::default();
        let (send_addr, addr) = std::sync::mpsc::channel();
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                send_addr.send(listener.local_addr().expect("an address")).expect("the receiver waits");
                let proxy =
                    Rc::new(Proxy { fault, discovery, nodes: RefCell::new(nodes), count: Cell::new(0) });
                tokio::task::spawn_local(proxy.clone().follow_list());
                while !stopped.load(Ordering::Relaxed) {
                    tokio::select! {
                        Ok((stream, _)) = listener.accept() => {
                            tokio::task::spawn_local(proxy.clone().serve(stream));
                        }
                        () = sleep(Duration::from_millis(20)) => {}
                    }
                }
            });
        });
        let addr = addr.recv().map_err(|_| ProcessError::Launcher("it did not start"))?;
        Ok(Box::new(InProcessProxy { addr, stop, started_at: Instant::now(), exits: fault == Fault::Exits }))
    }
}
