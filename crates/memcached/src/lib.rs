//! The memcached binary protocol, without I/O or clock.
//!
//! [`decode`] takes packets apart as they come, and [`encode`] puts them together; both know requests and answers alike.
//! [`session`] is a server's side of a whole connection. [`order`] keeps the answers of one connection in the order of their requests, with the quiet forms left out as the
//! protocol says. [`meaning`] tells what an operation may do when it runs twice, and what a node's status says of whether
//! it ran. [`mapping`] tells by the operators' rules what an operation is to the core.
//!
//! The format is that of the memcached project's page "Binary Protocol Revamped" and of its `protocol_binary.h`. Every
//! number is big-endian. A packet is a head of 24 bytes, then extras, key and value, whose lengths the head tells.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod decode;
pub mod encode;
pub mod extras;
pub mod head;
pub mod mapping;
pub mod meaning;
pub mod opcode;
pub mod order;
pub mod sasl;
pub mod session;
pub mod status;

pub use decode::{Decoder, Fault, Limits, Part};
pub use extras::Extras;
pub use head::{Head, Side, HEAD};
pub use opcode::Opcode;
pub use session::Session;
pub use status::Status;

/// The longest key that the protocol's servers take, in bytes.
pub const KEY_MOST: usize = 250;
