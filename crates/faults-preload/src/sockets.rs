//! Calls that make and take connections, and the wait for them.

use crate::engine::{decide, guarded, port_of, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, sockaddr, socklen_t};

/// A connection that was taken; one whose taking is to be said to have failed is gone, as an aborted one is.
fn taken(verdict: &Verdict, fd: c_int) -> c_int {
    if verdict.fail_after.is_some() && fd >= 0 {
        // SAFETY: the descriptor has just been made, and nobody is told of it.
        unsafe { libc::close(fd) };
    }
    fd
}

/// Whether a connection waits to be taken: rules about taking are about those that do.
fn waits(fd: c_int) -> bool {
    let mut asked = libc::pollfd { fd, events: libc::POLLIN, revents: 0 };
    // SAFETY: one entry is handed over, and told so.
    unsafe { libc::poll(&raw mut asked, 1, 0) > 0 }
}

interpose! {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int as next {
        // SAFETY: the arguments are handed on as they came; so in each function below.
        guarded(Call::Socket, Subject::Nothing, |_| unsafe { next(domain, kind, protocol) })
    }

    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as next {
        // SAFETY: the caller gives an address.
        let port = if address.is_null() { 0 } else { unsafe { port_of(address) } };
        guarded(Call::Connect, Subject::Connection(port), |_| unsafe { next(fd, address, length) })
    }

    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as next {
        if !waits(fd) {
            return unsafe { next(fd, address, length, flags) };
        }
        guarded(Call::Accept, Subject::Descriptor(fd), |v| taken(v, unsafe { next(fd, address, length, flags) }))
    }

    fn accept(fd: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int as next {
        if !waits(fd) {
            return unsafe { next(fd, address, length) };
        }
        guarded(Call::Accept, Subject::Descriptor(fd), |v| taken(v, unsafe { next(fd, address, length) }))
    }

    fn epoll_wait(fd: c_int, events: *mut libc::epoll_event, most: c_int, time: c_int) -> c_int as next {
        guarded(Call::EpollWait, Subject::Nothing, |_| unsafe { next(fd, events, most, time) })
    }

    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_void, length: *mut socklen_t) -> c_int as next {
        let done = unsafe { next(fd, level, name, value, length) };
        if done != 0 || level != libc::SOL_SOCKET || name != libc::SO_ERROR || value.is_null() {
            return done;
        }
        let verdict = decide(Call::SocketError, Subject::Descriptor(fd));
        if let Some(number) = verdict.fail.or(verdict.fail_after) {
            // SAFETY: the kernel has just written an error number there.
            unsafe { *value.cast::<c_int>() = number };
        }
        done
    }
}
