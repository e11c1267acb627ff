//! Where a member listens: taking connections, refusing them, or leaving them without a word, at one address for life.

use aniseyoke_lab_world::Process;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be taken.
const BACKLOG: i32 = 1024;
/// To fill a queue of none takes no more than so many connections.
const FILLERS_MOST: usize = 8;
/// A connection on loopback that is not up by then will not come up.
const COMES_UP_WITHIN: Duration = Duration::from_millis(60);

/// The door of one member.
pub struct Door {
    /// Its address.
    pub addr: SocketAddr,
    /// Keeps the port while nothing listens: bound, so that nobody else gets it, and refusing.
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

impl Door {
    /// A closed door at an address that the system chooses on loopback.
    ///
    /// # Errors
    /// If the system has none.
    pub fn new() -> io::Result<Self> {
        let holder = bound(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let addr = holder.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        Ok(Door { addr, _holder: holder, listener: None, fillers: Vec::new() })
    }

    /// Becomes what its member's process is.
    ///
    /// # Errors
    /// If the system refuses.
    pub async fn become_(&mut self, process: Process) -> io::Result<()> {
        match process {
            Process::Up => {
                self.fillers.clear();
                // What stood in the queue of a silent machine is reset with it.
                self.listener = None;
                let socket = bound(self.addr)?;
                socket.listen(BACKLOG)?;
                self.listener = Some(TcpListener::from_std(socket.into())?);
            }
            Process::Down => {
                self.fillers.clear();
                self.listener = None;
            }
            Process::Silent => self.fill().await?,
        }
        Ok(())
    }

    /// Fills the queue, so that the kernel answers no new connection: none is refused and none comes up.
    async fn fill(&mut self) -> io::Result<()> {
        let Some(listener) = &self.listener else { return Ok(()) };
        SockRef::from(listener).listen(0)?;
        while self.fillers.len() < FILLERS_MOST {
            let connecting = tokio::time::timeout(COMES_UP_WITHIN, TcpStream::connect(self.addr));
            match connecting.await {
                Ok(filler) => self.fillers.push(filler?),
                Err(_) => return Ok(()),
            }
        }
        Ok(())
    }

    /// The next connection; none ever comes while the door is not open.
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
