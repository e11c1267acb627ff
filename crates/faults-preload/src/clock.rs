//! Functions that read clocks. Rules for [`Call::ClockGettime`] apply to the monotonic clock, those for
//! [`Call::WallClock`] to the wall clock, which [`Effect::Step`](aniseyoke_faults::Effect::Step) sets ahead
//! or back.

use crate::engine::{with_faults, Subject, Verdict};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};

const NANOSECONDS_PER_SECOND: i128 = 1_000_000_000;
const MICROSECONDS_PER_SECOND: i128 = 1_000_000;

/// Adds the verdict's step to a time, given as whole seconds and a fraction in units of 1/`units_per_second`
/// seconds.
fn add_step(verdict: &Verdict, seconds: i64, fraction: i64, units_per_second: i128) -> (i64, i64) {
    let step = i128::from(verdict.step) * units_per_second / NANOSECONDS_PER_SECOND;
    let time = i128::from(seconds) * units_per_second + i128::from(fraction) + step;
    let whole_seconds = i64::try_from(time.div_euclid(units_per_second)).unwrap_or(seconds);
    (whole_seconds, i64::try_from(time.rem_euclid(units_per_second)).unwrap_or(fraction))
}

interpose! {
    fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int as next {
        let call = match clock {
            libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE => Call::WallClock,
            libc::CLOCK_MONOTONIC | libc::CLOCK_MONOTONIC_COARSE | libc::CLOCK_BOOTTIME => Call::ClockGettime,
            // Clocks of processor time are not subject to faults.
            // SAFETY: the caller's arguments are passed on unchanged; the same holds in each function below.
            _ => return unsafe { next(clock, time) },
        };
        with_faults(call, Subject::Nothing, |verdict| {
            let result = unsafe { next(clock, time) };
            if result == 0 && verdict.step != 0 && call == Call::WallClock {
                // SAFETY: the call succeeded, so it has written a time there.
                let reported = unsafe { &mut *time };
                (reported.tv_sec, reported.tv_nsec) =
                    add_step(verdict, reported.tv_sec, reported.tv_nsec, NANOSECONDS_PER_SECOND);
            }
            result
        })
    }

    fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int as next {
        with_faults(Call::WallClock, Subject::Nothing, |verdict| {
            let result = unsafe { next(time, zone) };
            if result == 0 && verdict.step != 0 && !time.is_null() {
                // SAFETY: the call succeeded, so it has written a time there.
                let reported = unsafe { &mut *time };
                (reported.tv_sec, reported.tv_usec) =
                    add_step(verdict, reported.tv_sec, reported.tv_usec, MICROSECONDS_PER_SECOND);
            }
            result
        })
    }

    fn time(output: *mut time_t) -> time_t as next {
        with_faults(Call::WallClock, Subject::Nothing, |verdict| {
            let (now, _) = add_step(verdict, unsafe { next(std::ptr::null_mut()) }, 0, 1);
            if !output.is_null() {
                // SAFETY: the pointer is not null, so the caller provides memory for a time.
                unsafe { *output = now };
            }
            now
        })
    }
}
