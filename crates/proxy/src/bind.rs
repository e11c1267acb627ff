//! Opens listeners at the addresses that the platform's variables set.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;

/// A listener that could not be opened.
#[derive(Debug, Error)]
#[error("{variable}: {addr}: {source}")]
pub struct BindError {
    /// The environment variable that sets the address.
    pub variable: &'static str,
    /// The address to listen on.
    pub addr: SocketAddr,
    /// The error of the system call.
    pub source: io::Error,
}

/// Listens on the address that `variable` sets, and returns the listener and its bound address.
///
/// # Errors
/// If the address can't be bound.
pub async fn bind(variable: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let listener = TcpListener::bind(addr).await;
    with_bound_address(variable, addr, listener)
}

/// Returns a listener that the caller has opened, with its bound address.
///
/// # Errors
/// If opening the listener failed, or its address can't be determined.
pub fn with_bound_address(
    variable: &'static str,
    addr: SocketAddr,
    listener: io::Result<TcpListener>,
) -> Result<(TcpListener, SocketAddr), BindError> {
    let bind_error = |source| BindError { variable, addr, source };
    let listener = listener.map_err(bind_error)?;
    let bound = listener.local_addr().map_err(bind_error)?;
    Ok((listener, bound))
}
