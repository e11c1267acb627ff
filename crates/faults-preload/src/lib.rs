//! The library that makes system calls of a process under test fail. It is loaded by `LD_PRELOAD`, stands in for functions of the C
//! library, asks its one [`engine`] whether a rule strikes, and calls the next function of that name. All unsafe code of
//! the fault tool is here: each function has the C library's own signature, and hands its arguments on as they came.

mod clock;
mod engine;
mod files;
mod sockets;
mod streams;
mod threads;
