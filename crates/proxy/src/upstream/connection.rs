//! One connection to a node.

use crate::descriptors::Permit;
use crate::socket::{Io, Socket};
use crate::upload::Sending;
use crate::BUFFER_MOST;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use std::rc::Rc;
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
    pub(super) async fn open(stream: TcpStream, permit: Permit) -> hyper::Result<Self> {
        let socket = Socket::new(stream, permit);
        // By default hyper reads a head of some 400 KB before it gives up.
        let io = TokioIo::new(Io(socket.clone()));
        let (sender, driver) = http1::Builder::new().max_buf_size(BUFFER_MOST).handshake(io).await?;
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
