//! aniseyoke decides, for a proxy that spreads keys over cache servers before a slow origin, which server
//! gets each request. [`logic`] holds every decision, [`api`] its types: events in, actions out; no clock, socket,
//! timer or codec.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod api;
mod follow;
pub mod logic;
mod numbers;
mod roster;
mod times;

pub use logic::Balancer;
