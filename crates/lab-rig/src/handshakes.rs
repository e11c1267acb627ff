//! A listening socket that can stop answering TCP handshakes, like an unreachable host: the client's SYN is lost and
//! retransmitted after 1 s, 3 s and so on, and the client can't send any data.
//!
//! The kernel silently drops SYNs when the accept queue is full. To stop answering, the listener shortens the queue to one
//! connection and fills it with a connection of its own.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// The length of the accept queue while handshakes are answered.
const BACKLOG: i32 = 1024;
/// The backlog of the shortest accept queue of the kernel, which has a length of one connection.
const MIN_BACKLOG: i32 = 0;

/// A listener, and the connection that fills its accept queue while it does not answer handshakes.
pub struct HandshakeListener {
    listener: TcpListener,
    addr: SocketAddr,
    answering: bool,
    /// The connection that fills the queue; it stays open until it is accepted, so that no client gets its port.
    filler: Option<Socket>,
}

impl HandshakeListener {
    /// Wraps a listener; it answers handshakes at first.
    ///
    /// # Errors
    /// Returns an error if the system does not return the local address of the listener.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        Ok(HandshakeListener { listener, addr, answering: true, filler: None })
    }

    /// Returns the address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Starts or stops answering handshakes. Connections whose handshake is complete stay open.
    ///
    /// # Errors
    /// Returns an error if a call on a socket fails.
    pub fn set_answering(&mut self, answering: bool) -> io::Result<()> {
        if answering == self.answering {
            return Ok(());
        }
        if answering {
            // If clients filled the queue first, the filler connection was never established and must not be accepted.
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

    /// Accepts the next connection of a client.
    ///
    /// # Errors
    /// Returns an error if `accept` fails.
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

/// Starts a connection that is established immediately if the listener's accept queue has capacity for it.
fn start_connecting(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() != Some(nix::libc::EINPROGRESS) => Err(e),
        _ => Ok(socket),
    }
}
