//! The service on sockets: a thin driver around [`Publisher`], one task for each proxy and each operator. A relay is one
//! that publishes nothing of its own.

use crate::frame::{decode, encode, FromOperator, FromProxy, Malformed, ToOperator};
use crate::keeper::Taker;
use crate::publisher::{Id, Outgoing, Publisher};
use crate::purges::Purges;
use crate::rollout::Plan;
use crate::version::{Stamp, Version};
use aniseyoke_sockets::{accept_error, connect, AcceptError, Uninterrupted};
use rustc_hash::FxHashMap;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::time::{sleep, timeout, Instant};

/// Frames that wait for a proxy to take them; one that leaves more untaken is let go.
pub(crate) const WAITING: usize = 16;
/// A proxy takes a frame within this time.
const TAKES_WITHIN: Duration = Duration::from_secs(30);
/// A proxy's frame is at most this long, in bytes.
const FROM_PROXY_MOST: usize = 64 << 10;
/// An operator's call comes whole within this time.
const CALL_WITHIN: Duration = Duration::from_secs(10);
/// Operators that are heard at once.
const OPERATORS: usize = 32;
const TICK: Duration = Duration::from_secs(1);
const PART: usize = 16 << 10;

/// A proxy's connection.
struct Writer {
    queue: mpsc::Sender<Outgoing>,
    end: Rc<Notify>,
}

/// Has the disk take a version.
type Storing = Box<dyn FnMut(&Version) -> Result<(), String>>;

/// A running service.
pub struct Service {
    publisher: RefCell<Publisher>,
    writers: RefCell<FxHashMap<Id, Writer>>,
    start: Instant,
    next: Cell<Id>,
    operators: Cell<usize>,
    /// Told when somebody said what became of a version, or has gone.
    pub(crate) answered: Notify,
    purges: Option<Rc<Purges>>,
    taker: RefCell<Option<Taker>>,
    /// What has a version on disk before it is published.
    storing: RefCell<Option<Storing>>,
    /// A version could not be stored: the disk may hold it all the same, in place of the newest.
    unsettled: Cell<bool>,
    /// Versions come from upstream.
    relays: bool,
}

impl Service {
    /// A service around a publisher.
    pub fn new(publisher: Publisher) -> Rc<Self> {
        Self::with(publisher, None, false)
    }

    /// A service that passes purges on as well; `relays`: its versions come from upstream, and it takes none from
    /// operators.
    pub fn with(publisher: Publisher, purges: Option<Rc<Purges>>, relays: bool) -> Rc<Self> {
        Rc::new(Service {
            publisher: RefCell::new(publisher),
            writers: RefCell::default(),
            start: Instant::now(),
            next: Cell::new(1),
            operators: Cell::new(0),
            answered: Notify::new(),
            purges,
            taker: RefCell::default(),
            storing: RefCell::default(),
            unsettled: Cell::new(false),
            relays,
        })
    }

    pub(crate) fn now(&self) -> u64 {
        self.start.elapsed().as_nanos() as u64
    }

    /// What the publisher knows.
    pub fn look<T>(&self, at: impl FnOnce(&Publisher) -> T) -> T {
        at(&self.publisher.borrow())
    }

    /// The newest version.
    pub fn newest(&self) -> Option<Version> {
        self.look(|p| p.newest().cloned())
    }

    /// Takes publishers' purges from now on.
    pub(crate) fn takes(&self, taker: Taker) {
        *self.taker.borrow_mut() = Some(taker);
    }

    /// Frames that a connection's queue still takes.
    pub(crate) fn room(&self, id: Id) -> usize {
        self.writers.borrow().get(&id).map_or(0, |writer| writer.queue.capacity())
    }

    /// Whether a frame was put into its connection's queue.
    pub(crate) fn send(&self, outgoing: Outgoing) -> bool {
        let writers = self.writers.borrow();
        writers.get(&outgoing.to).is_some_and(|writer| writer.queue.try_send(outgoing).is_ok())
    }

    /// Ends a connection.
    pub(crate) fn let_go(&self, id: Id) {
        if let Some(writer) = self.writers.borrow_mut().remove(&id) {
            writer.end.notify_one();
        }
    }

    /// Requests served, refused and failed that proxies reported since this was last asked.
    pub(crate) fn answers(&self) -> [u64; 3] {
        self.publisher.borrow_mut().answered()
    }

