//! A seeded scheduler that runs one thread of a process under test at a time. The next thread is drawn from
//! the seed at each C library call that the preload library (`crates/turns-preload`) interposes. This crate
//! holds the scheduling decisions, without I/O, and the functions with which a test loads that library into a
//! process.
#![forbid(unsafe_code)]

mod armed;
mod fault;
mod scheduler;

pub use armed::{configure_preload, ThreadSchedule, BACKTRACE_VARIABLE, SEED_VARIABLE, SIGNALS_VARIABLE};
pub use fault::Fault;
pub use scheduler::{Call, Scheduler, ThreadId, Wait, MAX_TURNS, MAX_YIELDS};

#[cfg(test)]
mod tests;
