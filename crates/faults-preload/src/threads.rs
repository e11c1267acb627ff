//! Functions with which threads wait for each other, yield, and block signals.

use crate::engine::{with_faults, Subject};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_long, sigset_t};

// `syscall` is variadic, with at most six arguments after the number. They are passed in the same places as
// fixed arguments would be; the undefined values of omitted ones are passed on without being read.
interpose! {
    fn syscall(
        number: c_long, first: c_long, second: c_long, third: c_long, fourth: c_long, fifth: c_long, sixth: c_long,
    ) -> c_long as next {
        // SAFETY: the caller's arguments are passed on unchanged; the same holds in each function below.
        let make = || unsafe { next(number, first, second, third, fourth, fifth, sixth) };
        if number == libc::SYS_futex {
            with_faults(Call::Futex, Subject::Nothing, |_| make())
        } else {
            make()
        }
    }

    fn sched_yield() -> c_int as next {
        with_faults(Call::SchedYield, Subject::Nothing, |_| unsafe { next() })
    }

    fn pthread_sigmask(how: c_int, set: *const sigset_t, old: *mut sigset_t) -> c_int as next {
        with_faults(Call::SignalMask, Subject::Nothing, |_| unsafe { next(how, set, old) })
    }
}
