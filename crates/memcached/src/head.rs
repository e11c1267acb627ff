//! The head of a packet.

use crate::{Extras, Opcode, Status};
use bytes::Bytes;

/// The length of the fixed part of a packet, in bytes.
pub const HEAD: usize = 24;
/// The first byte of a request.
pub const REQUEST: u8 = 0x80;
/// The first byte of an answer.
pub const ANSWER: u8 = 0x81;

/// Which way a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// From a client.
    Request,
    /// From a server.
    Answer,
}

impl Side {
    /// The first byte of its packets.
    pub fn magic(self) -> u8 {
        match self {
            Side::Request => REQUEST,
            Side::Answer => ANSWER,
        }
    }
}

/// All of a packet but its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    /// The operation, as it stands on the wire: one that is not known can be turned away by its number.
    pub opcode: u8,
    /// Of a request the vbucket, of an answer the status.
    pub field: u16,
    /// The client's own mark, which comes back with the answer.
    pub opaque: u32,
    /// The version of the value; 0: any, or none.
    pub cas: u64,
    /// What the operation says beside key and value.
    pub extras: Extras,
    /// The key; empty where there is none.
    pub key: Bytes,
    /// How long the value is that follows, in bytes.
    pub value: usize,
}

impl Head {
    /// A request without key and value.
    pub fn request(opcode: Opcode) -> Self {
        let (opcode, extras, key) = (opcode as u8, Extras::None, Bytes::new());
        Head { opcode, field: 0, opaque: 0, cas: 0, extras, key, value: 0 }
    }

    /// An answer to a request, without extras, key and value.
    pub fn answer_to(request: &Head, status: Status) -> Self {
        let (extras, key) = (Extras::None, Bytes::new());
        Head {
            opcode: request.opcode,
            field: status as u16,
            opaque: request.opaque,
            cas: 0,
            extras,
            key,
            value: 0,
        }
    }

    /// The operation, if it is known.
    pub fn operation(&self) -> Option<Opcode> {
        Opcode::from_repr(self.opcode)
    }

    /// The status of an answer, if it is known.
    pub fn status(&self) -> Option<Status> {
        Status::from_repr(self.field)
    }

    /// The length of all that follows the fixed part, in bytes.
    pub fn body(&self) -> usize {
        self.extras.len() + self.key.len() + self.value
    }
}
