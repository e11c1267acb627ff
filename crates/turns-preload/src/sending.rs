//! Signals that the process sends to itself, and the interposed call that changes the signal mask.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, sigset_t};

/// Whether the process has a handler for a signal.
pub fn is_handled(number: c_int) -> bool {
    // SAFETY: an all-zero `sigaction` is valid; the call writes one there and changes no handler.
    unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        libc::sigaction(number, std::ptr::null(), &raw mut action) == 0
            && action.sa_sigaction != libc::SIG_DFL
    }
}

/// Sends a signal to this process. Unless this thread blocks it, the handler runs before this function
/// returns.
pub fn send(number: c_int) {
    // SAFETY: the calls access no memory.
    unsafe { libc::kill(libc::getpid(), number) };
}

interpose! {
    fn pthread_sigmask(how: c_int, set: *const sigset_t, previous: *mut sigset_t) -> c_int as next {
        turns::turn(Call::SignalMask);
        // SAFETY: the arguments are forwarded unchanged.
        unsafe { next(how, set, previous) }
    }
}
