//! The operator's configuration of a proxy, in addition to the settings that the platform sends it.
//!
//! The types of the [`model`] define all keys with their description, default, range and unit, and whether a
//! change requires a restart. The JSON Schema ([`schema`]), the validation of each layer with the location of
//! each error ([`check`]), explanations ([`explain`]) and differences ([`diff`]) are derived from it.
//! [`layers`] merges defaults, file, environment and the versions that a control service publishes.
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
