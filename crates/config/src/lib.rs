//! What an operator may configure beyond what the platform tells a proxy.
//!
//! The [`model`] is the only list of keys: its types have meaning, default, range, unit, and whether a change takes a
//! restart. The JSON Schema ([`schema`]), the check of every layer against it with the location of each error ([`check`]),
//! explanations ([`explain`]) and differences ([`diff`]) all follow from it. [`layers`] puts defaults, file, environment
//! and what a control service says on top of each other.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod check;
pub mod diff;
pub mod explain;
pub mod layers;
pub mod model;
mod node;
pub mod schema;

pub use check::ConfigError;
pub use layers::{resolve, Layer, Origin, Resolved};
pub use model::Operator;
