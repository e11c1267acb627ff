//! Connections to cache nodes and the origin, and one attempt on one of them with its outcome.

use super::budget::Budget;
use super::descriptors::Descriptors;
use super::last_look::{told, LastLook};
use super::opening::Opening;
use super::relay::{Outgoing, Relay};
use super::socket::{Io, Presence, Socket, Waiter};
use super::upload::{Payload, Sending};
use super::{BODY_MOST, BUFFER_MOST, LARGEST};
use aniseyoke_core::Transport;
use aniseyoke_decision::api::{Entry, Load, Nanos, ServerId, State, Status};
use aniseyoke_sockets::{connect, ConnectError};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING,
};
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use hyper_util::rt::TokioIo;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep, sleep_until, Instant};

pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
const UNPROCESSED: HeaderName = HeaderName::from_static("x-unprocessed");
/// So many bytes may come in answer to a request: a body, what frames it, and interim answers ahead. Danger: hyper
/// reads on for as long as interim answers come, and hands none of them over.
const ANSWER_MOST: usize = 8 * BODY_MOST;
/// A node that takes nothing more of a body for so long has hung up.
const TAKES_WITHIN: Duration = Duration::from_secs(10);
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// An answer of unknown length that is not whole so long after its head is passed on as it comes.
const HOLD: Duration = Duration::from_millis(20);
/// Who waits for a permit to open a connection looks this often for one that has become idle.
const PERMIT_LOOK: Duration = Duration::from_millis(20);
/// The process may be held up for so long between reading its clock and writing.
const HELD_UP_MOST: Duration = Duration::from_millis(150);
/// So often an attempt whose request was withheld at the last look is looked at anew.
const WITHHELD_MOST: usize = 2;
const LOOKUP: HeaderName = HeaderName::from_static("x-lookup");
const LOAD: HeaderName = HeaderName::from_static("x-backend-load");

/// A client's request as it goes on to any cache node.
pub struct Job {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Payload,
    /// Who waits for the answer.
    pub waiter: Option<Waiter>,
}

impl Job {
    /// Returns if the client still waits, and whether that had to be asked for, or that there is no way left to ask it;
    /// never if it has gone: who waits for the client ends the attempt then.
    /// Danger: between the decision on an attempt and its writing lie a queue, a timer, leave to open and a connection
    /// that comes up late; the client may have left by then, unseen by a process that was busy.
    async fn waits(&self, tether: &Tether) -> Result<bool, Unsure> {
        let presence = match &self.waiter {
            // Danger: a client that has its answer must not be sent a word behind it.
            Some(waiter) if !tether.shut(Instant::now()) => waiter.presence().await,
            _ => Presence::There,
        };
        match presence {
            Presence::There => Ok(false),
            Presence::Asked => Ok(true),
            Presence::Unsure => Err(Unsure),
            Presence::Gone => std::future::pending().await,
        }
    }
}

/// Nothing tells whether the client is still there. What can't be known to be for somebody is not begun.
struct Unsure;

impl aniseyoke_core::Job for Job {
    fn key(&self) -> &[u8] {
        let path = self.uri.path().strip_prefix('/').unwrap_or("");
        path.split_once('/').map_or("", |(_, key)| key).as_bytes()
    }

    fn body_pending(&self) -> bool {
        self.body.upload().is_some()
    }

    fn on_body_received(&self, then: impl FnOnce() + 'static) {
        if let Some(upload) = self.body.upload() {
            upload.on_taken(then);
        }
    }

    async fn body_received(job: Weak<Job>) {
        // Danger: a wait that holds the job itself would hold the body's connection as well.
        let Some(upload) = job.upgrade().map(|job| job.body.upload().cloned()) else { return };
        if let Some(upload) = upload {
            upload.taken().await;
        }
    }
}

/// What a node has answered, on its way to whoever asked.
pub type Reply = Response<Outgoing>;

/// What came of an attempt.
type Ended = aniseyoke_core::AttemptOutcome<Reply>;

/// The caller's hold on an attempt while it is out.
#[derive(Default)]
pub struct Tether {
    socket: RefCell<Option<Rc<Socket>>>,
    barred: Cell<bool>,
    /// Nothing of it is written from then on.
    until: Cell<Option<Instant>>,
    /// Barred, with nothing out whose outcome is to be waited for.
    idle: Notify,
}

impl aniseyoke_core::AttemptHandle for Tether {
    fn forbid_writing(&self) {
        self.barred.set(true);
        let written = |s: &Rc<Socket>| s.whole();
        if self.socket.borrow().as_ref().is_some_and(written) {
            return;
        }
        // Danger: what the kernel had no room for would be written once it has, long after the request was over. A
        // request of which the last byte is not written has not run.
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
        self.idle.notify_one();
    }

