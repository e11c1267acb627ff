//! Waits for time and for events of descriptors.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, clockid_t, epoll_event, nfds_t, pollfd, timespec};

interpose! {
    fn epoll_wait(fd: c_int, events: *mut epoll_event, most: c_int, time: c_int) -> c_int as next {
        turns::turn(Call::EpollWait);
        // SAFETY: the arguments are handed on as they came, or without a wait; so in each function below.
        let done = unsafe { next(fd, events, most, 0) };
        if done != 0 || time == 0 {
            return done;
        }
        turns::outside(Call::EpollWait, || unsafe { next(fd, events, most, time) })
    }

    fn poll(asked: *mut pollfd, count: nfds_t, time: c_int) -> c_int as next {
        turns::turn(Call::Poll);
        let done = unsafe { next(asked, count, 0) };
        if done != 0 || time == 0 {
            return done;
        }
        turns::outside(Call::Poll, || unsafe { next(asked, count, time) })
    }

    fn nanosleep(time: *const timespec, left: *mut timespec) -> c_int as next {
        turns::outside(Call::Sleep, || unsafe { next(time, left) })
    }

    fn clock_nanosleep(clock: clockid_t, flags: c_int, time: *const timespec, left: *mut timespec) -> c_int as next {
        turns::outside(Call::Sleep, || unsafe { next(clock, flags, time, left) })
    }
}
