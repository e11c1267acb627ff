//! Futex calls, which the Rust standard library and libraries above it make through the C library's
//! `syscall`.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, c_long, timespec};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The bit mask of a futex call that has no mask of its own.
const ALL_BITS: u32 = u32::MAX;

/// Returns a futex call's operation without its flags.
fn command(operation: c_long) -> c_int {
    operation as c_int & !(libc::FUTEX_PRIVATE_FLAG | libc::FUTEX_CLOCK_REALTIME)
}

/// Reads a caller's optional time.
///
/// # Safety
/// The pointer is null or points to a valid `timespec`.
unsafe fn time_of(time: *const timespec) -> Option<Duration> {
    // SAFETY: as the caller promises.
    let time = unsafe { time.as_ref() }?;
    Some(Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), time.tv_nsec as u32))
}

/// Returns a clock's current time.
fn now(clock: libc::clockid_t) -> Duration {
    let mut time = timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: the call writes one `timespec` to `time`, which lives for the call.
    unsafe {
        libc::clock_gettime(clock, &raw mut time);
        time_of(&raw const time).unwrap_or_default()
    }
}

/// Returns how long a futex call may wait: `FUTEX_WAIT` takes a duration, `FUTEX_WAIT_BITSET` a point in time
/// of a clock.
///
/// # Safety
/// The time is null or points to a valid `timespec`.
unsafe fn limit(operation: c_long, time: *const timespec) -> Option<Duration> {
    // SAFETY: as the caller promises.
    let time = unsafe { time_of(time) }?;
    if command(operation) == libc::FUTEX_WAIT {
        return Some(time);
    }
    let is_wall_clock = operation as c_int & libc::FUTEX_CLOCK_REALTIME != 0;
    let clock = if is_wall_clock { libc::CLOCK_REALTIME } else { libc::CLOCK_MONOTONIC };
    Some(time.saturating_sub(now(clock)))
}

/// Sets `errno` and returns the result of a call that ended with this error number, or with 0 for success.
fn syscall_result(number: c_int) -> c_long {
    if number == 0 {
        return 0;
    }
    turns::set_errno(number);
    -1
}

interpose! {
    // The C function is variadic; its arguments are passed in the same places as fixed ones. Those of other
    // system calls are forwarded unread.
    fn syscall(
        number: c_long, a: c_long, b: c_long, c: c_long, d: c_long, e: c_long, f: c_long,
    ) -> c_long as next {
        // SAFETY: the arguments are forwarded unchanged.
        let real = || unsafe { next(number, a, b, c, d, e, f) };
        if number != libc::SYS_futex {
            return real();
        }
        match command(b) {
            libc::FUTEX_WAIT | libc::FUTEX_WAIT_BITSET => {
                turns::turn(Call::FutexWait);
                let bits = if command(b) == libc::FUTEX_WAIT { ALL_BITS } else { f as u32 };
                // SAFETY: a futex call's first argument points to its word; its fourth is null or points to a
                // time.
                let (word, limit) = unsafe { (&*(a as *const AtomicU32), limit(b, d as *const timespec)) };
                let is_unchanged = || word.load(Ordering::SeqCst) == c as u32;
                turns::wait_at_futex(a as usize, bits, limit, is_unchanged).map_or_else(real, syscall_result)
            }
            libc::FUTEX_WAKE | libc::FUTEX_WAKE_BITSET => {
                turns::turn(Call::FutexWake);
                let bits = if command(b) == libc::FUTEX_WAKE { ALL_BITS } else { f as u32 };
                let max_woken = usize::try_from(c as c_int).unwrap_or(0);
                let woken = turns::wake_at_futex(a as usize, bits, max_woken);
                // Draws again after the wake-up, so that a woken thread may run before its waker continues.
                turns::turn(Call::FutexWake);
                woken.map_or_else(real, |woken| woken as c_long)
            }
            _ => real(),
        }
    }
}
