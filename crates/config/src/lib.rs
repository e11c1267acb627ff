//! What an operator may set beyond what the platform tells a proxy.
//!
//! The [`model`] is the only list of keys: its types carry meaning, default, range, unit, and whether a change takes a
//! restart. From it come the JSON Schema ([`schema`]), the check of every layer against it with the place of each
//! fault ([`check`]), explanations ([`explain`]) and differences ([`diff`]). [`layers`] puts defaults, file,
//! environment and what a control service says on top of each other.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod check;
pub mod diff;
pub mod explain;
pub mod layers;
pub mod model;
mod node;
pub mod schema;

pub use check::Fault;
pub use layers::{resolve, Origin, Resolved, Source};
pub use model::Operator;
