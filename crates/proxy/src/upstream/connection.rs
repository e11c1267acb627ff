//! One connection to a node.

use super::Upstreams;
use crate::descriptors::DescriptorPermit;
use crate::socket::{Io, Socket};
use crate::upload::Sending;
use crate::MAX_READ_BUFFER_BYTES;
use aniseyoke_decision::api::ServerId;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An open connection; dropping it closes it.
pub struct Connection {
    pub(super) sender: SendRequest<Sending>,
    pub(super) socket: Rc<Socket>,
    driver: AbortHandle,
}

impl Connection {
    /// A connection over a stream; `permit` is for its descriptor.
    ///
    /// # Errors
    /// If it has ended already.
    pub(super) async fn open(stream: TcpStream, permit: DescriptorPermit) -> hyper::Result<Self> {
        let socket = Socket::new(stream, permit);
        // By default hyper reads a head of some 400 KB before it gives up.
        let io = TokioIo::new(Io(socket.clone()));
        let (sender, driver) =
            http1::Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io).await?;
        let driver = tokio::task::spawn_local(driver).abort_handle();
        Ok(Connection { sender, socket, driver })
    }

    /// Whether nothing has come behind the last answer. Answers carry no id, so that what is left of one would pass for the
    /// answer to the next request. Hyper ends a connection when it finds such bytes in its own buffer, which it does before
    /// the answer before them is handed over; the kernel's is looked at here.
    pub(super) fn is_clean(&self) -> bool {
        !self.sender.is_closed() && self.socket.has_no_input()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
        self.driver.abort();
    }
}

/// A connection that carries no attempt.
pub struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
}

/// An idle connection that was taken from the pool for an attempt. Unless the attempt uses it, it goes back.
pub struct ReservedConnection {
    pool: Weak<Upstreams>,
    server: ServerId,
    /// The node's epoch when it was taken.
    epoch: u64,
    idle: Option<IdleConnection>,
}

impl ReservedConnection {
    pub(super) fn new(pool: &Rc<Upstreams>, server: ServerId, epoch: u64, idle: IdleConnection) -> Self {
        ReservedConnection { pool: Rc::downgrade(pool), server, epoch, idle: Some(idle) }
    }

    /// Whether nothing has come on it meanwhile.
    pub(super) fn is_clean(&self) -> bool {
        self.idle.as_ref().is_some_and(|idle| idle.connection.is_clean())
    }

    /// The connection, for an attempt that uses it.
    pub(super) fn into_connection(mut self) -> Option<Connection> {
        self.idle.take().map(|idle| idle.connection)
    }
}

impl Drop for ReservedConnection {
    fn drop(&mut self) {
        if let (Some(pool), Some(idle)) = (self.pool.upgrade(), self.idle.take()) {
            pool.keep(self.server, self.epoch, idle);
        }
    }
}
