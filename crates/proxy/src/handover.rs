//! The clients' listening socket where the platform holds it: every process inherits it, and none of them ends it.

use socket2::SockRef;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{FromRawFd, OwnedFd, RawFd};
use std::sync::atomic::{AtomicBool, Ordering};

const FD: &str = "PROXY_FD";

/// The inherited listening socket, if the environment names one. An error says why it can't be what it should be.
pub fn inherited(expected: SocketAddr) -> Result<Option<TcpListener>, String> {
    let Ok(told) = std::env::var(FD) else { return Ok(None) };
    let fd: RawFd =
        told.parse().ok().filter(|fd| *fd >= 0).ok_or(format!("{FD} is no descriptor: {told:?}"))?;
    listening(adopt(fd)?, expected).map(Some).map_err(|e| format!("{FD}: descriptor {fd} {e}"))
}

/// Takes over a descriptor that this process was started with. No other part of the program knows its number, and
/// it is taken over once.
fn adopt(fd: RawFd) -> Result<OwnedFd, String> {
    static TAKEN: AtomicBool = AtomicBool::new(false);
    let open = std::fs::read_link(format!("/proc/self/fd/{fd}"))
        .map_err(|e| format!("{FD}: descriptor {fd}: {e}"))?;
    if !open.to_string_lossy().starts_with("socket:") {
        return Err(format!("{FD}: descriptor {fd} is no socket: {}", open.display()));
    }
    if TAKEN.swap(true, Ordering::Relaxed) {
        return Err(format!("{FD}: descriptor {fd} is taken over already"));
    }
    // SAFETY: the descriptor is open, as was just looked up; it was inherited, so nothing in this process owns it;
    // and this line is passed once.
    #[allow(unsafe_code)]
    Ok(unsafe { OwnedFd::from_raw_fd(fd) })
}

/// The socket, if it listens where it should.
fn listening(fd: OwnedFd, expected: SocketAddr) -> Result<TcpListener, String> {
    let listens = SockRef::from(&fd).is_listener().map_err(|e| format!("cannot be asked: {e}"))?;
    if !listens {
        return Err("does not listen".into());
    }
    let listener = TcpListener::from(fd);
    let bound = listener.local_addr().map_err(|e| format!("has no address: {e}"))?;
    if bound != expected {
        return Err(format!("listens at {bound}, not at {expected}"));
    }
    listener.set_nonblocking(true).map_err(|e| format!("cannot be set to non-blocking: {e}"))?;
    Ok(listener)
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpStream;

    #[test]
    fn only_a_socket_that_listens_at_the_expected_address_will_do() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
        let addr = listener.local_addr().expect("an address");
        let other = SocketAddr::new(addr.ip(), addr.port() ^ 1);
        let copy = || OwnedFd::from(listener.try_clone().expect("a copy"));
        assert!(listening(copy(), other).is_err_and(|e| e.contains("not at")));
        let stream = TcpStream::connect(addr).expect("connected");
        assert!(listening(stream.into(), addr).is_err_and(|e| e.contains("does not listen")));
        assert!(listening(copy(), addr).is_ok());
    }
}
