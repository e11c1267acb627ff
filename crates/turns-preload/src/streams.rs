//! Calls that exchange bytes or connections. On a descriptor that blocks, a call that would wait gives the turn away first.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, c_short, c_void, iovec, sockaddr, socklen_t, ssize_t};

/// Makes a call on a descriptor at this thread's turn, or outside it while it waits.
fn exchange<R>(call: Call, fd: c_int, events: c_short, make: impl FnOnce() -> R) -> R {
    turns::turn(call);
    if turns::quietly(|| would_wait(fd, events)) {
        return turns::outside(call, make);
    }
    make()
}

/// Whether a descriptor blocks, and has none of these events.
fn would_wait(fd: c_int, events: c_short) -> bool {
    let mut asked = libc::pollfd { fd, events, revents: 0 };
    // SAFETY: one entry, which lives for the call; it doesn't wait.
    blocks(fd) && unsafe { libc::poll(&raw mut asked, 1, 0) == 0 }
}

fn blocks(fd: c_int) -> bool {
    // SAFETY: the call takes no memory.
    let flags = unsafe { libc::fcntl(fd, libc::F_GETFL) };
    flags >= 0 && flags & libc::O_NONBLOCK == 0
}

interpose! {
    fn read(fd: c_int, bytes: *mut c_void, length: usize) -> ssize_t as next {
        // SAFETY: the arguments are handed on as they came; so in each function below.
        exchange(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, bytes, length) })
    }

    fn readv(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t as next {
        exchange(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, parts, count) })
    }

    fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> ssize_t as next {
        exchange(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, bytes, length, flags) })
    }

    fn write(fd: c_int, bytes: *const c_void, length: usize) -> ssize_t as next {
        exchange(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, bytes, length) })
    }

    fn writev(fd: c_int, parts: *const iovec, count: c_int) -> ssize_t as next {
        exchange(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, parts, count) })
    }

    fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> ssize_t as next {
        exchange(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, bytes, length, flags) })
    }

    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as next {
        exchange(Call::Accept, fd, libc::POLLIN, || unsafe { next(fd, address, length, flags) })
    }

    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as next {
        turns::turn(Call::Connect);
        if turns::quietly(|| blocks(fd)) {
            return turns::outside(Call::Connect, || unsafe { next(fd, address, length) });
        }
        unsafe { next(fd, address, length) }
    }
}
