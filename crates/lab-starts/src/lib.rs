//! Starts and ends of the real proxy, without load (`docs/lab.md`).
//!
//! A seed and a number decide everything of a start: which call of which thread is held up and for how long, whether the log is
//! read, when SIGHUP and SIGTERM come. What must hold is what the platform's pages ask of any process, and that no thread
//! uses a processor without getting anywhere; see [`verdict`].
//!
//! - [`plan`]: what a seed decides; no I/O.
//! - [`threads`]: the threads of a process as `/proc` has them, and which of them spin.
//! - [`log_pipe`]: the process's standard error, read or not.
//! - [`run`]: one start from the beginning to the end of the process.
//! - [`verdict`]: what a start came to.
//! - [`batch`]: many starts, several at a time.
#![forbid(unsafe_code)]

pub mod batch;
mod error;
pub mod log_pipe;
pub mod plan;
mod ready;
pub mod run;
pub mod threads;
pub mod verdict;

pub use error::StartsError;

#[cfg(test)]
mod tests;
