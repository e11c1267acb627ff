//! The decision module of a caching proxy: which cache server gets each request, and which requests are
//! rejected.
//!
//! Every decision is a method of [`Balancer`] in [`logic`], one module for each; the types between it and a
//! proxy are in [`api`]: events in, actions out. The crate does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod api;
mod arithmetic;
mod latency;
pub mod logic;
mod servers;
mod subscription;

pub use logic::Balancer;