    /// Danger: the task that writes it may run before the one that is aborted.
    fn abort(&self) {
        self.barred.set(true);
        if let Some(socket) = self.socket.take() {
            socket.close();
        }
    }

    /// Danger: the process may be held up right behind the last look at the clock, and write that much later.
    fn forbid_writing_after(&self, since: std::time::Instant, time: Duration) {
        self.until.set(Some(Instant::from_std(since) + time.saturating_sub(HELD_UP_MOST)));
    }
}

impl Tether {
    /// Whether it must not be written at this time any more.
    pub fn shut(&self, now: Instant) -> bool {
        self.barred.get() || self.until.get().is_some_and(|until| now >= until)
    }
}

/// An open connection; dropping it closes it.
struct Connection {
    sender: SendRequest<Sending>,
    socket: Rc<Socket>,
    driver: AbortHandle,
}

impl Connection {
    /// Whether nothing has come behind the last answer. Danger: answers carry no id, so that what is left of one
    /// would pass for the answer to the next request. Hyper ends a connection when it finds such bytes in its own
    /// buffer, which it does before the answer before them is handed over; the kernel's is looked at here.
    fn clean(&self) -> bool {
        !self.sender.is_closed() && self.socket.silent()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
        self.driver.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Instant,
}

struct Node {
    addr: Option<SocketAddr>,
    started: Nanos,
    ready: bool,
    /// Counts what makes older connections useless: a restart, a new address, a drain.
    epoch: u64,
    idle: Vec<Idle>,
}

/// All cache nodes that the list names.
pub struct Upstreams {
    nodes: RefCell<FxHashMap<ServerId, Node>>,
    /// Taken out by operators, listed or not.
    banned: RefCell<FxHashSet<ServerId>>,
    descriptors: Rc<Descriptors>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    idle_most: Duration,
    epochs: Cell<u64>,
    /// Permits to open connections, where that is limited.
    opening: Option<RefCell<Opening>>,
}

impl Transport for Upstreams {
    type Job = Job;
    type Reply = Reply;
    type Handle = Tether;

    fn update_endpoints(&self, whole: bool, entries: &[(Entry, Option<SocketAddr>)]) {
        if let Some(opening) = &self.opening {
            opening.borrow_mut().update(whole, entries.iter().map(|(entry, _)| entry));
        }
        let mut nodes = self.nodes.borrow_mut();
        if whole {
            let named: FxHashSet<ServerId> = entries.iter().map(|(e, _)| e.server).collect();
            nodes.retain(|server, _| named.contains(server));
        }
        for (entry, addr) in entries {
            if entry.state == State::Gone {
                nodes.remove(&entry.server);
                continue;
            }
            let ready = entry.state == State::Ready;
            let old = nodes.get(&entry.server);
            if old.is_some_and(|n| n.addr == *addr && n.started == entry.started && n.ready == ready) {
                continue;
            }
            self.epochs.set(self.epochs.get() + 1);
            let epoch = self.epochs.get();
            // The idle connections of the old one close here.
            nodes.insert(
                entry.server,
                Node { addr: *addr, started: entry.started, ready, epoch, idle: Vec::new() },
            );
        }
    }

    fn set_banned(&self, server: ServerId, out: bool) {
        let mut banned = self.banned.borrow_mut();
        if out {
            banned.insert(server);
        } else {
            banned.remove(&server);
        }
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            self.epochs.set(self.epochs.get() + 1);
            node.epoch = self.epochs.get();
            node.idle.clear();
        }
    }

    fn any_ready(&self) -> bool {
        let banned = self.banned.borrow();
        let ready = |(s, n): (&ServerId, &Node)| n.ready && n.addr.is_some() && !banned.contains(s);
        self.nodes.borrow().iter().any(ready)
    }

    fn close_idle(&self, server: ServerId) {
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server) {
            node.idle.clear();
        }
    }

    async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        job: Rc<Job>,
        since: std::time::Instant,
        wait: Duration,
        tether: Rc<Tether>,
    ) -> Ended {
        self.within(server, &job, Instant::from_std(since) + wait, wait, &tether).await
    }
}

