//! An adapter that runs the decision module on the wire of the bench's simulator.
//!
//! - [`wire`]: the text protocol, one message a line.
//! - [`adapter`]: one decision module for each instance, driven by these messages.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod adapter;
pub mod wire;
