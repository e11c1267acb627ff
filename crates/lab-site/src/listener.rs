//! The listening socket of a member: accepts connections, refuses them or leaves them unanswered, always at the same
//! address.

use aniseyoke_lab_world::ProcessState;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Length of the accept queue.
const ACCEPT_BACKLOG: i32 = 1024;
/// Maximum number of connections opened to fill an accept queue of length 0.
const MAX_FILLER_CONNECTIONS: usize = 8;
/// A loopback connection that is not established within this time is not established at all.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(60);

/// The listening socket of one member.
pub struct MemberListener {
    /// The address of the member.
    pub addr: SocketAddr,
    /// Reserves the port while nothing listens: bound, so that no other process gets the port, but refusing
    /// connections.
    _port_reservation: Socket,
    listener: Option<TcpListener>,
    /// Connections opened here to fill the accept queue of a silent machine.
    filler_connections: Vec<TcpStream>,
}

fn bind_socket(addr: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    Ok(socket)
}

impl MemberListener {
    /// Creates a socket that refuses connections, at a loopback address that the operating system chooses.
    ///
    /// # Errors
    /// If no address is available.
    pub fn new() -> io::Result<Self> {
        let port_reservation = bind_socket(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = port_reservation.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        Ok(MemberListener {
            addr,
            _port_reservation: port_reservation,
            listener: None,
            filler_connections: Vec::new(),
        })
    }

    /// Accepts, refuses or ignores connections according to the state of the member's process.
    ///
    /// # Errors
    /// If a socket operation fails.
    pub async fn set_process(&mut self, process: ProcessState) -> io::Result<()> {
        match process {
            ProcessState::Up => {
                self.filler_connections.clear();
                // Closing the old socket resets the connections in the accept queue of a silent machine.
                self.listener = None;
                let socket = bind_socket(self.addr)?;
                socket.listen(ACCEPT_BACKLOG)?;
                self.listener = Some(TcpListener::from_std(socket.into())?);
            }
            ProcessState::Down => {
                self.filler_connections.clear();
                self.listener = None;
            }
            ProcessState::Silent => self.fill_queue().await?,
        }
        Ok(())
    }

    /// Fills the accept queue, so that the kernel answers no handshake: connections are neither refused nor
    /// established.
    async fn fill_queue(&mut self) -> io::Result<()> {
        let Some(listener) = &self.listener else { return Ok(()) };
        SockRef::from(listener).listen(0)?;
        while self.filler_connections.len() < MAX_FILLER_CONNECTIONS {
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr));
            match connecting.await {
                Ok(filler_connection) => self.filler_connections.push(filler_connection?),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }

    /// Returns the next connection; never completes while the socket does not accept connections.
    pub async fn accept(&self) -> TcpStream {
        loop {
            match &self.listener {
                Some(listener) if self.filler_connections.is_empty() => match listener.accept().await {
                    Ok((stream, _)) => return stream,
                    Err(e) => {
                        tracing::warn!("failed to accept a connection at {}: {e}", self.addr);
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
