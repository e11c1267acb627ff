//! The memcached binary protocol, without I/O or clock.
//!
//! - [`decode`] splits bytes as they arrive into packets, and [`encode`] builds packets; both handle requests
//!   and responses.
//! - [`session`] is the server's side of a whole connection.
//! - [`response_queue`] keeps the responses of one connection in the order of their requests, and omits those
//!   that the protocol suppresses for quiet requests.
//! - [`semantics`] defines the effect of executing an operation twice, and whether a status means that a node
//!   executed an operation.
//! - [`mapping`] determines the class and the tenant of a request from the operators' rules.
//!
//! The format is specified in the memcached project's page "Binary Protocol Revamped" and in its
//! `protocol_binary.h`. All numbers are big-endian. A packet consists of a header of 24 bytes, extras, key
//! and value; the header has their lengths.
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
