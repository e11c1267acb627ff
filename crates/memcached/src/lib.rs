//! The memcached binary protocol, without I/O or clock.
//!
//! - [`decode`] splits bytes as they arrive into packets, and [`encode`] builds packets; both handle requests and responses.
//! - [`session`] is the server's side of a whole connection.
//! - [`response_queue`] keeps the responses of one connection in the order of their requests, and leaves out those of quiet
//!   requests where the protocol says so.
//! - [`semantics`] tells what a second execution of an operation would do, and what a node's status says of whether an
//!   operation was executed.
//! - [`mapping`] finds the class and the tenant of a request by the operators' rules.
//!
//! The format is that of the memcached project's page "Binary Protocol Revamped" and of its `protocol_binary.h`. Every
//! number is big-endian. A packet is a header of 24 bytes, then extras, key and value, whose lengths are in the header.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod decode;
pub mod encode;
pub mod extras;
pub mod header;
pub mod mapping;
pub mod opcode;
pub mod response_queue;
pub mod sasl;
pub mod semantics;
pub mod session;
pub mod status;

pub use decode::{Decoder, Limits, Part, ProtocolError};
pub use extras::Extras;
pub use header::{Direction, Header, HEADER_BYTES};
pub use opcode::Opcode;
pub use session::Session;
pub use status::Status;

/// The longest key that servers of the protocol accept, in bytes.
pub const MAX_KEY_BYTES: usize = 250;
