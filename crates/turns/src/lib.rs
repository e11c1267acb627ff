//! Lets one thread of a process under test run at a time. Which one runs next is drawn from a seed at each call of the C
//! library that the preload library (`crates/turns-preload`) stands in for; this crate holds what decides about it, without
//! I/O, and what a test needs to load that library into a process.
#![forbid(unsafe_code)]

mod armed;
mod fault;
mod scheduler;

pub use armed::{arm, Order, BACKTRACE_VARIABLE, SEED_VARIABLE, SIGNALS_VARIABLE};
pub use fault::Fault;
pub use scheduler::{Call, Scheduler, ThreadId, Wait, MAX_TURNS, MAX_YIELDS};

#[cfg(test)]
mod tests;
