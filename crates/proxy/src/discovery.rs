//! Follows the list of cache nodes: a watch at discovery, renewed at once after each answer, or in this proxy's own slots
//! where the operator's file says so (`paced`).

mod kept;
mod paced;

pub use kept::begin;
pub use paced::{nanos, polls, Held, Paced};

use super::config::{Members, Names};
use super::socket::{Descriptors, Io, Socket};
use super::Body;
use super::Engine;
use aniseyoke_decision::api::{ListKind, Nanos};
use aniseyoke_pace::WatchTimeouts;
use aniseyoke_sockets::connect;
use http_body_util::{BodyExt, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// The waits between the calls at a new address that has not answered yet double from the first to the last.
const AGAIN: Duration = Duration::from_millis(50);
const AGAIN_MOST: Duration = Duration::from_millis(800);
/// One connection, and old ones that are just ending.
pub const DESCRIPTORS: usize = 4;
/// A list is at most this long; a thousand entries take a fifth of it.
const LIST_MOST: usize = 1 << 20;

pub struct Discovery {
    addr: SocketAddr,
    /// Of the list held; none: there is no list yet.
    version: Option<u64>,
    /// How calls that are not paced are held, given up and made anew.
    rhythm: WatchTimeouts,
    began: Instant,
    /// Danger: were these of the clients' budget, a flood of clients would cut the proxy off from the list.
    descriptors: Rc<Descriptors>,
    /// Kept from one call to the next.
    connection: Option<Connection>,
    names: Rc<Names>,
    /// At an address that has not answered yet: the wait before the next call.
    again: Option<Duration>,
    /// When calls may go out, where that is limited.
    paced: Option<Paced>,
}

/// A connection to the service, on which one call goes out after another.
struct Connection {
    sender: SendRequest<Body>,
    socket: Rc<Socket>,
}

/// Why there is no list.
enum Fault {
    /// The service wants no call now, and perhaps says for how long.
    Refused(StatusCode, Option<Duration>),
    /// No answer in time.
    Late,
    /// Anything else.
    Broken(String),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Refused(status, None) => write!(f, "answered {}", status.as_u16()),
            Fault::Refused(status, Some(after)) => {
                write!(f, "answered {}, to be asked again in {} s", status.as_u16(), after.as_secs_f64())
            }
            Fault::Late => f.write_str("no answer in time"),
            Fault::Broken(why) => f.write_str(why),
        }
    }
}

impl From<String> for Fault {
    fn from(why: String) -> Self {
        Fault::Broken(why)
    }
}

