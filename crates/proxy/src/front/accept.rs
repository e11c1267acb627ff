//! Accepts and admits connections, and decides which of them is closed when descriptors run out.

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

/// A client that reuses its connection does so within this time, mostly.
const REUSE_WITHIN: Duration = Duration::from_millis(40);
/// When more than this part of the allowed connections has sent no request, there is a flood.
const FLOOD_DIVISOR: usize = 4;
/// A connection that is closed to make room is gone within this time, or another is closed.
const CLOSE_WAIT: Duration = Duration::from_millis(2);
/// After a failure for lack of descriptors or memory the next connection is accepted so much later at most.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(10);

impl Server {
    /// Accepts connections without end.
    pub(super) async fn accept_all(self: &Rc<Self>, listener: &TcpListener) -> Infallible {
        loop {
            let accepted = listener.accept().await;
            self.handle_accept(accepted).await;
        }
    }

    /// Admits an accepted connection, once there is a descriptor of the budget for it. After a failure it returns when the
    /// next may be accepted.
    pub(super) async fn handle_accept(self: &Rc<Self>, accepted: io::Result<(TcpStream, SocketAddr)>) {
        match accepted {
            Ok(connection) => self.pending_connection.replace(Some(connection)),
            Err(e) => return self.accept_failed(&e).await,
        };
        self.admit().await;
    }

    async fn accept_failed(&self, e: &io::Error) {
        match classify_accept_error(e) {
            // It says nothing of the connections behind it.
            AcceptError::Transient => tracing::info!("accept: {e}"),
            // Without a wait accept would fail again at once, in a busy loop.
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

    /// Admits the connection that was accepted last, if it waits still, once there is a descriptor for it. The
    /// connection outlives the task that accepted it, which is dropped when the process is told to stop.
    pub(super) async fn admit(self: &Rc<Self>) {
        if self.pending_connection.borrow().is_none() {
            return;
        }
        let permit = loop {
            if self.clients.borrow().len() >= self.max_clients() {
                if !self.has_client_closing() {
                    self.close_idle_client(false);
                }
            } else if let Some(permit) = self.descriptors.try_acquire() {
                break permit;
            } else if !self.upstreams.close_longest_idle() && !self.has_client_closing() {
                self.close_idle_client(false);
            }
            // A client whose connection is closed may have sent a request just then, and stays until it has its answer; the next
            // one does not wait for that.
            let _ = timeout(CLOSE_WAIT, self.descriptors.freed()).await;
        };
        let Some((stream, peer)) = self.pending_connection.take() else { return };
        self.clone().serve_client(stream, peer, permit);
        if self.is_crowded() {
            self.close_idle_client(true);
        }
    }

    /// Whether more clients stay than may keep idle connections.
    fn is_crowded(&self) -> bool {
        self.remaining_clients() > self.max_clients() / 2
    }

    /// Whether few connections more can be admitted.
    pub(super) fn is_nearly_full(&self) -> bool {
        self.remaining_clients() > self.max_clients() / 4 * 3
    }

    /// The connections that are not about to be closed.
    fn remaining_clients(&self) -> usize {
        self.clients.borrow().iter().filter(|c| c.closing.get().is_none()).count()
    }

    /// Closes connections that had one request and are kept open, while too many stay. Clients too have only so many
    /// connections; those that they keep open would leave them none for requests, and then none would come to take the place
    /// of another.
    pub(super) fn shed_idle_clients(&self) {
        let mut surplus = self.remaining_clients().saturating_sub(self.max_clients() / 2);
        while surplus > 0 && self.close_idle_client(true) {
            surplus -= 1;
        }
    }

    /// Closes the idle connection that is least likely to bring a request; false if none may be closed. `spare` leaves
    /// new connections, and in a flood all but those that had one request and are kept open.
    ///
    /// Silent connections of a flood push out one another, and not those with requests; but a new one that is about to send
    /// its request does not go before those that have their answer.
    fn close_idle_client(&self, spare: bool) -> bool {
        let clients = self.clients.borrow();
        let mut idle: Vec<_> =
            clients.iter().filter(|c| !c.has_open_request.get() && c.closing.get().is_none()).collect();
        let now = Instant::now();
        let inactive =
            |c: &Client, limit: Duration| now.saturating_duration_since(c.inactive_since()) > limit;
        let flood = idle.iter().filter(|c| !c.all_answered()).count() > self.max_clients() / FLOOD_DIVISOR;
        let about_to_send = |c: &Client| !c.all_answered() && !inactive(c, FIRST_REQUEST_SOON);
        let rank = |c: &Client| match c.all_answered() {
            // Some clients send one request and keep their connection for good.
            true if c.heads.complete.get() == 1 && inactive(c, REUSE_WITHIN) => 0,
            false if inactive(c, FIRST_REQUEST_SOON) => 1,
            answered if answered == flood => 3,
            _ => 2,
        };
        idle.retain(|c| !spare || if flood { rank(c) == 0 } else { !about_to_send(c) });
        idle.sort_by_key(|c| (rank(c), c.inactive_since()));
        let client = idle.iter().find(|c| c.socket.has_no_input()).or(idle.first());
        client.is_some_and(|client| {
            client.request_close(CloseReason::Displaced);
            true
        })
    }

    /// Whether a connection is about to be closed. Were another closed for each that comes before it is gone, all those that
    /// bring requests would be.
    fn has_client_closing(&self) -> bool {
        let about_to_close = |c: &Rc<Client>| {
            c.closing.get().is_some() && !c.has_open_request.get() && !c.socket.is_write_blocked()
        };
        self.clients.borrow().iter().any(about_to_close)
    }
}
