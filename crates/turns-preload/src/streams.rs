//! Calls that transfer bytes or open connections. On a blocking descriptor, a call that would wait releases
//! the turn first.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, c_short, c_void, iovec, sockaddr, socklen_t, ssize_t};

/// Makes a call on a descriptor while holding the turn, or after releasing the turn if the call would wait.
fn call_with_turn<R>(call: Call, fd: c_int, events: c_short, make: impl FnOnce() -> R) -> R {
    turns::turn(call);
    if turns::bypass_scheduler(|| would_wait(fd, events)) {
        return turns::wait_outside(call, make);
    }
    make()
}

/// Whether a descriptor is blocking and none of these events is pending.
fn would_wait(fd: c_int, events: c_short) -> bool {
    let mut entry = libc::pollfd { fd, events, revents: 0 };
    // SAFETY: `entry` is one `pollfd` that lives for the call. The call doesn't wait.
    is_blocking(fd) && unsafe { libc::poll(&raw mut entry, 1, 0) == 0 }
}

fn is_blocking(fd: c_int) -> bool {
    // SAFETY: the call accesses no memory.
    let flags = unsafe { libc::fcntl(fd, libc::F_GETFL) };
    flags >= 0 && flags & libc::O_NONBLOCK == 0
}

interpose! {
    fn read(fd: c_int, bytes: *mut c_void, length: usize) -> ssize_t as next {
        // SAFETY: the arguments are forwarded unchanged, here and in each function below.
        call_with_turn(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, bytes, length) })
    }

    fn readv(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t as next {
        call_with_turn(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, buffers, count) })
    }

    fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> ssize_t as next {
        call_with_turn(Call::Receive, fd, libc::POLLIN, || unsafe { next(fd, bytes, length, flags) })
    }

    fn write(fd: c_int, bytes: *const c_void, length: usize) -> ssize_t as next {
        call_with_turn(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, bytes, length) })
    }

    fn writev(fd: c_int, buffers: *const iovec, count: c_int) -> ssize_t as next {
        call_with_turn(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, buffers, count) })
    }

    fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> ssize_t as next {
        call_with_turn(Call::Send, fd, libc::POLLOUT, || unsafe { next(fd, bytes, length, flags) })
    }

    fn accept4(fd: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int as next {
        call_with_turn(Call::Accept, fd, libc::POLLIN, || unsafe { next(fd, address, length, flags) })
    }

    fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int as next {
        turns::turn(Call::Connect);
        if turns::bypass_scheduler(|| is_blocking(fd)) {
            return turns::wait_outside(Call::Connect, || unsafe { next(fd, address, length) });
        }
        unsafe { next(fd, address, length) }
    }
}
