//! Takes over the client listener where the platform owns it: each process of the proxy inherits the socket,
//! so that it stays open when one of them closes its descriptor.

use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};

/// The environment variable with the number of the inherited descriptor.
const FD_VARIABLE: &str = "PROXY_FD";

/// Why the inherited descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The variable is not a valid descriptor number.
    #[error("{FD_VARIABLE} is no descriptor: {0:?}")]
    NotADescriptor(String),
    /// The descriptor is not open, or can't be inspected.
    #[error("{FD_VARIABLE}: descriptor {fd}: {source}")]
    Lookup {
        /// The descriptor number.
        fd: RawFd,
        /// The error of the system call.
        source: io::Error,
    },
    /// The descriptor is not a socket.
    #[error("{FD_VARIABLE}: descriptor {fd} is not a socket: {}", target.display())]
    NotASocket {
        /// The descriptor number.
        fd: RawFd,
        /// The link target in `/proc/self/fd`.
        target: PathBuf,
    },
    /// The descriptor has been taken over before.
    #[error("{FD_VARIABLE}: descriptor {0} has already been taken over")]
    AlreadyTaken(RawFd),
    /// The descriptor is not the expected listening socket.
    #[error("{FD_VARIABLE}: descriptor {fd} {source}")]
    Listener {
        /// The descriptor number.
        fd: RawFd,
        /// What is wrong with the socket.
        source: ListenerError,
    },
}

/// A socket is not the expected listening socket.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// Whether the socket listens could not be determined.
    #[error("cannot be queried: {0}")]
    Query(io::Error),
    /// The socket does not listen.
    #[error("does not listen")]
    NotListening,
    /// The address of the socket could not be determined.
    #[error("has no address: {0}")]
    NoAddress(io::Error),
    /// The socket listens on another address.
    #[error("listens at {bound}, not at {expected}")]
    OtherAddress {
        /// The address that it listens on.
        bound: SocketAddr,
        /// The configured address.
        expected: SocketAddr,
    },
    /// The socket could not be set to non-blocking mode.
    #[error("cannot be set to non-blocking: {0}")]
    Blocking(io::Error),
}

/// Returns the inherited listening socket, if the environment names one.
///
/// # Errors
/// If the descriptor is not a socket that listens on `expected`.
pub fn inherited(expected: SocketAddr) -> Result<Option<TcpListener>, HandoverError> {
    let Ok(value) = std::env::var(FD_VARIABLE) else { return Ok(None) };
    let fd: Option<RawFd> = value.parse().ok().filter(|fd| *fd >= 0);
    let fd = fd.ok_or(HandoverError::NotADescriptor(value))?;
    let listener = check_listener(adopt(fd)?, expected);
    listener.map(Some).map_err(|source| HandoverError::Listener { fd, source })
}

/// Takes ownership of a descriptor that this process inherited. No other part of the program knows its
/// number, and this function succeeds only once.
fn adopt(fd: RawFd) -> Result<OwnedFd, HandoverError> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"));
    let target = target.map_err(|source| HandoverError::Lookup { fd, source })?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(HandoverError::NotASocket { fd, target });
    }
    if TAKEN.swap(true, Ordering::Relaxed) {
        return Err(HandoverError::AlreadyTaken(fd));
    }
    // SAFETY: the descriptor is open, as was just checked. It was inherited, so nothing in this process owns
    // it, and `TAKEN` ensures that this line is reached only once.
    #[allow(unsafe_code)]
    Ok(unsafe { OwnedFd::from_raw_fd(fd) })
}

/// Returns the socket in non-blocking mode, if it listens on `expected`.
fn check_listener(fd: OwnedFd, expected: SocketAddr) -> Result<TcpListener, ListenerError> {
    if !SockRef::from(&fd).is_listener().map_err(ListenerError::Query)? {
        return Err(ListenerError::NotListening);
    }
    let listener = TcpListener::from(fd);
    let bound = listener.local_addr().map_err(ListenerError::NoAddress)?;
    if bound != expected {
        return Err(ListenerError::OtherAddress { bound, expected });
    }
    listener.set_nonblocking(true).map_err(ListenerError::Blocking)?;
    Ok(listener)
}

#[cfg(test)]
mod tests;
