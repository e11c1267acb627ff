//! The listening socket of a member: it accepts connections, refuses them, or leaves them unanswered, always at one address.

use aniseyoke_lab_world::ProcessState;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// Connections that are opened at most to fill an accept queue of length 0.
const MAX_FILLERS: usize = 8;
/// A connection on loopback that is not established by then will not be.
const CONNECTS_WITHIN: Duration = Duration::from_millis(60);

/// The listening socket of one member.
pub struct MemberListener {
    /// Its address.
    pub addr: SocketAddr,
    /// Keeps the port while nothing listens: bound, so that nobody else gets it, and refusing connections.
    _holder: Socket,
    listener: Option<TcpListener>,
    /// Connections of our own that fill the queue of a silent machine.
    fillers: Vec<TcpStream>,
}

fn bound(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

impl MemberListener {
    /// A socket that refuses connections, at a loopback address that the system chooses.
    ///
    /// # Errors
    /// If the system has none.
    pub fn new() -> io::Result<Self> {
        let holder = bound(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = holder.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        Ok(MemberListener { addr, _holder: holder, listener: None, fillers: Vec::new() })
    }

    /// Accepts, refuses or ignores connections as the member's process does.
    ///
    /// # Errors
    /// If the system refuses.
    pub async fn set_process(&mut self, process: ProcessState) -> io::Result<()> {
        match process {
            ProcessState::Up => {
                self.fillers.clear();
                // What stood in the queue of a silent machine is reset with it.
                self.listener = None;
                let socket = bound(self.addr)?;
                socket.listen(BACKLOG)?;
                self.listener = Some(TcpListener::from_std(socket.into())?);
            }
            ProcessState::Down => {
                self.fillers.clear();
                self.listener = None;
            }
            ProcessState::Silent => self.fill_queue().await?,
        }
        Ok(())
    }

    /// Fills the accept queue, so that the kernel answers no handshake: connections are neither refused nor established.
    async fn fill_queue(&mut self) -> io::Result<()> {
        let Some(listener) = &self.listener else { return Ok(()) };
        SockRef::from(listener).listen(0)?;
        while self.fillers.len() < MAX_FILLERS {
            let connecting = tokio::time::timeout(CONNECTS_WITHIN, TcpStream::connect(self.addr));
            match connecting.await {
                Ok(filler) => self.fillers.push(filler?),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }

    /// The next connection; none ever comes while the socket does not accept.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match &self.listener {
                Some(listener) if self.fillers.is_empty() => match listener.accept().await {
                    Ok((stream, _)) => return stream,
                    Err(e) => {
                        tracing::warn!("accept at {}: {e}", self.addr);
                        tokio::time::sleep(Duration::from_millis(10)).await;
                    }
                },
                _ => std::future::pending().await,
            }
        }
    }
}

#[cfg(test)]
mod tests;