impl Upstreams {
    pub fn new(
        descriptors: Rc<Descriptors>,
        budget: Rc<Budget>,
        connect_timeout: Duration,
        conn_idle: Nanos,
        opening: Option<Opening>,
    ) -> Rc<Self> {
        // Danger: a request written to a connection that its node is just closing ends as a reset, and may
        // have run. The node counts from its own last byte, so leave it a good part of the time. With 0 the node
        // closes as soon as it has answered, and no connection is used again.
        let idle_most = Duration::from_nanos(conn_idle / 4 * 3);
        let (nodes, banned) = (RefCell::default(), RefCell::default());
        let (epochs, opening) = (Cell::new(0), opening.map(RefCell::new));
        Rc::new(Upstreams { nodes, banned, descriptors, budget, connect_timeout, idle_most, epochs, opening })
    }

    /// Closes idle connections that have ended or stood too long.
    pub fn sweep(&self) {
        let keep = |i: &Idle| i.since.elapsed() < self.idle_most && !i.connection.sender.is_closed();
        self.nodes.borrow_mut().values_mut().for_each(|n| n.idle.retain(keep));
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; false if there is none.
    pub fn yield_idle(&self) -> bool {
        let mut nodes = self.nodes.borrow_mut();
        let oldest = nodes.values_mut().filter(|n| !n.idle.is_empty()).min_by_key(|n| n.idle[0].since);
        oldest.map(|n| n.idle.remove(0)).is_some()
    }

    /// One attempt: until it is due, or, where the last byte of its request still comes, `wait` long from then on.
    async fn within(
        self: &Rc<Self>,
        server: ServerId,
        job: &Job,
        due: Instant,
        wait: Duration,
        tether: &Rc<Tether>,
    ) -> Ended {
        let over = async {
            tokio::select! {
                () = stuck(tether) => {}
                () = async {
                    match job.body.upload() {
                        None => sleep_until(due).await,
                        Some(upload) => {
                            upload.taken().await;
                            sleep(wait).await;
                        }
                    }
                } => {}
            }
        };
        tokio::select! {
            biased;
            () = tether.idle.notified() => Status::NotSent.into(),
            ended = self.exchange(server, job, due, wait, tether) => ended,
            () = over => {
                let written = tether.socket.borrow().as_ref().is_some_and(|s| s.whole());
                // A request that was not written whole has not run.
                if written { Status::Timeout } else { Status::ConnectFailed }.into()
            }
        }
    }

    async fn exchange(
        self: &Rc<Self>,
        server: ServerId,
        job: &Job,
        due: Instant,
        wait: Duration,
        tether: &Rc<Tether>,
    ) -> Ended {
        let mut withheld = 0;
        loop {
            // Danger: a wait for a permit must come before the body is taken up: what an attempt has read of an upload is
            // gone with it.
            let Some(idle) = self.permit(server, due, wait).await else { return Status::NotSent.into() };
            let mut asked_at = Instant::now();
            let Ok(asked) = job.waits(tether).await else { return Status::NotSent.into() };
            let idle = idle.filter(|idle| !asked || idle.clean());
            let Some(body) = job.body.send() else { return Status::NotSent.into() };
            let Some((addr, epoch)) = self.open_to(server) else { return Status::NotSent.into() };
            let (mut connection, reused) = match idle.or_else(|| self.newest(server)) {
                Some(connection) => (connection, true),
                None => match self.connect(addr).await {
                    Ok(connection) => {
                        asked_at = Instant::now();
                        if job.waits(tether).await.is_err() {
                            return Status::NotSent.into();
                        }
                        (connection, false)
                    }
                    Err(status) => return status.into(),
                },
            };
            if connection.sender.ready().await.is_err() {
                if reused {
                    continue;
                }
                return Status::ConnectFailed.into();
            }
            // Danger: while the connection came up the node may have been told to drain or have restarted, or
            // the request may have had its answer. Nothing may be written then.
            if tether.shut(Instant::now()) || self.epoch(server) != Some(epoch) {
                return Status::NotSent.into();
            }
            let (pool, look_at) = (Rc::downgrade(self), Rc::downgrade(tether));
            let waiter = job.waiter.clone();
            let look = LastLook { pool, server, epoch, tether: look_at, waiter, asked: asked_at, due };
            connection.socket.begin(ANSWER_MOST, look);
            tether.socket.replace(Some(connection.socket.clone()));
            let upload = job.body.upload();
            if upload.is_some() {
                connection.socket.stream();
            }
            let sent = connection.sender.send_request(request(job, body, addr, due)).await;
            let Ok(response) = sent else {
                // The process was held up, or its work came in another order; who may have left is asked anew.
                if connection.socket.withheld() {
                    withheld += 1;
                    let now = Instant::now();
                    if withheld > WITHHELD_MOST || now >= due || tether.shut(now) {
                        return Status::NotSent.into();
                    }
                    continue;
                }
                // The client's own failure says nothing of the node.
                if upload.is_some_and(|u| u.failed()) {
                    return Status::NotSent.into();
                }
                // Danger: after its last byte the request may have run, and is not for this side to repeat.
                if connection.socket.whole() {
                    return Status::Reset.into();
                }
                if reused {
                    continue;
                }
                return Status::ConnectFailed.into();
            };
            return match self.read(response).await {
                Read::Spoilt => Status::Reset.into(),
                Read::Whole(ended) => {
                    if connection.socket.whole() {
                        self.keep(server, epoch, connection);
                    }
                    ended
                }
                Read::Large(head, ahead, rest) => {
                    connection.socket.stream();
                    let (hit, load) = (hit(&head.headers), load(&head.headers));
                    let pool = Rc::downgrade(self);
                    let done = move || {
                        if let Some(pool) = pool.upgrade().filter(|_| connection.socket.whole()) {
                            pool.keep(server, epoch, connection);
                        }
                    };
                    let answer = Response::from_parts(head, Relay::new(ahead, rest, done).into());
                    Ended { status: Status::Ok, hit, load, answer: Some(answer) }
                }
            };
        }
    }

    /// Reads a small answer to its end. Danger: passing on a body while it still comes would leave the client with
    /// half an answer when it breaks, so only what is large, or has no room in the budget, is passed on so.
    async fn read(&self, response: Response<Incoming>) -> Read {
        if spoilt(&response) {
            return Read::Spoilt;
        }
        let (head, mut body) = response.into_parts();
        let told = body.size_hint();
        let small = told.lower() <= BODY_MOST as u64;
        let room = told.exact().map_or(BODY_MOST, |length| length.min(BODY_MOST as u64) as usize);
        let mut held = if small { self.budget.reserve(room) } else { None };
        let mut ahead = Vec::new();
        // Danger: what has no told length may be large, and a slow one's first bytes would wait for long.
        let unknown = told.exact().is_none() && status(&head) == Status::Ok;
        let mut hold = std::pin::pin!(sleep(HOLD));
        // Read to its end and not just to its last byte: by then hyper has seen what may stand behind it.
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                () = &mut hold, if unknown && !ahead.is_empty() => {
                    return Read::Large(head, ahead.into(), body);
                }
            };
            let Some(frame) = frame else { break };
            // What can't be read may have run.
            let Ok(frame) = frame else { return Read::Spoilt };
            let Ok(data) = frame.into_data() else { continue };
            ahead.extend_from_slice(&data);
            if held.is_none() || ahead.len() > BODY_MOST {
                return match status(&head) {
                    Status::Ok => Read::Large(head, ahead.into(), body),
                    // An error is not worth reading through.
                    _ => Read::Spoilt,
                };
            }
        }
        if let Some(held) = &mut held {
            held.shrink(ahead.len());
        }
        let (status, hit, load) = (status(&head), hit(&head.headers), load(&head.headers));
        let answer =
            (status == Status::Ok).then(|| Response::from_parts(head, Outgoing::whole(ahead.into(), held)));
        Read::Whole(Ended { status, hit, load, answer })
    }

    /// Waits for a permit to open a connection, or for one that has become idle meanwhile, which is returned. None if
    /// more than half of the attempt's time would go by: another node may have room sooner. Danger: to call that a
    /// failed connection would blame the node.
    async fn permit(&self, server: ServerId, due: Instant, wait: Duration) -> Option<Option<Connection>> {
        let Some(opening) = &self.opening else { return Some(None) };
        let until = due - wait / 2;
        loop {
            if let Some(connection) = self.newest(server) {
                return Some(Some(connection));
            }
            let Err(later) = opening.borrow_mut().take(server) else { return Some(None) };
            if Instant::now() + later > until || self.open_to(server).is_none() {
                return None;
            }
            sleep(later.min(PERMIT_LOOK)).await;
        }
    }

    /// Where a node takes new work.
    fn open_to(&self, server: ServerId) -> Option<(SocketAddr, u64)> {
        let nodes = self.nodes.borrow();
        let node = nodes.get(&server).filter(|n| n.ready && !self.banned.borrow().contains(&server))?;
        Some((node.addr?, node.epoch))
    }

    /// Of a node that takes new work.
    pub fn epoch(&self, server: ServerId) -> Option<u64> {
        self.open_to(server).map(|(_, epoch)| epoch)
    }

    fn newest(&self, server: ServerId) -> Option<Connection> {
        let mut nodes = self.nodes.borrow_mut();
        let idle = &mut nodes.get_mut(&server)?.idle;
        while let Some(i) = idle.pop() {
            if i.since.elapsed() < self.idle_most && i.connection.clean() {
                return Some(i.connection);
            }
        }
        None
    }

    fn keep(&self, server: ServerId, epoch: u64, connection: Connection) {
        if self.idle_most.is_zero() || !connection.clean() {
            return;
        }
        if let Some(node) = self.nodes.borrow_mut().get_mut(&server).filter(|n| n.epoch == epoch && n.ready) {
            node.idle.push(Idle { connection, since: Instant::now() });
        }
    }

    /// A new connection, or what to tell of its lack.
    async fn connect(&self, addr: SocketAddr) -> Result<Connection, Status> {
        let permit = loop {
            match self.descriptors.take() {
                Some(permit) => break permit,
                None if self.yield_idle() => tokio::task::yield_now().await,
                // Danger: to call this a failed connection would blame the node for our own shortage.
                None => return Err(Status::NotSent),
            }
        };
        let make_room = || {
            self.yield_idle();
        };
        let connecting = tokio::time::timeout(self.connect_timeout, connect(addr, make_room)).await;
        let stream = match connecting {
            Ok(Ok(stream)) => stream,
            // Danger: as above.
            Ok(Err(ConnectError::Local(e))) => {
                tracing::warn!("no socket for {addr}: {e}");
                return Err(Status::NotSent);
            }
            Ok(Err(ConnectError::Remote(_))) | Err(_) => return Err(Status::ConnectFailed),
        };
        let socket = Socket::new(stream, permit);
        // Danger: by default hyper reads a head of some 400 KB before it gives up.
        let shaken =
            http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(TokioIo::new(Io(socket.clone())));
        let (sender, driver) = shaken.await.map_err(|_| Status::ConnectFailed)?;
        let driver = tokio::task::spawn_local(driver).abort_handle();
        Ok(Connection { sender, socket, driver })
    }
}

