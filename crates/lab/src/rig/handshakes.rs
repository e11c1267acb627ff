//! A listening socket that may stop answering handshakes, as a machine does that can't be reached: a caller's SYN is lost,
//! its machine sends it again after 1 s, 3 s and so on, and nothing that the caller would write is sent at all.
//!
//! The kernel drops SYNs without a word where the queue of connections to be accepted is full. So the queue is made as
//! short as may be, one, and filled by a connection of our own.

use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted while handshakes are answered.
const BACKLOG: i32 = 1024;
/// The shortest queue that the kernel has holds one connection.
const SHORTEST_BACKLOG: i32 = 0;

/// A listener, and the connection that fills its queue while it answers no handshake.
pub struct Handshakes {
    listener: TcpListener,
    addr: SocketAddr,
    answers: bool,
    /// Kept until it is accepted, so that its port is no caller's.
    filler: Option<Socket>,
}

impl Handshakes {
    /// A listener that answers handshakes.
    ///
    /// # Errors
    /// If the system does not tell the listener's address.
    pub fn new(listener: TcpListener) -> io::Result<Self> {
        let addr = listener.local_addr()?;
        Ok(Handshakes { listener, addr, answers: true, filler: None })
    }

    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// From here on answers handshakes, or leaves them unanswered. Connections whose handshake is over by then stay.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn set_answers(&mut self, answers: bool) -> io::Result<()> {
        if answers == self.answers {
            return Ok(());
        }
        if answers {
            // Where callers had filled the queue themselves, the filler never came about, and is not to be accepted.
            self.filler.take_if(|filler| filler.peer_addr().is_err());
            SockRef::from(&self.listener).listen(BACKLOG)?;
        } else {
            SockRef::from(&self.listener).listen(SHORTEST_BACKLOG)?;
            if self.filler.is_none() {
                self.filler = Some(begin_connecting(self.addr)?);
            }
        }
        self.answers = answers;
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

/// A connection that comes about at once if the listener's queue has a place for it.
fn begin_connecting(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&addr.into()) {
        Err(e) if e.raw_os_error() != Some(nix::libc::EINPROGRESS) => Err(e),
        _ => Ok(socket),
    }
}
