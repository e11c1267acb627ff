//! Signals that the process sends to itself, and the calls about them.

use crate::turns;
use aniseyoke_interpose::interpose;
use aniseyoke_turns::Call;
use libc::{c_int, sigset_t};

/// Whether the process has a handler for a signal.
pub fn is_handled(number: c_int) -> bool {
    // SAFETY: zeros are an action; the call writes one and changes none.
    unsafe {
        let mut action: libc::sigaction = std::mem::zeroed();
        libc::sigaction(number, std::ptr::null(), &raw mut action) == 0
            && action.sa_sigaction != libc::SIG_DFL
    }
}

/// Sends the process a signal; its handler runs before this returns if this thread doesn't block it.
pub fn send(number: c_int) {
    // SAFETY: the calls take no memory.
    unsafe { libc::kill(libc::getpid(), number) };
}

interpose! {
    fn pthread_sigmask(how: c_int, set: *const sigset_t, before: *mut sigset_t) -> c_int as next {
        turns::turn(Call::SignalMask);
        // SAFETY: the arguments are handed on as they came.
        unsafe { next(how, set, before) }
    }
}
