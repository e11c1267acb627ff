//! Fault injection into system calls. A test writes a [`Plan`], loads the preload library into the process
//! under test with [`configure_preload`], can change the plan while that process runs, and counts the
//! injected faults in the log.
#![forbid(unsafe_code)]

mod armed;
mod plan;

pub use armed::{built_library, configure_preload, library, ActivePlan, PreloadError};
pub use plan::{Call, CallTarget, Effect, Frequency, Plan, PlanError, Rule};

/// Environment variable with the path of the plan's file, set for the process under test.
pub const PLAN_VARIABLE: &str = "ANISEYOKE_FAULT_PLAN";

/// First word of the log lines that report by how much a delay was longer than requested.
pub const OVERRUN: &str = "overrun";

/// Error numbers for use in rules.
pub mod errno {
    pub use libc::{
        EACCES, EADDRNOTAVAIL, EAGAIN, EBADF, ECONNABORTED, ECONNREFUSED, ECONNRESET, EDQUOT, EFBIG,
        EHOSTUNREACH, EINPROGRESS, EINTR, EINVAL, EIO, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS,
        ENOENT, ENOMEM, ENOSPC, ENOTCONN, EPERM, EPIPE, EPROTO, EROFS, ETIMEDOUT,
    };
}
