//! Calls that sleep or wait for events on file descriptors.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, clockid_t, epoll_event, nfds_t, pollfd, timespec};

interpose! {
    fn epoll_wait(
        fd: c_int, events: *mut epoll_event, max_events: c_int, timeout_ms: c_int
    ) -> c_int as next {
        turns::turn(Call::EpollWait);
        // SAFETY: the arguments are forwarded unchanged, or with a zero timeout, here and in each function
        // below.
        let done = unsafe { next(fd, events, max_events, 0) };
        if done != 0 || timeout_ms == 0 {
            return done;
        }
        turns::wait_outside(Call::EpollWait, || unsafe { next(fd, events, max_events, timeout_ms) })
    }

    fn poll(entries: *mut pollfd, count: nfds_t, timeout_ms: c_int) -> c_int as next {
        turns::turn(Call::Poll);
        let done = unsafe { next(entries, count, 0) };
        if done != 0 || timeout_ms == 0 {
            return done;
        }
        turns::wait_outside(Call::Poll, || unsafe { next(entries, count, timeout_ms) })
    }

    fn nanosleep(time: *const timespec, remaining: *mut timespec) -> c_int as next {
        turns::wait_outside(Call::Sleep, || unsafe { next(time, remaining) })
    }

    fn clock_nanosleep(
        clock: clockid_t, flags: c_int, time: *const timespec, remaining: *mut timespec
    ) -> c_int as next {
        turns::wait_outside(Call::Sleep, || unsafe { next(clock, flags, time, remaining) })
    }
}