fn request(job: &Job, body: Sending, addr: SocketAddr, due: Instant) -> Request<Sending> {
    let mut request = Request::new(body);
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let headers = request.headers_mut();
    headers.reserve(job.headers.len() + 2);
    // The last look replaces it; ahead of the others, so that it is among the first bytes written.
    let left = due.saturating_duration_since(Instant::now());
    if let Ok(left) = HeaderValue::try_from(told(left)) {
        headers.insert(TIME_LEFT, left);
    }
    for (name, value) in job.headers.iter().filter(|(name, _)| **name != TIME_LEFT) {
        headers.append(name, value.clone());
    }
    if !headers.contains_key(HOST) {
        if let Ok(host) = HeaderValue::try_from(addr.to_string()) {
            headers.insert(HOST, host);
        }
    }
    request
}

/// Whether an answer's head is one that no node in its right mind sends: a switch of protocols, a length that
/// contradicts itself or is over the limit, or none though the connection is to stay open, so that its end could
/// not be told.
fn spoilt(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let (told, coded) = (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING));
    let ends = response.version() == Version::HTTP_10
        || headers.get_all(CONNECTION).iter().any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    response.status().is_informational()
        || told && coded
        || response.body().size_hint().lower() > LARGEST
        || !told && !coded && !ends && !response.body().is_end_stream()
}

