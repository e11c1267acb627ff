//! Connections to others: a shortage of this machine's own is waited out for a moment, and told apart from their faults.

use crate::errors::is_local_shortage;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The waits after failures for lack of something on this machine; after the last one the shortage is told.
const BACKOFF: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(4), Duration::from_millis(16)];

/// Why there is no connection.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacked a descriptor, memory or a port; the other side was not asked.
    Local(io::Error),
    /// The other side refused, or can't be reached.
    Remote(io::Error),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectError::Local(e) | ConnectError::Remote(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ConnectError {}

/// Connects to an address. What this machine is short of is asked of `make_room`, and it is tried again.
///
/// # Errors
/// If the other side can't be reached, or the shortage lasts.
pub async fn connect(addr: SocketAddr, make_room: impl Fn()) -> Result<TcpStream, ConnectError> {
    for wait in BACKOFF {
        match TcpStream::connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(e) if is_local_shortage(&e) => make_room(),
            Err(e) => return Err(ConnectError::Remote(e)),
        }
        sleep(wait).await;
    }
    TcpStream::connect(addr).await.map_err(|e| match is_local_shortage(&e) {
        true => ConnectError::Local(e),
        false => ConnectError::Remote(e),
    })
}