    /// Passes a version from upstream on, under its own stamp.
    ///
    /// # Errors
    /// As [`Publisher::adopt`].
    pub(crate) fn adopt(&self, version: Version) -> Result<(), String> {
        self.act(|p, now, out| p.adopt(now, version, out))
    }

    fn act<T>(&self, what: impl FnOnce(&mut Publisher, u64, &mut Vec<Outgoing>) -> T) -> T {
        let mut out = Vec::new();
        let done = what(&mut self.publisher.borrow_mut(), self.now(), &mut out);
        for outgoing in out {
            let to = outgoing.to;
            let full = match self.writers.borrow().get(&to) {
                Some(writer) => writer.queue.try_send(outgoing).is_err(),
                None => false,
            };
            if full {
                // Danger: one that takes nothing would hold what all others have had.
                self.writers.borrow_mut().remove(&to);
            }
        }
        done
    }

    /// From now on a version is published once this has stored it.
    pub fn stores(&self, storing: impl FnMut(&Version) -> Result<(), String> + 'static) {
        *self.storing.borrow_mut() = Some(Box::new(storing));
    }

    fn store(&self, version: &Version) -> Result<(), String> {
        self.storing.borrow_mut().as_mut().map_or(Ok(()), |storing| storing(version))
    }

    /// After a version that could not be stored: stores the one that is in force again, so that a restart finds it. True once
    /// it is, or where nothing is to be done.
    pub fn settle(&self) -> bool {
        if self.unsettled.get() {
            let settled = self.newest().is_none_or(|newest| self.store(&newest).is_ok());
            self.unsettled.set(!settled);
        }
        !self.unsettled.get()
    }

    /// Publishes a version, once it is stored. Danger: a service that is killed after its answer begins with the one before,
    /// and has all proxies go back to it.
    ///
    /// # Errors
    /// As [`Publisher::publish`], and if it could not be stored.
    pub fn publish(&self, body: Value, plan: Plan) -> Result<Stamp, String> {
        let prepared = self.look(|p| p.prepare(&body, plan))?;
        if let Err(why) = self.store(&prepared.version) {
            self.unsettled.set(true);
            return Err(format!("it can't be stored, and is not published: {why}"));
        }
        self.unsettled.set(false);
        Ok(self.act(|p, now, out| p.publish_prepared(now, prepared, out)))
    }

