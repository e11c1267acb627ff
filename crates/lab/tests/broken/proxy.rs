//! A small proxy that keeps the rules, but for the one that it is told to break.

use aniseyoke_lab_process::{Running, Subject};
use aniseyoke_lab_site::wire::{Answered, Asked, Wire};
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

/// The rule that is broken, and how.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// None is.
    None,
    /// Connections are closed in place of an answer.
    Drops,
    /// Requests are held without an answer.
    Holds,
    /// Answers are written twice.
    Doubles,
    /// What must not run twice is sent twice.
    RepeatsUnsafe,
    /// What carries a key is sent again after its mark is forgotten.
    RepeatsKeyed,
    /// Nodes that drain are used as ever.
    IgnoresDrains,
    /// Everything goes to the node that has just started.
    HerdsToCold,
    /// The same, and each miss there is fetched many times over.
    HerdsToLedger,
    /// Answers are changed on their way.
    Changes,
    /// Nodes are sent what nobody asked for.
    Invents,
    /// Requests wait, and are sent on whether their clients wait or not.
    SendsLate,
    /// The same for a shorter time.
    SendsSoon,
    /// The process ends by itself.
    Ends,
}

/// So many requests pass between two that are treated badly.
const EVERY: u64 = 20;
/// Marks are forgotten after less than this in the tests' days.
const AFTER_MARK: Duration = Duration::from_millis(700);
/// Nothing may be sent on so long after a client has left.
const AFTER_LEAVING: Duration = Duration::from_millis(450);
/// No attempt may begin so long after a client has left, but what was asked for may be sent on.
const SOON_AFTER: Duration = Duration::from_millis(220);
/// Fetches for one miss, where the ledger is herded to.
const FETCHES: usize = 8;

struct Node {
    addr: String,
    ready: bool,
    started: u64,
    ledger: bool,
}

struct Proxy {
    fault: Fault,
    discovery: SocketAddr,
    nodes: RefCell<Vec<Node>>,
    count: Cell<u64>,
}

fn listed(list: &Value) -> Vec<Node> {
    let node = |s: &Value| Node {
        addr: s["addr"].as_str().unwrap_or("").to_owned(),
        ready: s["state"] == "ready",
        started: s["started_ms"].as_u64().unwrap_or(0),
        ledger: s["kind"] == "ledger",
    };
    list["servers"].as_array().map(|s| s.iter().map(node).collect()).unwrap_or_default()
}

