//! Plans of failing system calls. A test writes a [`Plan`], loads the preload library into the process under test with
//! [`arm`], may change the plan while that process runs, and counts what was forced by the log.
#![forbid(unsafe_code)]

mod armed;
mod plan;

pub use armed::{arm, built_library, library, ArmError, Armed};
pub use plan::{About, Call, Effect, Often, Plan, PlanError, Rule};

/// The environment variable that names the plan's file to the process under test.
pub const PLAN_VARIABLE: &str = "ANISEYOKE_FAULT_PLAN";

/// The numbers of errors that rules name.
pub mod errno {
    pub use libc::{
        EACCES, EADDRNOTAVAIL, EAGAIN, EBADF, ECONNABORTED, ECONNREFUSED, ECONNRESET, EDQUOT, EFBIG,
        EHOSTUNREACH, EINPROGRESS, EINTR, EINVAL, EIO, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS,
        ENOENT, ENOMEM, ENOSPC, ENOTCONN, EPERM, EPIPE, EPROTO, EROFS, ETIMEDOUT,
    };
}
