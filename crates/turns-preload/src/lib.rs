//! The library that lets one thread of a process under test run at a time. It is loaded by `LD_PRELOAD` and stands in for
//! calls of the C library at which threads wait, wake each other, or exchange bytes: at each of them [`turns`] has the
//! scheduler of `aniseyoke-turns` draw who runs next. What a thread waits for inside the process (a futex, a thread's end) is
//! the scheduler's to know; for what comes from outside it makes the real call, having given its turn away.
//!
//! All unsafe code of the tool is here: each function has the C library's own signature, and hands its arguments on as they
//! came. A signal handler that interrupts this library makes its calls at once, without a turn.

mod futexes;
mod sending;
mod streams;
mod threads;
mod turns;
mod waits;
