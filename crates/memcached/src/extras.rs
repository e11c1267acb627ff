//! Extras: parameters between header and key, at most 20 bytes, whose format depends on the operation.

use crate::Opcode;
use bytes::{Buf, BufMut};

/// The length of the longest extras of any operation, in bytes.
pub const MAX_EXTRAS_BYTES: usize = 20;

/// The extras of a packet. The variant follows from the operation, the direction and the length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Extras {
    /// No extras.
    #[default]
    None,
    /// In a response with a value: the flags that the value was stored with.
    Flags(u32),
    /// In a request to store a value.
    Store {
        /// Flags to store with the value; their meaning is up to the client.
        flags: u32,
        /// Expiration in seconds: up to 30 days it is relative, above that it is a Unix time; 0 means never.
        expires: u32,
    },
    /// In a request to increment or decrement a counter.
    Counter {
        /// The amount to add or subtract.
        delta: u64,
        /// The initial value of a counter that does not exist.
        initial: u64,
        /// Expiration as in `Store`; with all bits set, a counter that does not exist is an error.
        expires: u32,
    },
    /// In a touch, get-and-touch or flush request: the expiration.
    Expiration(u32),
    /// In a verbosity request: the log level.
    Verbosity(u32),
}

impl Extras {
    /// Returns the encoded length, in bytes.
    pub fn len(&self) -> usize {
        match self {
            Extras::None => 0,
            Extras::Flags(_) | Extras::Expiration(_) | Extras::Verbosity(_) => 4,
            Extras::Store { .. } => 8,
            Extras::Counter { .. } => 20,
        }
    }

    /// Whether there are no extras.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes the extras in wire format.
    pub fn write(&self, out: &mut impl BufMut) {
        match *self {
            Extras::None => {}
            Extras::Flags(number) | Extras::Expiration(number) | Extras::Verbosity(number) => {
                out.put_u32(number);
            }
            Extras::Store { flags, expires } => {
                out.put_u32(flags);
                out.put_u32(expires);
            }
            Extras::Counter { delta, initial, expires } => {
                out.put_u64(delta);
                out.put_u64(initial);
                out.put_u32(expires);
            }
        }
    }

    /// Parses the extras of a request, whose length was checked against the operation.
    pub(crate) fn parse_request(opcode: Opcode, mut bytes: &[u8]) -> Self {
        match (opcode.without_quiet(), bytes.len()) {
            (Opcode::Verbosity, 4) => Extras::Verbosity(bytes.get_u32()),
            (_, 4) => Extras::Expiration(bytes.get_u32()),
            (_, 8) => Extras::Store { flags: bytes.get_u32(), expires: bytes.get_u32() },
            (_, 20) => {
                Extras::Counter { delta: bytes.get_u64(), initial: bytes.get_u64(), expires: bytes.get_u32() }
            }
            _ => Extras::None,
        }
    }

    /// Parses the extras of a response: 4 bytes are flags, other lengths are ignored.
    pub(crate) fn parse_response(mut bytes: &[u8]) -> Self {
        if bytes.len() == 4 {
            Extras::Flags(bytes.get_u32())
        } else {
            Extras::None
        }
    }
}