/// What has been read of an answer.
enum Read {
    /// It can't be read, or is not worth it; its connection is of no further use.
    Spoilt,
    Whole(Ended),
    /// The rest of it still comes.
    Large(Parts, Bytes, Incoming),
}

fn status(head: &Parts) -> Status {
    let unprocessed = head.headers.get(&UNPROCESSED).is_some_and(|v| v == "1");
    match head.status {
        StatusCode::OK => Status::Ok,
        StatusCode::NOT_FOUND => Status::Miss,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => Status::Rejected,
        _ => Status::Error,
    }
}

fn hit(headers: &HeaderMap) -> Option<bool> {
    headers.get(&LOOKUP).map(|v| v == "hit")
}

/// What an answer says of its node's load; a report that can't be read says nothing.
fn load(headers: &HeaderMap) -> Option<Load> {
    #[derive(serde::Deserialize)]
    struct Report {
        load_share: f64,
        tps: f64,
    }
    let report: Report = serde_json::from_slice(headers.get(&LOAD)?.as_bytes()).ok()?;
    Load::new(report.load_share, report.tps)
}

/// Returns once a node has taken nothing of a request for long that is not written whole.
async fn stuck(tether: &Tether) {
    loop {
        sleep(LOOK_EVERY).await;
        if tether.socket.borrow().as_ref().is_some_and(|s| s.stuck(TAKES_WITHIN)) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
