//! What the numbers of errors say, as accept(2), connect(2) and socket(2) document them.

use std::io;

/// What a failed accept says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    /// It was about one connection, or a signal: the next one may be taken at once.
    Transient,
    /// This machine or process is short of descriptors or memory; the connection still waits.
    Shortage,
    /// Anything else.
    Other,
}

/// Sorts a failed accept. Linux hands on errors of a connection that has broken before it was taken.
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

/// Whether a failure to make or connect a socket is this machine's own shortage, which says nothing of the other side.
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

/// Whether a connection's read or write failed for a lack of memory in the kernel, which passes, and leaves the connection as
/// it was.
#[must_use]
pub fn is_transient_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::ENOBUFS | libc::ENOMEM))
}
