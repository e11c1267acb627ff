//! Preload library (`LD_PRELOAD`) that injects faults into system calls of a process under test. It replaces
//! functions of the C library; each replacement evaluates the rules in [`engine`] and calls the original
//! function. All unsafe code of the fault injection is in this crate: each function has the signature of the
//! original and passes its arguments on unchanged, except for a smaller byte count.

mod clock;
mod engine;
mod files;
mod sockets;
mod streams;
mod threads;
