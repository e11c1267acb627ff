//! Accepts and admits connections, and selects the connection to close when descriptors run out.

use super::client::{Client, FIRST_REQUEST_SOON};
use super::close::CloseReason;
use super::Server;
use aniseyoke_sockets::{classify_accept_error, AcceptError};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout, Instant};

/// Most clients that reuse a connection do so within this time.
const REUSE_WITHIN: Duration = Duration::from_millis(40);
/// A flood is in progress when the idle connections without a complete request exceed the connection limit
/// divided by this.
const FLOOD_DIVISOR: usize = 4;
/// A connection that is closed to free its descriptor must be gone within this time, or another one is
/// closed.
const CLOSE_WAIT: Duration = Duration::from_millis(2);
/// Maximum pause before the next accept after a failure for lack of descriptors or memory.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    /// Accepts connections forever.
    pub(super) async fn accept_all(self: &Rc<Self>, listener: &TcpListener) -> Infallible {
        loop {
            let accepted = listener.accept().await;
            self.handle_accept(accepted).await;
        }
    }

    /// Admits an accepted connection once the budget has a descriptor for it. After a failed accept it
    /// returns when the next connection may be accepted.
    pub(super) async fn handle_accept(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok(connection) => self.pending_connection.replace(Some(connection)),
            Err(e) => return self.accept_failed(&e).await,
        };
        self.admit().await;
    }

    async fn accept_failed(&self, e: &io::Error) {
        match classify_accept_error(e) {
            // The failure concerns only this connection.
            AcceptError::Transient => tracing::info!("accept: {e}"),
            // Without a pause, accept would fail again immediately, in a busy loop.
            AcceptError::Shortage => {
                tracing::warn!("accept: {e}");
                if !self.upstreams.close_longest_idle() {
                    self.close_idle_client(true);
                }
                let _ = timeout(SHORTAGE_PAUSE, self.descriptors.freed()).await;
            }
            AcceptError::Other => {
                tracing::warn!("accept: {e}");
                sleep(SHORTAGE_PAUSE).await;
            }
        }
    }

    /// Admits the pending connection, if there is one, once a descriptor is available. The pending connection
    /// outlives the future that accepted it, which is dropped when the shutdown begins.
    pub(super) async fn admit(self: &Rc<Self>) {
        if self.pending_connection.borrow().is_none() {
            return;
        }
        let permit = loop {
            if self.clients.open().len() >= self.max_clients() {
                if !self.has_client_closing() {
                    self.close_idle_client(false);
                }
            } else if let Some(permit) = self.descriptors.try_acquire() {
                break permit;
            } else if !self.upstreams.close_longest_idle() && !self.has_client_closing() {
                self.close_idle_client(false);
            }
            // A client may have sent a request just as its connection was selected, and stays until it is
            // answered. The pending connection does not wait for that; another one is closed.
            let _ = timeout(CLOSE_WAIT, self.descriptors.freed()).await;
        };
        let Some((stream, peer)) = self.pending_connection.take() else { return };
        self.clone().serve_client(stream, peer, permit);
        if self.is_crowded() {
            self.close_idle_client(true);
        }
    }

    /// Whether more than half of the allowed connections stay open.
    fn is_crowded(&self) -> bool {
        self.remaining_clients() > self.max_clients() / 2
    }

    /// Whether more than three quarters of the allowed connections stay open.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.remaining_clients() > self.max_clients() / 4 * 3
    }

    /// Returns the number of connections that are not being closed.
    fn remaining_clients(&self) -> usize {
        self.clients.open().iter().filter(|c| c.closing.get().is_none()).count()
    }

    /// Closes idle connections, as selected by [`Self::close_idle_client`], while more than half of the
    /// allowed ones stay open. Clients have a limited number of connections, too: if they keep all of them
    /// idle, they have none left for requests, and no new connection arrives to displace an idle one.
    pub(super) fn shed_idle_clients(&self) {
        let mut surplus = self.remaining_clients().saturating_sub(self.max_clients() / 2);
        while surplus > 0 && self.close_idle_client(true) {
            surplus -= 1;
        }
    }

    /// Closes the idle connection that is least likely to send a request. Returns false if none may be
    /// closed. `spare_new` excludes new connections and, in a flood, all but those that are idle after
    /// exactly one request.
    ///
    /// The silent connections of a flood displace one another rather than connections with requests.
    /// Otherwise a new connection that is about to send its request is closed only after those whose requests
    /// have been answered.
    fn close_idle_client(&self, spare_new: bool) -> bool {
        let clients = self.clients.open();
        let mut idle: Vec<_> =
            clients.iter().filter(|c| !c.has_open_request.get() && c.closing.get().is_none()).collect();
        let now = Instant::now();
        let inactive =
            |c: &Client, limit: Duration| now.saturating_duration_since(c.inactive_since()) > limit;
        let flood = idle.iter().filter(|c| !c.all_answered()).count() > self.max_clients() / FLOOD_DIVISOR;
        let about_to_send = |c: &Client| !c.all_answered() && !inactive(c, FIRST_REQUEST_SOON);
        let rank = |c: &Client| match c.all_answered() {
            // Some clients send one request and keep the connection open forever.
            true if c.heads.complete.get() == 1 && inactive(c, REUSE_WITHIN) => 0,
            false if inactive(c, FIRST_REQUEST_SOON) => 1,
            answered if answered == flood => 3,
            _ => 2,
        };
        idle.retain(|c| !spare_new || if flood { rank(c) == 0 } else { !about_to_send(c) });
        idle.sort_by_key(|c| (rank(c), c.inactive_since()));
        let client = idle.iter().find(|c| c.socket.has_no_input()).or(idle.first());
        client.is_some_and(|client| {
            client.request_close(CloseReason::Displaced);
            true
        })
    }

    /// Whether an idle connection is already being closed. If another one were closed for each new connection
    /// that arrives in the meantime, all connections in use by clients would be closed.
    fn has_client_closing(&self) -> bool {
        let about_to_close = |c: &Rc<Client>| {
            c.closing.get().is_some() && !c.has_open_request.get() && !c.socket.is_write_blocked()
        };
        self.clients.open().iter().any(about_to_close)
    }
}
