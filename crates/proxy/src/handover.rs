//! The clients' listening socket where the platform holds it: every process inherits it, and none of them ends it.

use socket2::SockRef;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use thiserror::Error;

/// The variable that names the inherited descriptor.
const FD: &str = "PROXY_FD";

/// Why the inherited descriptor can't be used.
#[derive(Debug, Error)]
pub enum HandoverError {
    /// The variable is no number of a descriptor.
    #[error("{FD} is no descriptor: {0:?}")]
    NotANumber(String),
    /// The descriptor can't be looked up.
    #[error("{FD}: descriptor {fd}: {source}")]
    NotOpen {
        /// The descriptor.
        fd: RawFd,
        /// What the system says.
        source: io::Error,
    },
    /// The descriptor is of something else.
    #[error("{FD}: descriptor {fd} is no socket: {}", .target.display())]
    NotASocket {
        /// The descriptor.
        fd: RawFd,
        /// What it is of.
        target: PathBuf,
    },
    /// It was taken over before.
    #[error("{FD}: descriptor {fd} is taken over already")]
    TakenOver {
        /// The descriptor.
        fd: RawFd,
    },
    /// The socket is not the clients' listener.
    #[error("{FD}: descriptor {fd} {source}")]
    WrongSocket {
        /// The descriptor.
        fd: RawFd,
        /// What is wrong with the socket.
        source: ListenerError,
    },
}

/// Why a socket can't serve as the clients' listener.
#[derive(Debug, Error)]
pub enum ListenerError {
    /// The system does not say whether it listens.
    #[error("cannot be asked: {0}")]
    Unknown(#[source] io::Error),
    /// It is no listening socket.
    #[error("does not listen")]
    NotListening,
    /// The system does not say where it listens.
    #[error("has no address: {0}")]
    NoAddress(#[source] io::Error),
    /// It listens at another address.
    #[error("listens at {bound}, not at {expected}")]
    WrongAddress {
        /// Where it listens.
        bound: SocketAddr,
        /// Where it should listen.
        expected: SocketAddr,
    },
    /// It can't be used without blocking.
    #[error("cannot be set to non-blocking: {0}")]
    Blocking(#[source] io::Error),
}

/// The inherited listening socket, if the environment names one.
///
/// # Errors
/// If it is not the clients' listener.
pub fn inherited(expected: SocketAddr) -> Result<Option<TcpListener>, HandoverError> {
    let Ok(value) = std::env::var(FD) else { return Ok(None) };
    let fd: RawFd = value.parse().ok().filter(|fd| *fd >= 0).ok_or(HandoverError::NotANumber(value))?;
    let listener = listening(adopt(fd)?, expected);
    listener.map(Some).map_err(|source| HandoverError::WrongSocket { fd, source })
}

/// Takes over a descriptor that this process was started with. No other part of the program knows its number, and
/// it is taken over once.
fn adopt(fd: RawFd) -> Result<OwnedFd, HandoverError> {
    static TAKEN_OVER: AtomicBool = AtomicBool::new(false);
    let target = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|source| HandoverError::NotOpen { fd, source })?;
    if !target.to_string_lossy().starts_with("socket:") {
        return Err(HandoverError::NotASocket { fd, target });
    }
    if TAKEN_OVER.swap(true, Ordering::Relaxed) {
        return Err(HandoverError::TakenOver { fd });
    }
    // SAFETY: the descriptor is open, as was just looked up; it was inherited, so nothing in this process owns it;
    // and this line is passed once.
    #[allow(unsafe_code)]
    Ok(unsafe { OwnedFd::from_raw_fd(fd) })
}

/// The socket, if it listens where it should.
fn listening(fd: OwnedFd, expected: SocketAddr) -> Result<TcpListener, ListenerError> {
    let listens = SockRef::from(&fd).is_listener().map_err(ListenerError::Unknown)?;
    if !listens {
        return Err(ListenerError::NotListening);
    }
    let listener = TcpListener::from(fd);
    let bound = listener.local_addr().map_err(ListenerError::NoAddress)?;
    if bound != expected {
        return Err(ListenerError::WrongAddress { bound, expected });
    }
    listener.set_nonblocking(true).map_err(ListenerError::Blocking)?;
    Ok(listener)
}

#[cfg(test)]
mod tests;
