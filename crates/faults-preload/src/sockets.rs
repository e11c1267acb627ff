//! Functions that create, connect and accept sockets, and `epoll_wait`.

use crate::engine::{decide, port_of, with_faults, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, sockaddr, socklen_t};

/// Closes an accepted connection if `accept` is to be reported as failed, as if the connection had been
/// aborted.
fn close_if_failed(verdict: &Verdict, fd: c_int) -> c_int {
    if verdict.fail_after.is_some() && fd >= 0 {
        // SAFETY: the descriptor was just created, and the caller gets -1 instead of it.
        unsafe { libc::close(fd) };
    }
    fd
}

/// Whether a connection is pending on a listener: rules for `accept` apply only to calls that would return
/// one.
fn connection_pending(fd: c_int) -> bool {
    let mut poll_fd = libc::pollfd { fd, events: libc::POLLIN, revents: 0 };
    // SAFETY: the pointer is to one entry, and the count is 1.
    unsafe { libc::poll(&raw mut poll_fd, 1, 0) > 0 }
}

interpose! {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int as next {
        // SAFETY: the caller's arguments are passed on unchanged; the same holds in each function below.
        with_faults(Call::Socket, Subject::Nothing, |_| unsafe { next(domain, kind, protocol) })
    }

    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as next {
        // SAFETY: the address is not null, so the caller guarantees that it is valid.
        let port = if address.is_null() { 0 } else { unsafe { port_of(address) } };
        with_faults(Call::Connect, Subject::Connection(port), |_| unsafe { next(fd, address, length) })
    }

    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as next {
        if !connection_pending(fd) {
            return unsafe { next(fd, address, length, flags) };
        }
        with_faults(
            Call::Accept,
            Subject::Descriptor(fd),
            |v| close_if_failed(v, unsafe { next(fd, address, length, flags) }),
        )
    }

    fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int as next {
        if !connection_pending(fd) {
            return unsafe { next(fd, address, length) };
        }
        with_faults(
            Call::Accept,
            Subject::Descriptor(fd),
            |v| close_if_failed(v, unsafe { next(fd, address, length) }),
        )
    }

    fn epoll_wait(
        fd: c_int, events: *mut libc::epoll_event, max_events: c_int, timeout: c_int,
    ) -> c_int as next {
        with_faults(Call::EpollWait, Subject::Nothing, |_| unsafe { next(fd, events, max_events, timeout) })
    }

    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t) -> c_int as next {
        let result = unsafe { next(fd, level, name, value, length) };
        if result != 0 || level != libc::SOL_SOCKET || name != libc::SO_ERROR || value.is_null() {
            return result;
        }
        let verdict = decide(Call::SocketError, Subject::Descriptor(fd));
        if let Some(number) = verdict.fail.or(verdict.fail_after) {
            // SAFETY: the call succeeded, so the kernel has written an error number there.
            unsafe { *value.cast::<c_int>() = number };
        }
        result
    }
}
