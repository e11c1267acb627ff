//! Starts and stops the real proxy under injected faults, without load (`docs/lab.md`).
//!
//! A seed and a number determine each start: which call of which thread is delayed and for how long, whether
//! the log is read, and when SIGHUP and SIGTERM are sent. The process must meet the platform's rules for
//! every process, and no thread may spin without making progress; see [`verdict`].
//!
//! - [`plan`]: derives a start from a seed; no I/O.
//! - [`threads`]: the threads of a process as reported by `/proc`, and detection of spinning threads.
//! - [`log_pipe`]: the pipe for the standard error of the process, read or unread.
//! - [`run`]: runs one start, from spawning the process to its exit.
//! - [`verdict`]: the rules and the report of a start.
//! - [`batch`]: runs many starts, several at a time.
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
