//! Calls about time. Rules on [`Call::ClockGettime`] are about the monotonic clock, such on [`Call::WallClock`] about the wall
//! clock, which a step tells ahead or behind.

use crate::engine::{guarded, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOSECONDS: i128 = 1_000_000_000;
const MICROSECONDS: i128 = 1_000_000;

/// A time in seconds and so many parts of one, told ahead by the verdict's nanoseconds.
fn stepped(verdict: &Verdict, seconds: i64, part: i64, parts: i128) -> (i64, i64) {
    let step = i128::from(verdict.step) * parts / NANOSECONDS;
    let time = i128::from(seconds) * parts + i128::from(part) + step;
    let whole = i64::try_from(time.div_euclid(parts)).unwrap_or(seconds);
    (whole, i64::try_from(time.rem_euclid(parts)).unwrap_or(part))
}

interpose! {
    fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int as next {
        let call = match clock {
            libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE => Call::WallClock,
            libc::CLOCK_MONOTONIC | libc::CLOCK_MONOTONIC_COARSE | libc::CLOCK_BOOTTIME => Call::ClockGettime,
            // Processor time is nobody's clock.
            // SAFETY: the arguments are handed on as they came; so in each function below.
            _ => return unsafe { next(clock, time) },
        };
        guarded(call, Subject::Nothing, |verdict| {
            let done = unsafe { next(clock, time) };
            if done == 0 && verdict.step != 0 && call == Call::WallClock {
                // SAFETY: the call has just written a time there.
                let told = unsafe { &mut *time };
                (told.tv_sec, told.tv_nsec) = stepped(verdict, told.tv_sec, told.tv_nsec, NANOSECONDS);
            }
            done
        })
    }

    fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int as next {
        guarded(Call::WallClock, Subject::Nothing, |verdict| {
            let done = unsafe { next(time, zone) };
            if done == 0 && verdict.step != 0 && !time.is_null() {
                // SAFETY: the call has just written a time there.
                let told = unsafe { &mut *time };
                (told.tv_sec, told.tv_usec) = stepped(verdict, told.tv_sec, told.tv_usec, MICROSECONDS);
            }
            done
        })
    }

    fn time(told: *mut time_t) -> time_t as next {
        guarded(Call::WallClock, Subject::Nothing, |verdict| {
            let (now, _) = stepped(verdict, unsafe { next(std::ptr::null_mut()) }, 0, 1);
            if !told.is_null() {
                // SAFETY: the caller gives room for a time.
                unsafe { *told = now };
            }
            now
        })
    }
}