impl Proxy {
    async fn follow(self: Rc<Self>) {
        loop {
            if let Ok(list) = self.ask().await {
                let mut nodes = listed(&list);
                if self.fault == Fault::IgnoresDrains {
                    // What it once had it goes on using, and forgets nothing.
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

    async fn ask(&self) -> io::Result<Value> {
        let mut wire = Wire::new(TcpStream::connect(self.discovery).await?);
        wire.write(b"GET /catalog/members HTTP/1.1\r\nHost: a\r\n\r\n").await?;
        let answer = wire.answer().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut body = Vec::new();
        wire.body(answer.framing, |part| body.extend_from_slice(part)).await?;
        serde_json::from_slice(&body).map_err(io::Error::other)
    }

    fn ledger(&self) -> String {
        self.nodes.borrow().iter().find(|n| n.ledger).map(|n| n.addr.clone()).unwrap_or_default()
    }

    fn cache(&self, key: &str) -> String {
        let nodes = self.nodes.borrow();
        let herds = matches!(self.fault, Fault::HerdsToCold | Fault::HerdsToLedger);
        let newest = nodes.iter().filter(|n| !n.ledger && n.ready && n.started > 0).max_by_key(|n| n.started);
        if let Some(newest) = newest.filter(|_| herds) {
            return newest.addr.clone();
        }
        let usable: Vec<&Node> =
            nodes.iter().filter(|n| !n.ledger && (n.ready || self.fault == Fault::IgnoresDrains)).collect();
        let turn = key.bytes().fold(0usize, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        usable.get(turn % usable.len().max(1)).map(|n| n.addr.clone()).unwrap_or_default()
    }

    /// One attempt at a node.
    async fn attempt(
        &self,
        addr: &str,
        asked: &Asked,
        id: &str,
        body: &[u8],
    ) -> io::Result<(Answered, Vec<u8>)> {
        let mut wire = Wire::new(TcpStream::connect(addr).await?);
        let repeat = asked.repeat.as_ref().map(|r| format!("Idempotency-Key: {r}\r\n")).unwrap_or_default();
        let (method, path, length) = (&asked.method, &asked.path, body.len());
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {id}\r\n{repeat}Content-Length: {length}\r\n\r\n"
        );
        wire.write(&[head.as_bytes(), body].concat()).await?;
        let answer = wire.answer().await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let mut answered = Vec::new();
        wire.body(answer.framing, |part| answered.extend_from_slice(part)).await?;
        Ok((answer, answered))
    }

    async fn carry(self: &Rc<Self>, asked: &Asked, body: &[u8], bad: bool) -> (u16, Vec<u8>) {
        match self.fault {
            Fault::SendsLate => sleep(AFTER_LEAVING).await,
            Fault::SendsSoon => sleep(SOON_AFTER).await,
            _ => {}
        }
        let id = asked.id.clone().unwrap_or_default();
        let key = asked.path.rsplit('/').next().unwrap_or("");
        if asked.method == "PUT" {
            let ledger = self.ledger();
            let class = asked.path.split('/').nth(1).unwrap_or("");
            let answer = self.attempt(&ledger, asked, &id, body).await;
            let late = self.fault == Fault::RepeatsKeyed && class == "scan-event";
            if late || self.fault == Fault::RepeatsUnsafe && class == "cod-settle" {
                let (me, asked, body) = (self.clone(), asked.clone(), body.to_vec());
                tokio::task::spawn_local(async move {
                    sleep(if late { AFTER_MARK } else { Duration::ZERO }).await;
                    let _ = me.attempt(&ledger, &asked, &id, &body).await;
                });
            }
            return answer.map_or((502, Vec::new()), |(head, body)| (head.status, body));
        }
        if bad && self.fault == Fault::Invents {
            let _ = self.attempt(&self.cache(key), asked, "00000000deadbeef", body).await;
        }
        match self.attempt(&self.cache(key), asked, &id, body).await {
            Ok((head, body)) if head.status == 200 => return (200, body),
            _ => {}
        }
        let ledger = self.ledger();
        if self.fault == Fault::HerdsToLedger {
            for _ in 1..FETCHES {
                let (me, asked, id, ledger) = (self.clone(), asked.clone(), id.clone(), ledger.clone());
                tokio::task::spawn_local(async move { drop(me.attempt(&ledger, &asked, &id, b"").await) });
            }
        }
        self.attempt(&ledger, asked, &id, body)
            .await
            .map_or((503, Vec::new()), |(head, body)| (head.status, body))
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        while let Some(asked) = wire.request().await? {
            let mut body = Vec::new();
            wire.body(asked.framing, |part| body.extend_from_slice(part)).await?;
            if asked.path == "/_health" {
                wire.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await?;
                continue;
            }
            self.count.set(self.count.get() + 1);
            let bad = self.count.get().is_multiple_of(EVERY);
            let (status, mut answer) = self.carry(&asked, &body, bad).await;
            if bad && status == 200 {
                match self.fault {
                    Fault::Drops => return Ok(()),
                    Fault::Holds => std::future::pending().await,
                    Fault::Changes => answer[0] ^= 1,
                    _ => {}
                }
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", answer.len());
            let mut whole = [head.as_bytes(), &answer].concat();
            if bad && self.fault == Fault::Doubles {
                whole.extend(whole.clone());
            }
            wire.write(&whole).await?;
        }
        Ok(())
    }
}

struct Inside {
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    since: Instant,
    ends: bool,
}

impl Running for Inside {
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
        if self.ends && self.since.elapsed() > Duration::from_secs(1) {
            self.terminate();
        }
        self.stop.load(Ordering::Relaxed).then(|| "by itself".to_owned())
    }

    fn last_lines(&self) -> Vec<String> {
        vec!["the last line".to_owned()]
    }
}

impl Subject for Fault {
    fn start(&self, _me: usize, config: &Value, _dir: &Path) -> Result<Box<dyn Running>, String> {
        let discovery = config["discovery"].as_str().and_then(|a| a.parse().ok()).ok_or("discovery")?;
        let (fault, nodes) = (*self, listed(&config["known"]));
        let stop = Arc::<AtomicBool>::default();
        let (give, addr) = std::sync::mpsc::channel();
        let stopped = stop.clone();
        std::thread::spawn(move || {
            let runtime =
                tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                give.send(listener.local_addr().expect("an address")).expect("somebody waits");
                let proxy =
                    Rc::new(Proxy { fault, discovery, nodes: RefCell::new(nodes), count: Cell::new(0) });
                tokio::task::spawn_local(proxy.clone().follow());
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
        let addr = addr.recv().map_err(|_| "it did not start")?;
        Ok(Box::new(Inside { addr, stop, since: Instant::now(), ends: fault == Fault::Ends }))
    }
}