    /// Takes proxies in, for good.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) -> Infallible {
        let ticking = self.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(TICK).await;
                ticking.act(|p, now, out| p.tick(now, out));
            }
        });
        if let Some(purges) = self.purges.clone() {
            tokio::task::spawn_local(purges.drive(self.clone()));
        }
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let id = self.next.get();
                    self.next.set(id + 1);
                    tokio::task::spawn_local(self.clone().subscriber(id, stream));
                }
                Err(e) if accept_error(&e) == AcceptError::Passing => {}
                // Danger: without descriptors accept fails at once, and again.
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn subscriber(self: Rc<Self>, id: Id, stream: TcpStream) {
        let (writer, mut waiting) = mpsc::channel::<Outgoing>(WAITING);
        let end = Rc::new(Notify::new());
        self.writers.borrow_mut().insert(id, Writer { queue: writer, end: end.clone() });
        // It only costs time.
        let _ = stream.set_nodelay(true);
        let (reads, writes) = stream.into_split();
        let (mut reads, mut writes) = (Uninterrupted(reads), Uninterrupted(writes));
        let write = async {
            while let Some(Outgoing { mut bytes, mut last, .. }) = waiting.recv().await {
                // Short frames that wait together go as one segment: headers would be half of what they take.
                while let Some(next) =
                    (!last && bytes.len() < PART).then(|| waiting.try_recv().ok()).flatten()
                {
                    (bytes, last) = ([&bytes[..], &next.bytes[..]].concat().into(), next.last);
                }
                let written = timeout(TAKES_WITHIN, writes.write_all(&bytes)).await;
                if !matches!(written, Ok(Ok(()))) || last {
                    return;
                }
            }
        };
        let read = async {
            let mut came = Vec::new();
            let mut part = vec![0; PART];
            loop {
                match decode::<FromProxy>(&mut came, FROM_PROXY_MOST) {
                    Ok(Some(frame)) => self.heard(id, frame),
                    Ok(None) => match reads.read(&mut part).await {
                        Ok(n) if n > 0 => came.extend_from_slice(&part[..n]),
                        _ => return,
                    },
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
            () = end.notified() => {}
        }
        self.writers.borrow_mut().remove(&id);
        self.act(|p, _, _| p.gone(id));
        if let Some(purges) = &self.purges {
            purges.gone(self.now(), id);
        }
        self.answered.notify_one();
    }

    fn heard(&self, id: Id, frame: FromProxy) {
        let away = self.purges.as_ref().is_some_and(|purges| purges.hear(self.now(), id, &frame));
        let answers = matches!(frame, FromProxy::Taken { .. } | FromProxy::Refused { .. });
        self.act(|p, now, out| p.frame(now, id, frame, out));
        if answers {
            self.answered.notify_one();
        }
        if away {
            self.let_go(id);
        }
    }

    /// Takes operators' calls, one a connection, for good.
    pub async fn hear(self: Rc<Self>, listener: TcpListener) -> Infallible {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.operators.get() < OPERATORS => {
                    self.operators.set(self.operators.get() + 1);
                    let service = self.clone();
                    tokio::task::spawn_local(async move {
                        // A caller that goes away needs no answer.
                        let _ = timeout(CALL_WITHIN, service.operator(stream)).await;
                        service.operators.set(service.operators.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(e) if accept_error(&e) == AcceptError::Passing => {}
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn operator(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut stream = Uninterrupted(stream);
        let answer = match receive::<FromOperator>(&mut stream).await? {
            Ok(FromOperator::Purge { publisher, sequence, keys }) => {
                let taker = self.taker.borrow().clone();
                match taker {
                    Some(taker) => taker.take(publisher, sequence, &keys).await,
                    None => no("this service takes no purges: it was not started with --purges"),
                }
            }
            Ok(call) => self.call(call),
            Err(malformed) => ToOperator::No { why: malformed.to_string() },
        };
        stream.write_all(&encode(&answer).unwrap_or_default()).await?;
        stream.shutdown().await
    }

    fn call(&self, call: FromOperator) -> ToOperator {
        let told = |stamp: Result<Stamp, String>| match stamp {
            Ok(stamp) => ToOperator::Published { stamp },
            Err(why) => ToOperator::No { why },
        };
        match call {
            FromOperator::Publish { .. } | FromOperator::RollBack { .. } | FromOperator::Halt { .. }
                if self.relays =>
            {
                no("this is a relay: versions are published at the service that it follows")
            }
            FromOperator::Publish { body, plan } => told(self.publish(body, plan)),
            FromOperator::RollBack { to, plan } => {
                let body = self.look(|p| p.body_of(to));
                told(body.and_then(|body| self.publish(body, plan)))
            }
            FromOperator::Halt { why } => {
                self.publisher.borrow_mut().halt(&why);
                self.status()
            }
            FromOperator::Status => self.status(),
            FromOperator::Purges => match &self.purges {
                Some(purges) => purges.told(),
                None => no("this service passes no purges on"),
            },
            FromOperator::Purge { .. } => no("purges wait for their numbers, and are taken apart from this"),
        }
    }

    fn status(&self) -> ToOperator {
        self.look(|p| ToOperator::Status {
            newest: p.newest().map(|v| v.stamp),
            rollout: p.rollout().map(|state| state.to_string()),
            proxies: p.rows(),
        })
    }
}

fn no(why: &str) -> ToOperator {
    ToOperator::No { why: why.to_owned() }
}

/// Reads one message; an error of the wire is the outer one.
async fn receive<T: serde::de::DeserializeOwned>(
    stream: &mut Uninterrupted<TcpStream>,
) -> std::io::Result<Result<T, Malformed>> {
    let (mut came, mut part) = (Vec::new(), vec![0; PART]);
    loop {
        match decode(&mut came, crate::frame::FRAME_MOST) {
            Ok(Some(message)) => return Ok(Ok(message)),
            Err(malformed) => return Ok(Err(malformed)),
            Ok(None) => match stream.read(&mut part).await? {
                0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
                n => came.extend_from_slice(&part[..n]),
            },
        }
    }
}

/// Makes one operator's call at a service.
///
/// # Errors
/// If the service can't be reached, or does not answer in its own terms.
pub async fn call(door: std::net::SocketAddr, call: &FromOperator) -> Result<ToOperator, String> {
    let told = |e: std::io::Error| format!("the control service at {door}: {e}");
    let unreached = |e| format!("the control service at {door}: {e}");
    let mut stream = Uninterrupted(connect(door, || ()).await.map_err(unreached)?);
    let bytes = encode(call).map_err(|e| e.to_string())?;
    stream.write_all(&bytes).await.map_err(told)?;
    receive(&mut stream).await.map_err(told)?.map_err(|e| e.to_string())
}
