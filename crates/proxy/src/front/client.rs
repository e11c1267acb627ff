//! One client's connection: what others see of it, when it is overdue, and its life under hyper.

use super::answer::{bad, closing};
use super::gate::{Gate, Seen};
use super::Server;
use crate::drain::Drain;
use crate::socket::{Permit, Socket};
use crate::BUFFER_MOST;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::StatusCode;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A connection that has asked nothing for so long since it came, whatever part of a head it sent, is closed. An
/// honest client takes up to 2 s for a head, and a silent one is owed its close within 3.
const ASK_WITHIN: Duration = Duration::from_millis(2700);
/// Within this time a new connection is expected to ask.
pub const ASK_SOON: Duration = Duration::from_millis(500);
/// A head that has begun on a connection used before comes whole within this time.
const COME_WITHIN: Duration = Duration::from_millis(2700);
/// The kernel takes the rest of an answer within this time.
const TAKE_WITHIN: Duration = Duration::from_secs(2);
/// A client takes more of a large answer within this time.
const TAKE_MORE_WITHIN: Duration = Duration::from_secs(10);
/// A connection that has been without a request for so long is closed.
const IDLE_MOST: Duration = Duration::from_secs(10);

/// A client's connection, as others see it.
pub struct Client {
    pub socket: Rc<Socket>,
    pub seen: Rc<Seen>,
    pub busy: Cell<bool>,
    pub came: Instant,
    /// When it came or was last answered.
    pub since: Cell<Instant>,
    pub close: Notify,
    pub closing: Cell<bool>,
    /// What came since it was to end has been looked at.
    looked: Cell<bool>,
}

impl Client {
    pub fn new(stream: TcpStream, permit: Permit) -> Rc<Self> {
        let came = Instant::now();
        Rc::new(Client {
            socket: Socket::new(stream, permit),
            seen: Rc::default(),
            busy: Cell::new(false),
            came,
            since: Cell::new(came),
            close: Notify::new(),
            closing: Cell::new(false),
            looked: Cell::new(false),
        })
    }

    /// Since when nothing has come on it, nor an answer gone.
    pub fn quiet_since(&self) -> Instant {
        self.seen.moved.get().map_or(self.since.get(), |moved| moved.max(self.since.get()))
    }

    /// Whether it has had the answer to all that it asked.
    pub fn answered(&self) -> bool {
        self.seen.heads.get() > 0 && self.seen.head_since.get().is_none()
    }

    /// Lets the connection end after the request that it has, if any.
    pub fn end(&self) {
        self.closing.set(true);
        self.close.notify_one();
    }

    /// Whether it has taken nothing of an answer for so long that it is not to have the rest.
    fn untaken(&self, now: Instant) -> bool {
        if self.busy.get() {
            return self.socket.stuck(TAKE_MORE_WITHIN);
        }
        self.socket.stalled() && now.saturating_duration_since(self.since.get()) > TAKE_WITHIN
    }

    /// Whether a part of a request has been read behind those that have had their answer.
    fn begun(&self) -> bool {
        self.seen.head_since.get().is_some()
    }

    /// What is to be done now that the connection is to end. Danger: this was decided some time ago, and a request may
    /// have come since; once it has been read it is owed an answer.
    fn ending(&self) -> Ending {
        if self.untaken(Instant::now()) {
            return Ending::Now;
        }
        if self.busy.get() || self.socket.stalled() {
            self.looked.set(false);
            return if self.begun() { Ending::AfterTheNext } else { Ending::AfterAnswer };
        }
        if !self.looked.get() && !self.socket.silent() {
            self.looked.set(true);
            self.close.notify_one();
            return Ending::Look;
        }
        if self.begun() {
            self.socket.tell(REFUSAL);
        }
        Ending::Now
    }

    /// Danger: silence, a head that does not end and an answer that is not read would each hold a descriptor for
    /// good.
    pub fn look(&self, now: Instant, drain: &Drain) {
        if self.untaken(now) {
            return self.end();
        }
        if self.busy.get() {
            return;
        }
        let over = |from: Instant, most: Duration| now.saturating_duration_since(from) > most;
        let asked = self.seen.heads.get() > 0;
        let overdue = if asked {
            self.seen.head_since.get().is_some_and(|since| over(since, COME_WITHIN))
        } else {
            over(self.came, ASK_WITHIN)
        };
        // A process that is to end waits for a head that still comes, but not for one that has stopped.
        let stopped = drain.is_active() && !self.answered() && over(self.quiet_since(), ASK_SOON);
        let idle = (over(self.since.get(), IDLE_MOST) || drain.closes_idle(self.since.get(), now))
            && !self.begun()
            && self.socket.silent();
        if overdue || stopped || idle {
            self.end();
        }
    }
}

/// How a connection that is to end does so.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// At once: nothing is owed on it.
    Now,
    /// With the answer that is due.
    AfterAnswer,
    /// With the answer to the request that has been read in part behind the one that has its answer due.
    AfterTheNext,
    /// It is asked again once the runtime has looked at what has come.
    Look,
}

/// What a request gets of which the rest is not waited for.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// A client's connection that has a request open.
struct Busy(Rc<Client>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(false);
        self.0.since.set(Instant::now());
    }
}

impl Server {
    pub(super) fn connected(self: Rc<Self>, stream: TcpStream, permit: Permit) {
        let client = Client::new(stream, permit);
        self.clients.borrow_mut().push(client.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(|request| {
                client.busy.set(true);
                let fault = client.seen.fault.take();
                let (server, client) = (&self, &client);
                let busy = Busy(client.clone());
                async move {
                    let mut response = match fault {
                        Some(why) => bad(StatusCode::BAD_REQUEST, why),
                        None => server.respond(request, &client.socket).await,
                    };
                    // In a crowd a connection is worth more to the next client than to the one that has its answer.
                    let leaves = client.seen.heads.get() == 1 && server.packed();
                    let ends = leaves || server.drain.is_active() || client.closing.get();
                    // Danger: a request read behind this one would go without its answer.
                    if ends && !client.begun() || client.seen.last.get() {
                        closing(&mut response);
                    }
                    if response.body().relayed() {
                        client.socket.stream();
                        response.body_mut().keep(busy);
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            // Danger: by default hyper drops the request of a client that has ended its sending and still waits,
            // and lets one connection hold some 400 KB.
            let gate = Gate::new(client.socket.clone(), client.seen.clone());
            let connection = http1::Builder::new()
                .half_close(true)
                .max_buf_size(BUFFER_MOST)
                .serve_connection(TokioIo::new(gate), service);
            let mut connection = std::pin::pin!(connection);
            loop {
                // What has come in is read before the connection is asked to end.
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    () = client.close.notified() => {
                        // Danger: hyper waits without end for the rest of a head.
                        match client.ending() {
                            Ending::Now => break,
                            Ending::AfterAnswer => connection.as_mut().graceful_shutdown(),
                            Ending::AfterTheNext => {}
                            Ending::Look => yield_now().await,
                        }
                    }
                }
            }
            self.clients.borrow_mut().retain(|c| !Rc::ptr_eq(c, &client));
            self.left.notify_one();
        });
    }
}
