//! The header of a packet, including extras and key.

use crate::{Extras, Opcode, Status};
use bytes::Bytes;

/// The length of the fixed part of a packet, in bytes.
pub const HEADER_BYTES: usize = 24;
/// The first byte of a request.
pub const REQUEST_MAGIC: u8 = 0x80;
/// The first byte of a response.
pub const RESPONSE_MAGIC: u8 = 0x81;

/// The direction of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From client to server.
    Request,
    /// From server to client.
    Response,
}

impl Direction {
    /// Returns the first byte of packets in this direction.
    pub fn magic(self) -> u8 {
        match self {
            Direction::Request => REQUEST_MAGIC,
            Direction::Response => RESPONSE_MAGIC,
        }
    }
}

/// A packet without its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The opcode on the wire. Not an [`Opcode`], so that the rejection of an unknown operation can repeat
    /// it.
    pub opcode: u8,
    /// The vbucket of a request, the status of a response.
    pub vbucket_or_status: u16,
    /// The client's identifier of the request, which the response repeats.
    pub opaque: u32,
    /// The version of the value; 0 in a request matches any, 0 in a response means none.
    pub cas: u64,
    /// Further parameters of the operation.
    pub extras: Extras,
    /// The key, or empty if there is none.
    pub key: Bytes,
    /// The length of the value that follows, in bytes.
    pub value_len: usize,
}

impl Header {
    /// Creates a request without extras, key and value.
    pub fn request(opcode: Opcode) -> Self {
        let (opcode, extras, key) = (opcode as u8, Extras::None, Bytes::new());
        Header { opcode, vbucket_or_status: 0, opaque: 0, cas: 0, extras, key, value_len: 0 }
    }

    /// Creates a response to a request, without extras, key and value.
    pub fn response_to(request: &Header, status: Status) -> Self {
        Header {
            opcode: request.opcode,
            vbucket_or_status: status as u16,
            opaque: request.opaque,
            cas: 0,
            extras: Extras::None,
            key: Bytes::new(),
            value_len: 0,
        }
    }

    /// Returns the operation, if the opcode is known.
    pub fn operation(&self) -> Option<Opcode> {
        Opcode::from_repr(self.opcode)
    }

    /// Returns the status of a response, if it is known.
    pub fn status(&self) -> Option<Status> {
        Status::from_repr(self.vbucket_or_status)
    }

    /// Returns the length of extras, key and value, in bytes.
    pub fn body_len(&self) -> usize {
        self.extras.len() + self.key.len() + self.value_len
    }
}
