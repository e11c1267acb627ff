//! Opens outgoing connections. Retries after a local resource shortage, and reports it separately from faults
//! of the peer.

use crate::errors::is_local_shortage;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// The waits between attempts during a local resource shortage. If the attempt after the last wait fails, the
/// shortage is returned as an error.
const BACKOFF: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(4), Duration::from_millis(16)];

/// Why a connection could not be opened.
#[derive(Debug)]
pub enum ConnectError {
    /// This machine lacked a file descriptor, memory or a port; the peer was not contacted.
    Local(io::Error),
    /// The peer refused the connection or can't be reached.
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

/// Connects to an address. During a local resource shortage, calls `release_resources` and retries.
///
/// # Errors
/// If the peer refuses the connection or can't be reached, or if the shortage outlasts the retries.
pub async fn connect(addr: SocketAddr, release_resources: impl Fn()) -> Result<TcpStream, ConnectError> {
    for wait in BACKOFF {
        match TcpStream::connect(addr).await {
            Ok(stream) => return Ok(stream),
            Err(e) if is_local_shortage(&e) => release_resources(),
            Err(e) => return Err(ConnectError::Remote(e)),
        }
        sleep(wait).await;
    }
    TcpStream::connect(addr).await.map_err(|e| match is_local_shortage(&e) {
        true => ConnectError::Local(e),
        false => ConnectError::Remote(e),
    })
}
