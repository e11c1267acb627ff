//! Takes connections in, and decides which of them makes room when places run out.

use super::client::{Client, ASK_SOON};
use super::Server;
use aniseyoke_sockets::{accept_error, AcceptError};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// A client that uses its connection again does so within this time, mostly.
const ASK_AGAIN: Duration = Duration::from_millis(40);
/// More than this part of the clients' connections that ask nothing are a flood.
const SILENT_PART: usize = 4;
/// A connection that is to make room does so within this time, or another is asked to.
const YIELD_WITHIN: Duration = Duration::from_millis(2);
/// After a failure for lack of descriptors or memory the next connection is taken so much later at most.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    pub(super) async fn accept_all(self: &Rc<Self>, listener: &TcpListener) -> Infallible {
        loop {
            let accepted = listener.accept().await;
            self.accepted(accepted).await;
        }
    }

    /// Takes in a connection, once there is a descriptor for it. The one that it has meanwhile is the server's own.
    /// What failed says whether to go on at once.
    pub(super) async fn accepted(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => return self.accept_failed(&e).await,
        };
        self.taken.replace(Some(stream));
        self.admit().await;
    }

    async fn accept_failed(&self, e: &io::Error) {
        match accept_error(e) {
            // It says nothing of the connections behind it.
            AcceptError::Passing => tracing::info!("accept: {e}"),
            // Danger: accept fails at once, and again, and again.
            AcceptError::Shortage => {
                tracing::warn!("accept: {e}");
                if !self.upstreams.yield_idle() {
                    self.yield_client(true);
                }
                let _ = timeout(SHORTAGE_PAUSE, self.descriptors.freed()).await;
            }
            AcceptError::Other => {
                tracing::warn!("accept: {e}");
                sleep(SHORTAGE_PAUSE).await;
            }
        }
    }

    /// Lets in the connection that was accepted last, if it waits still, once there is a descriptor for it. Danger: what
    /// accepts is dropped when the process is told to stop; the connection must not go with it.
    pub(super) async fn admit(self: &Rc<Self>) {
        if self.taken.borrow().is_none() {
            return;
        }
        let permit = loop {
            if self.clients.borrow().len() >= self.clients_most() {
                if !self.one_leaves() {
                    self.yield_client(false);
                }
            } else if let Some(permit) = self.descriptors.take() {
                break permit;
            } else if !self.upstreams.yield_idle() && !self.one_leaves() {
                self.yield_client(false);
            }
            // Danger: who was sent away may have asked just then and stays until it has its answer; the next one
            // must not wait for that.
            let _ = timeout(YIELD_WITHIN, self.descriptors.freed()).await;
        };
        let Some(stream) = self.taken.take() else { return };
        self.clone().connected(stream, permit);
        if self.crowded() {
            self.yield_client(true);
        }
    }

    fn crowded(&self) -> bool {
        self.staying() > self.clients_most() / 2
    }

    /// Whether hardly a place is free.
    pub(super) fn packed(&self) -> bool {
        self.staying() > self.clients_most() / 4 * 3
    }

    fn staying(&self) -> usize {
        self.clients.borrow().iter().filter(|c| !c.closing.get()).count()
    }

    /// Ends what was asked once on and is kept, while too many stay. Danger: clients too have only so many
    /// connections; those that they keep would leave them none to ask on, and then none comes that could push
    /// another out.
    pub(super) fn thin(&self) {
        let mut more = self.staying().saturating_sub(self.clients_most() / 2);
        while more > 0 && self.yield_client(true) {
            more -= 1;
        }
    }

    /// Ends the client's connection that is least likely to bring a request; false if none may be ended. `spare`
    /// leaves what has just come, and while a flood comes all but those that ask once and stay.
    /// Danger: a flood of connections that say nothing must push out one another, and not those that ask; but what
    /// has just come and is about to ask must not go before those that have their answer.
    fn yield_client(&self, spare: bool) -> bool {
        let clients = self.clients.borrow();
        let mut idle: Vec<_> = clients.iter().filter(|c| !c.busy.get() && !c.closing.get()).collect();
        let now = Instant::now();
        let quiet = |c: &Client, most: Duration| now.saturating_duration_since(c.quiet_since()) > most;
        let flood = idle.iter().filter(|c| !c.answered()).count() > self.clients_most() / SILENT_PART;
        let about_to_ask = |c: &Client| !c.answered() && !quiet(c, ASK_SOON);
        let rank = |c: &Client| match c.answered() {
            // Some ask once and keep their connection for good.
            true if c.seen.heads.get() == 1 && quiet(c, ASK_AGAIN) => 0,
            false if quiet(c, ASK_SOON) => 1,
            answered if answered == flood => 3,
            _ => 2,
        };
        idle.retain(|c| !spare || if flood { rank(c) == 0 } else { !about_to_ask(c) });
        idle.sort_by_key(|c| (rank(c), c.quiet_since()));
        let client = idle.iter().find(|c| c.socket.silent()).or(idle.first());
        client.is_some_and(|client| {
            client.end();
            true
        })
    }

    /// Whether a connection is about to leave its place. Danger: to send another away for each that comes
    /// before it has left would empty the house of those that ask.
    fn one_leaves(&self) -> bool {
        let leaves = |c: &Rc<Client>| c.closing.get() && !c.busy.get() && !c.socket.stalled();
        self.clients.borrow().iter().any(leaves)
    }
}
