//! The clients' listening socket where the platform holds it: every process of the proxy inherits it, and none closes it
//! for the others.

use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};

/// The environment variable that names the inherited descriptor.
const FD_VARIABLE: &str = "PROXY_FD";

/// Why the inherited descriptor can't be used.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// The variable is not a number.
    #[error("{FD_VARIABLE} is no descriptor: {0:?}")]
    NotADescriptor(String),
    /// There is no such descriptor, or it can't be looked up.
    #[error("{FD_VARIABLE}: descriptor {fd}: {source}")]
    Lookup {
        /// The descriptor.
        fd: RawFd,
        /// Why.
        source: io::Error,
    },
    /// It is something else than a socket.
    #[error("{FD_VARIABLE}: descriptor {fd} is no socket: {}", target.display())]
    NotASocket {
        /// The descriptor.
        fd: RawFd,
        /// What it is.
        target: PathBuf,
    },
    /// It was taken over before.
    #[error("{FD_VARIABLE}: descriptor {0} is taken over already")]
    AlreadyTaken(RawFd),
    /// It is not the listening socket that it should be.
    #[error("{FD_VARIABLE}: descriptor {fd} {source}")]
    Listener {
        /// The descriptor.
        fd: RawFd,
        /// Why.
        source: ListenerError,
    },
}

/// Why a socket is not the listening socket that it should be.
#[derive(Debug, thiserror::Error)]
pub enum ListenerError {
    /// The kernel does not tell whether it listens.
    #[error("cannot be asked: {0}")]
    Query(io::Error),
    /// It does not listen.
    #[error("does not listen")]
    NotListening,
    /// The kernel does not tell its address.
    #[error("has no address: {0}")]
    NoAddress(io::Error),
    /// It listens at another address.
    #[error("listens at {bound}, not at {expected}")]
    OtherAddress {
        /// Where it listens.
        bound: SocketAddr,
        /// Where it should.
        expected: SocketAddr,
    },
    /// It stays blocking.
    #[error("cannot be set to non-blocking: {0}")]
    Blocking(io::Error),
}

/// The inherited listening socket, if the environment names one.
///
/// # Errors
/// Why it can't be used.
pub fn inherited(expected: SocketAddr) -> Result<Option<TcpListener>, HandoverError> {
    let Ok(value) = std::env::var(FD_VARIABLE) else { return Ok(None) };
    let fd: Option<RawFd> = value.parse().ok().filter(|fd| *fd >= 0);
    let fd = fd.ok_or(HandoverError::NotADescriptor(value))?;
    let listener = check_listener(adopt(fd)?, expected);
    listener.map(Some).map_err(|source| HandoverError::Listener { fd, source })
}

/// Takes over a descriptor that this process was started with. No other part of the program knows its number, and
/// it is taken over once.
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
    // SAFETY: the descriptor is open, as was just looked up; it was inherited, so nothing in this process owns it;
    // and this line is passed once.
    #[allow(unsafe_code)]
    Ok(unsafe { OwnedFd::from_raw_fd(fd) })
}

/// The socket, if it listens where it should.
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
