//! Classifies error numbers as documented in accept(2), connect(2) and socket(2).

use std::io;

/// The cause of a failed accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// A fault of one connection, or a signal: the next accept may follow at once.
    Transient,
    /// This machine or process is short of file descriptors or memory; the connection stays in the accept
    /// queue.
    Shortage,
    /// Any other error.
    Other,
}

/// Classifies a failed accept. Linux also returns errors of a connection that failed before it was accepted.
#[must_use]
pub fn classify_accept_error(error: &io::Error) -> AcceptError {
    match error.raw_os_error() {
        Some(
            libc::ECONNABORTED
            | libc::EPROTO
            | libc::EINTR
            | libc::EPERM
            | libc::ETIMEDOUT
            | libc::ENETDOWN
            | libc::ENOPROTOOPT
            | libc::EHOSTDOWN
            | libc::ENONET
            | libc::EHOSTUNREACH
            | libc::EOPNOTSUPP
            | libc::ENETUNREACH,
        ) => AcceptError::Transient,
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM) => AcceptError::Shortage,
        _ => AcceptError::Other,
    }
}

/// Whether a socket could not be created or connected because of a resource shortage on this machine, which
/// says nothing about the peer.
#[must_use]
pub fn is_local_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::EADDRNOTAVAIL
                | libc::EAGAIN
                | libc::EINTR
        )
    )
}

/// Whether a read or write failed for lack of kernel memory, which is transient and leaves the connection
/// usable.
#[must_use]
pub fn is_transient_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}
