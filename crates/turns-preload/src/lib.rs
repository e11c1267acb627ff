//! An `LD_PRELOAD` library that runs one thread of a process under test at a time. It interposes the C
//! library calls at which threads wait, wake each other, or exchange bytes; at each of them [`turns`] lets
//! the scheduler of `aniseyoke-turns` draw the next thread. The scheduler itself implements waits inside the
//! process (a futex, a thread's end). For events from outside the process, the thread releases its turn and
//! makes the real call.
//!
//! All unsafe code of the tool is here: each function has the C library's own signature and forwards its
//! arguments unchanged. A signal handler that interrupts this library makes its calls directly, without a
//! turn.

mod futexes;
mod sending;
mod streams;
mod threads;
mod turns;
mod waits;
