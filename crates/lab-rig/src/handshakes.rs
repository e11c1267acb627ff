//! A listening socket that can stop answering handshakes, like an unreachable machine: a caller's SYN is lost, its machine
//! sends it again after 1 s, 3 s and so on, and nothing that the caller would write is sent at all.
//!
//! The kernel drops SYNs silently when the queue of connections to be accepted is full. So the queue is shortened to one,
//! and filled with a connection of the relay's own.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted while handshakes are answered.
const BACKLOG: i32 = 1024;
/// The shortest queue that the kernel has holds one connection.
const MIN_BACKLOG: i32 = 0;

/// A listener, and the connection that fills its queue while it answers no handshake.
pub struct HandshakeListener {
    listener: TcpListener,
    addr: SocketAddr,
    answering: bool,
    /// Kept until it is accepted, so that no caller gets its port.
    filler: Option<Socket>,
}

impl HandshakeListener {
    /// A listener that answers handshakes.
    ///
    /// # Errors
    /// If the system does not tell the listener's address.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        Ok(HandshakeListener { listener, addr, answering: true, filler: None })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Answers handshakes from now on, or leaves them unanswered. Connections whose handshake is complete stay.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn set_answering(&mut self, answering: bool) -> io::Result<()> {
        if answering == self.answering {
            return Ok(());
        }
        if answering {
            // If callers had filled the queue themselves, the filler was never established, and must not be accepted.
            self.filler.take_if(|filler| filler.peer_addr().is_err());
            SockRef::from(&self.listener).listen(BACKLOG)?;
        } else {
            SockRef::from(&self.listener).listen(MIN_BACKLOG)?;
            if self.filler.is_none() {
                self.filler = Some(start_connecting(self.addr)?);
            }
        }
        self.answering = answering;
        Ok(())
    }

    /// The next caller's connection.
    ///
    /// # Errors
    /// If the system refuses.
    pub async fn accept(&mut self) -> io::Result<TcpStream> {
        loop {
            let (stream, from) = self.listener.accept().await?;
            let filler = self.filler.as_ref().and_then(|filler| filler.local_addr().ok()?.as_socket());
            if filler != Some(from) {
                return Ok(stream);
            }
            self.filler = None;
        }
    }
}

/// A connection that is established at once if the listener's queue has room for it.
fn start_connecting(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() != Some(nix::libc::EINPROGRESS) => Err(e),
        _ => Ok(socket),
    }
}