/// What an answer advises, in seconds, whole or decimal; a date is not heeded.
fn advised(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

impl Discovery {
    pub fn new(
        addr: SocketAddr,
        version: Option<u64>,
        must_ask_in: Nanos,
        names: Rc<Names>,
        paced: Option<Paced>,
    ) -> Self {
        let descriptors = Descriptors::new(DESCRIPTORS);
        Discovery {
            addr,
            version,
            rhythm: WatchTimeouts::new(must_ask_in),
            began: Instant::now(),
            descriptors,
            connection: None,
            names,
            again: None,
            paced,
        }
    }

    /// Starts a watch each time that the module asks for one, and follows it until it breaks. An address that comes
    /// from `moved` takes the place of the present one.
    pub async fn follow(
        mut self,
        engine: Rc<Engine>,
        mut asked: mpsc::UnboundedReceiver<()>,
        mut moved: mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        loop {
            let by = self.rhythm.retry_deadline().map(|by| self.began + Duration::from_nanos(by));
            tokio::select! {
                Some(()) = asked.recv() => {}
                Some(addr) = moved.recv() => self.move_to(addr),
                // Danger: the module's waits after a failure double, and may be longer than the time in which a change
                // counts as told once discovery can be reached.
                () = tokio::time::sleep_until(by.unwrap_or(self.began)), if by.is_some() => {}
                else => return,
            }
            self.watch(&engine, &mut asked, &mut moved).await;
        }
    }

    async fn watch(
        &mut self,
        engine: &Engine,
        asked: &mut mpsc::UnboundedReceiver<()>,
        moved: &mut mpsc::UnboundedReceiver<SocketAddr>,
    ) {
        loop {
            if let Some(wait) = self.paced.as_ref().and_then(Paced::wait) {
                tokio::select! {
                    biased;
                    Some(addr) = moved.recv() => {
                        self.move_to(addr);
                        continue;
                    }
                    () = tokio::time::sleep(wait) => {}
                }
            }
            // Danger: a standing watch at the old address says nothing for many seconds, and then that it is gone.
            let called = tokio::select! {
                biased;
                Some(addr) = moved.recv() => {
                    self.move_to(addr);
                    continue;
                }
                called = self.call() => called,
            };
            match called {
                Ok(members) => {
                    self.version = Some(members.version);
                    self.again = None;
                    self.rhythm.answered(nanos(self.began.elapsed()));
                    self.paced.iter_mut().for_each(|p| p.answered(&members));
                    let kind = if members.full { ListKind::Full } else { ListKind::Delta };
                    engine.list(kind, &self.names.entries(&members));
                }
                Err(e) => {
                    tracing::warn!("discovery at {}: {e}", self.addr);
                    self.connection = None;
                    self.paced.iter_mut().for_each(|p| p.failed(&e));
                    if self.in_slots() {
                        // The module's waits come on top of the slot's otherwise, and the next call too late.
                        engine.list(ListKind::Failed, &[]);
                        while asked.try_recv().is_ok() {}
                        continue;
                    }
                    // Danger: a watch that says nothing is no discovery that is down; to wait before the next call
                    // spends the time in which its news counts as told. A discovery that is slow gets more time.
                    if matches!(e, Fault::Late) {
                        if self.rhythm.timed_out() {
                            continue;
                        }
                    } else {
                        self.rhythm.failed();
                    }
                    // Danger: the module's waits after a failure are made for a discovery that is down, and are
                    // longer than the time in which the news of a new one must be known.
                    let Some(wait) = self.again else {
                        engine.list(ListKind::Failed, &[]);
                        return;
                    };
                    self.again = Some((wait * 2).min(AGAIN_MOST));
                    tokio::select! {
                        biased;
                        Some(addr) = moved.recv() => self.move_to(addr),
                        () = tokio::time::sleep(wait) => {}
                    }
                }
            }
            // Asked for again while it was followed: the next call answers that as well.
            while asked.try_recv().is_ok() {}
        }
    }

    /// From here on asks at this address, for the whole list first: its versions may be other ones.
    fn move_to(&mut self, addr: SocketAddr) {
        tracing::info!("discovery is now at {addr}");
        (self.addr, self.version, self.connection, self.again) = (addr, None, None, Some(AGAIN));
        self.rhythm.address_changed();
        self.paced.iter_mut().for_each(Paced::moved);
    }

    /// Whether calls go out in slots only.
    fn in_slots(&self) -> bool {
        self.paced.as_ref().is_some_and(|p| p.wait().is_some())
    }

    /// How long a watch is held that goes out now.
    fn hold(&self) -> Duration {
        let paced = self.paced.as_ref().and_then(Paced::hold);
        paced.unwrap_or_else(|| Duration::from_nanos(self.rhythm.watch_duration()))
    }

    async fn call(&mut self) -> Result<Members, Fault> {
        let kept = self.connection.is_some();
        let called = self.call_once().await;
        // A kept connection that has ended says nothing of discovery; a watch must go on at once. Danger: where calls are
        // paced, a service that ends all connections at once would have all proxies call at once.
        match called {
            Err(Fault::Broken(_)) if kept && self.connection.is_none() && !self.in_slots() => {
                self.call_once().await
            }
            called => called,
        }
    }

    async fn call_once(&mut self) -> Result<Members, Fault> {
        let whole = self.version.is_none();
        let paced = self.paced.as_ref().and_then(|p| p.limit(whole));
        let limit = paced.unwrap_or_else(|| Duration::from_nanos(self.rhythm.call_timeout(whole)));
        self.paced.iter_mut().for_each(Paced::polled);
        self.rhythm.call_started(nanos(self.began.elapsed()));
        tokio::time::timeout(limit, self.exchange()).await.unwrap_or(Err(Fault::Late))
    }

    async fn exchange(&mut self) -> Result<Members, Fault> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        // Danger: where a link falls silent, the kernel would go on sending a call that was given up, and when the link is
        // well those of all proxies would come to the service at once, each beside the call that took its place.
        connection.socket.reset_on_close(true);
        let sender = &mut connection.sender;
        sender.ready().await.map_err(|e| format!("connection lost: {e}"))?;
        let path = match self.version {
            None => "/catalog/members".to_owned(),
            // Danger: 0 is a version like any other; without it each call is for the whole list, and no watch.
            Some(version) => format!("/catalog/members?from={version}&hold_ms={}", self.hold().as_millis()),
        };
        let request = Request::get(path).header(HOST, self.addr.to_string()).body(Body::default());
        let response = sender.send_request(request.map_err(|e| e.to_string())?).await;
        let (head, body) = response.map_err(|e| format!("no answer: {e}"))?.into_parts();
        let body =
            Limited::new(body, LIST_MOST).collect().await.map_err(|e| format!("broken answer: {e}"))?;
        connection.socket.reset_on_close(false);
        self.connection = Some(connection);
        if head.status != StatusCode::OK {
            return Err(Fault::Refused(head.status, advised(&head.headers)));
        }
        serde_json::from_slice(&body.to_bytes()).map_err(|e| Fault::Broken(format!("not a list: {e}")))
    }

    async fn connect(&self) -> Result<Connection, String> {
        let permit = self.descriptors.take().ok_or("no descriptor left")?;
        let connecting = tokio::time::timeout(CONNECT, connect(self.addr, || ())).await;
        let stream =
            connecting.map_err(|_| "no connection in time")?.map_err(|e| format!("no connection: {e}"))?;
        let socket = Socket::new(stream, permit);
        let io = TokioIo::new(Io(socket.clone()));
        let (sender, driver) = http1::handshake(io).await.map_err(|e| e.to_string())?;
        tokio::task::spawn_local(driver);
        Ok(Connection { sender, socket })
    }
}
