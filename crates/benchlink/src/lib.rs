//! The wire of the bench's simulator, for the adapter `aniseyoke-benchlink`.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod wire;
