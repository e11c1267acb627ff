//! One connection to a node.

use super::Upstreams;
use crate::descriptors::DescriptorPermit;
use crate::socket::{Io, Socket, UnreadInput};
use crate::upload::AttemptBody;
use crate::MAX_READ_BUFFER_BYTES;
use aniseyoke_decision::api::ServerId;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// An open connection, closed on drop.
pub struct Connection {
    pub(super) sender: SendRequest<AttemptBody>,
    pub(super) socket: Rc<Socket>,
    driver: AbortHandle,
}

impl Connection {
    /// Starts HTTP/1 on a stream; `permit` is for its descriptor.
    ///
    /// # Errors
    /// If the connection has already ended.
    pub(super) async fn open(stream: TcpStream, permit: DescriptorPermit) -> hyper::Result<Self> {
        let socket = Socket::new(stream, permit);
        // Hyper's default buffer limit accepts heads of about 400 KB.
        let io = TokioIo::new(Io(socket.clone()));
        let (sender, driver) =
            http1::Builder::new().max_buf_size(MAX_READ_BUFFER_BYTES).handshake(io).await?;
        let driver = tokio::task::spawn_local(driver).abort_handle();
        Ok(Connection { sender, socket, driver })
    }

    /// Whether the connection is open and no bytes are known to follow the last answer. Answers carry no id, so
    /// surplus bytes would be taken for the answer to the next request. Hyper closes a connection if it finds
    /// surplus bytes in its own buffer, before it returns the answer that precedes them; this checks the
    /// kernel's buffer. If the kernel can't tell now, the check before the next request's first byte does.
    pub(super) fn is_clean(&self) -> bool {
        !self.sender.is_closed() && self.socket.unread_input() != UnreadInput::BytesOrEnd
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
        self.driver.abort();
    }
}

/// A connection without an attempt in flight.
pub struct IdleConnection {
    pub(super) connection: Connection,
    pub(super) since: Instant,
}

/// An idle connection taken from the pool for an attempt; returned on drop unless the attempt has used it.
pub struct ReservedConnection {
    pool: Weak<Upstreams>,
    server: ServerId,
    /// The node's epoch when the connection was taken.
    epoch: u64,
    idle: Option<IdleConnection>,
}

impl ReservedConnection {
    pub(super) fn new(pool: &Rc<Upstreams>, server: ServerId, epoch: u64, idle: IdleConnection) -> Self {
        ReservedConnection { pool: Rc::downgrade(pool), server, epoch, idle: Some(idle) }
    }

    /// Whether the connection is still open and has received nothing meanwhile.
    pub(super) fn is_clean(&self) -> bool {
        self.idle.as_ref().is_some_and(|idle| idle.connection.is_clean())
    }

    /// Returns the connection, for use by an attempt.
    pub(super) fn into_connection(mut self) -> Option<Connection> {
        self.idle.take().map(|idle| idle.connection)
    }
}

impl Drop for ReservedConnection {
    fn drop(&mut self) {
        if let (Some(pool), Some(idle)) = (self.pool.upgrade(), self.idle.take()) {
            pool.put_idle(self.server, self.epoch, idle);
        }
    }
}
