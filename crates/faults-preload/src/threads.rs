//! Calls with which threads wait for each other, let others run, and block signals.

use crate::engine::{guarded, Subject};
use aniseyoke_faults::Call;
use aniseyoke_interpose::interpose;
use libc::{c_int, c_long, sigset_t};

// `syscall` takes a variable number of arguments, six at most after the number. Those that the caller left out come in the same
// places as fixed ones would, and are handed on unread.
interpose! {
    fn syscall(
        number: c_long, first: c_long, second: c_long, third: c_long, fourth: c_long, fifth: c_long, sixth: c_long,
    ) -> c_long as next {
        // SAFETY: the arguments are handed on as they came; so in each function below.
        let make = || unsafe { next(number, first, second, third, fourth, fifth, sixth) };
        if number == libc::SYS_futex {
            guarded(Call::Futex, Subject::Nothing, |_| make())
        } else {
            make()
        }
    }

    fn sched_yield() -> c_int as next {
        guarded(Call::SchedYield, Subject::Nothing, |_| unsafe { next() })
    }

    fn pthread_sigmask(how: c_int, set: *const sigset_t, old: *mut sigset_t) -> c_int as next {
        guarded(Call::SignalMask, Subject::Nothing, |_| unsafe { next(how, set, old) })
    }
}
