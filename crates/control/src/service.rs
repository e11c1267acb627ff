//! The service on sockets: a thin driver around [`Publisher`], one task for each proxy and each operator.

use crate::frame::{decode, encode, FromOperator, FromProxy, Malformed, ToOperator};
use crate::publisher::{Id, Outgoing, Publisher};
use crate::rollout::Plan;
use crate::version::{Stamp, Version};
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
const WAITING: usize = 16;
/// A proxy takes a frame within this time.
const TAKES_WITHIN: Duration = Duration::from_secs(30);
/// A proxy's frame is at most this long, in bytes.
const FROM_PROXY_MOST: usize = 64 << 10;
/// An operator's call comes whole within this time.
const CALL_WITHIN: Duration = Duration::from_secs(10);
/// Operators that are heard at once.
const OPERATORS: usize = 8;
const TICK: Duration = Duration::from_secs(1);
const PART: usize = 16 << 10;

/// A running service.
pub struct Service {
    publisher: RefCell<Publisher>,
    writers: RefCell<FxHashMap<Id, mpsc::Sender<Outgoing>>>,
    start: Instant,
    next: Cell<Id>,
    operators: Cell<usize>,
    /// Told when a version was published.
    pub published: Notify,
}

impl Service {
    /// A service around a publisher.
    pub fn new(publisher: Publisher) -> Rc<Self> {
        Rc::new(Service {
            publisher: RefCell::new(publisher),
            writers: RefCell::default(),
            start: Instant::now(),
            next: Cell::new(1),
            operators: Cell::new(0),
            published: Notify::new(),
        })
    }

    fn now(&self) -> u64 {
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

    fn act<T>(&self, what: impl FnOnce(&mut Publisher, u64, &mut Vec<Outgoing>) -> T) -> T {
        let mut out = Vec::new();
        let done = what(&mut self.publisher.borrow_mut(), self.now(), &mut out);
        for outgoing in out {
            let to = outgoing.to;
            let full = match self.writers.borrow().get(&to) {
                Some(writer) => writer.try_send(outgoing).is_err(),
                None => false,
            };
            if full {
                // Danger: one that takes nothing would hold what all others have had.
                self.writers.borrow_mut().remove(&to);
            }
        }
        done
    }

    /// Publishes a version.
    ///
    /// # Errors
    /// As [`Publisher::publish`].
    pub fn publish(&self, body: Value, plan: Plan) -> Result<Stamp, String> {
        let stamp = self.act(|p, now, out| p.publish(now, body, plan, out))?;
        self.published.notify_one();
        Ok(stamp)
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
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let id = self.next.get();
                    self.next.set(id + 1);
                    tokio::task::spawn_local(self.clone().subscriber(id, stream));
                }
                // Danger: without descriptors accept fails at once, and again.
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn subscriber(self: Rc<Self>, id: Id, stream: TcpStream) {
        let (writer, mut waiting) = mpsc::channel::<Outgoing>(WAITING);
        self.writers.borrow_mut().insert(id, writer);
        // It only costs time.
        let _ = stream.set_nodelay(true);
        let (mut reads, mut writes) = stream.into_split();
        let write = async {
            while let Some(outgoing) = waiting.recv().await {
                let written = timeout(TAKES_WITHIN, writes.write_all(&outgoing.bytes)).await;
                if !matches!(written, Ok(Ok(()))) || outgoing.last {
                    return;
                }
            }
        };
        let read = async {
            let mut came = Vec::new();
            let mut part = vec![0; PART];
            loop {
                match decode::<FromProxy>(&mut came, FROM_PROXY_MOST) {
                    Ok(Some(frame)) => self.act(|p, now, out| p.frame(now, id, frame, out)),
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
        }
        self.writers.borrow_mut().remove(&id);
        self.act(|p, _, _| p.gone(id));
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
                Err(_) => sleep(Duration::from_millis(20)).await,
            }
        }
    }

    async fn operator(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let answer = match receive::<FromOperator>(&mut stream).await? {
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
            FromOperator::Publish { body, plan } => told(self.publish(body, plan)),
            FromOperator::RollBack { to, plan } => {
                let stamp = self.act(|p, now, out| p.roll_back(now, to, plan, out));
                self.published.notify_one();
                told(stamp)
            }
            FromOperator::Halt { why } => {
                self.publisher.borrow_mut().halt(&why);
                self.status()
            }
            FromOperator::Status => self.status(),
            FromOperator::Purge { .. } | FromOperator::Purges => {
                ToOperator::No { why: "this service takes no purges".into() }
            }
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

/// Reads one message; an error of the wire is the outer one.
async fn receive<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
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
    let mut stream = TcpStream::connect(door).await.map_err(told)?;
    let bytes = encode(call).map_err(|e| e.to_string())?;
    stream.write_all(&bytes).await.map_err(told)?;
    receive(&mut stream).await.map_err(told)?.map_err(|e| e.to_string())
}
