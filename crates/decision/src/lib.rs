//! The decision module of a caching proxy: which cache server gets each request, and which requests are
//! rejected.
//!
//! [`Balancer`] makes all decisions; [`logic`] has one module for each of them. [`api`] defines the interface
//! to the proxy: events in, actions out. The crate does no I/O and reads no clock.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod api;
mod arithmetic;
mod latency;
pub mod logic;
mod servers;
mod subscription;

pub use logic::Balancer;
