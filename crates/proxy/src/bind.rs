//! Opens the listeners whose addresses the platform sets.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tokio::net::TcpListener;

/// A listener that could not be opened.
#[derive(Debug, Error)]
#[error("{variable}: {addr}: {source}")]
pub struct BindError {
    /// The variable that sets the address.
    pub variable: &'static str,
    /// The address.
    pub addr: SocketAddr,
    /// What the system says.
    pub source: io::Error,
}

/// Listens at the address that `variable` sets; returns the listener and the address that it has got.
///
/// # Errors
/// If the system does not allow it.
pub async fn bind(variable: &'static str, addr: SocketAddr) -> Result<(TcpListener, SocketAddr), BindError> {
    let listener = TcpListener::bind(addr).await;
    with_address(variable, addr, listener)
}

/// A listener with the address that it has got, where opening it was left to the caller.
///
/// # Errors
/// If it was not opened, or has no address.
pub fn with_address(
    variable: &'static str,
    addr: SocketAddr,
    listener: io::Result<TcpListener>,
) -> Result<(TcpListener, SocketAddr), BindError> {
    let failed = |source| BindError { variable, addr, source };
    let listener = listener.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
