//! Extras, which stand between header and key: at most 20 bytes, whose meaning depends on the operation.

use crate::Opcode;
use bytes::{Buf, BufMut};

/// The longest extras that any operation has, in bytes.
pub const MAX_EXTRAS_BYTES: usize = 20;

/// The extras of a packet. Their kind follows from the operation, the direction and the length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Extras {
    /// There are none.
    #[default]
    None,
    /// Of a value in a response: flags that its writer chose.
    Flags(u32),
    /// Of a value to be stored.
    Store {
        /// Flags that its writer chose.
        flags: u32,
        /// When it expires, in seconds: up to 30 days from now, more as Unix time; 0 never.
        expires: u32,
    },
    /// Of a counter.
    Counter {
        /// By how much it changes.
        delta: u64,
        /// Its first value where there is none.
        initial: u64,
        /// As for a value; all ones: a counter that does not exist is an error.
        expires: u32,
    },
    /// Of a touch, a get-and-touch, a flush: when the value expires.
    Expiration(u32),
    /// Of a request for more or less logging.
    Verbosity(u32),
}

impl Extras {
    /// Their length, in bytes.
    pub fn len(&self) -> usize {
        match self {
            Extras::None => 0,
            Extras::Flags(_) | Extras::Expiration(_) | Extras::Verbosity(_) => 4,
            Extras::Store { .. } => 8,
            Extras::Counter { .. } => 20,
        }
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes them.
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

    /// Those of a request, whose length was checked against the operation.
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

    /// Those of a response: flags, or none that mean anything.
    pub(crate) fn parse_response(mut bytes: &[u8]) -> Self {
        if bytes.len() == 4 {
            Extras::Flags(bytes.get_u32())
        } else {
            Extras::None
        }
    }
}
