//! An adapter that connects the decision module to the simulator over a text protocol.
//!
//! - [`wire`]: the text protocol, one message per line.
//! - [`adapter`]: one decision module per instance, driven by these messages.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod adapter;
pub mod wire;
