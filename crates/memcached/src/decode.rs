//! Incremental decoder. It allocates nothing based on lengths announced in a header: keys and parts of values
//! are slices of the read buffer, and a value is returned in the parts in which it arrives. A slice keeps the
//! whole block alive that it was read into, so a key that outlives its packet should be copied.

use crate::extras::MAX_EXTRAS_BYTES;
use crate::{Direction, Extras, Header, Opcode, HEADER_BYTES, MAX_KEY_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// Limits of a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a key, in bytes.
    pub max_key_bytes: usize,
    /// Maximum length of a value, in bytes.
    pub max_value_bytes: usize,
}

impl Default for Limits {
    /// Keys as long as servers accept them, and values up to 1 MiB, the usual item size limit of servers.
    fn default() -> Self {
        Limits { max_key_bytes: MAX_KEY_BYTES, max_value_bytes: 1 << 20 }
    }
}

/// A decoded part of the input.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The header of a packet. Its value follows in parts, then [`Part::End`].
    Header(Header),
    /// A non-empty part of the value.
    Value(Bytes),
    /// The packet is complete.
    End,
    /// The header of an invalid request, without its key. The rest of the request is skipped; [`Part::End`]
    /// follows.
    Invalid(Header, InvalidRequest),
}

/// Why a request is invalid, although the requests after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// The operation is unknown.
    #[error("unknown operation")]
    UnknownOpcode,
    /// Data type, extras, key or value do not fit the operation; the text says which.
    #[error("{0}")]
    Malformed(&'static str),
    /// The key exceeds [`Limits::max_key_bytes`].
    #[error("the key is too long")]
    KeyTooLong,
}

/// Why no more packets can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The peer uses the text protocol.
    #[error("this is the text protocol; only the binary one is spoken here")]
    TextProtocol,
    /// The first byte of a packet is not the magic byte of the direction.
    #[error("unexpected magic byte {0:#04x} at the beginning of a packet")]
    UnknownMagic(u8),
    /// Key and extras together are longer than the body.
    #[error("a body of {body} bytes can't hold a key of {key} bytes and extras of {extras} bytes")]
    InconsistentLengths {
        /// Length of the key, in bytes.
        key: usize,
        /// Length of the extras, in bytes.
        extras: usize,
        /// Length of the body, in bytes.
        body: usize,
    },
    /// The value exceeds [`Limits::max_value_bytes`]. The next packet could only be read after the whole
    /// value.
    #[error("a value of {value} bytes is too large")]
    ValueTooLarge {
        /// Length of the value, in bytes.
        value: usize,
        /// The client's identifier of the request, for the error response.
        opaque: u32,
        /// The opcode, for the error response.
        opcode: u8,
    },
    /// The extras or the key of a response are longer than those of any valid response.
    #[error("invalid response: its key or extras are too long")]
    InvalidResponse,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Between packets, or within a header.
    Header,
    /// Within a value, of which this many bytes are missing.
    Value(usize),
    /// Within an invalid request, of which this many bytes are still to be skipped.
    Skip(usize),
    /// Nothing more can be read.
    Failed(ProtocolError),
}

/// Decodes the packets of one direction of a connection.
#[derive(Clone, Debug)]
pub struct Decoder {
    direction: Direction,
    limits: Limits,
    state: State,
}

/// The fixed part of a packet; `key`, `extras` and `body` are lengths in bytes.
struct FixedHeader {
    opcode: u8,
    key: usize,
    extras: usize,
    data_type: u8,
    vbucket_or_status: u16,
    body: usize,
    opaque: u32,
    cas: u64,
}

impl FixedHeader {
    /// Parses the fixed part; `bytes` must have at least [`HEADER_BYTES`].
    fn read(mut bytes: &[u8]) -> Self {
        bytes.advance(1);
        FixedHeader {
            opcode: bytes.get_u8(),
            key: usize::from(bytes.get_u16()),
            extras: usize::from(bytes.get_u8()),
            data_type: bytes.get_u8(),
            vbucket_or_status: bytes.get_u16(),
            body: bytes.get_u32() as usize,
            opaque: bytes.get_u32(),
            cas: bytes.get_u64(),
        }
    }

    /// Returns the length of extras and key, in bytes.
    fn prefix(&self) -> usize {
        self.key + self.extras
    }

    /// Returns the length of the value, in bytes.
    fn value(&self) -> Result<usize, ProtocolError> {
        self.body.checked_sub(self.prefix()).ok_or(ProtocolError::InconsistentLengths {
            key: self.key,
            extras: self.extras,
            body: self.body,
        })
    }

    fn header(&self, extras: Extras, key: Bytes, value_len: usize) -> Header {
        let FixedHeader { opcode, vbucket_or_status, opaque, cas, .. } = *self;
        Header { opcode, vbucket_or_status, opaque, cas, extras, key, value_len }
    }

    /// Checks a request with a value of this length.
    fn check_request(&self, limits: Limits, value: usize) -> Result<(), InvalidRequest> {
        let opcode = Opcode::from_repr(self.opcode).ok_or(InvalidRequest::UnknownOpcode)?;
        if self.data_type != 0 {
            Err(InvalidRequest::Malformed("the data type is not 0"))
        } else if !opcode.extras().contains(&self.extras) {
            Err(InvalidRequest::Malformed("the operation has no extras of this length"))
        } else if !opcode.key().allows(self.key) {
            let why = if self.key == 0 { "the key is missing" } else { "the operation has no key" };
            Err(InvalidRequest::Malformed(why))
        } else if !opcode.value().allows(value) {
            Err(InvalidRequest::Malformed("the operation has no value"))
        } else if self.key > limits.max_key_bytes {
            Err(InvalidRequest::KeyTooLong)
        } else {
            Ok(())
        }
    }
}

impl Decoder {
    /// Creates a decoder of packets in one direction.
    pub fn new(direction: Direction, limits: Limits) -> Self {
        Decoder { direction, limits, state: State::Header }
    }

    /// Whether the decoder is within a packet: its header was returned, its end was not.
    pub fn in_packet(&self) -> bool {
        matches!(self.state, State::Value(_) | State::Skip(_))
    }

    /// Removes the next part from the front of `buffer`, or returns `None` if more input is needed. A buffer
    /// with a capacity of [`HEADER_BYTES`], 255 bytes of extras and the longest key is always large enough.
    ///
    /// # Errors
    /// If nothing more can be read from the connection; all later calls return the same error.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, ProtocolError> {
        match self.state {
            State::Failed(error) => Err(error),
            State::Header => self.begin(buffer).inspect_err(|error| self.state = State::Failed(*error)),
            State::Value(0) | State::Skip(0) => {
                self.state = State::Header;
                Ok(Some(Part::End))
            }
            State::Value(missing) => {
                let part = missing.min(buffer.len());
                self.state = State::Value(missing - part);
                Ok((part > 0).then(|| Part::Value(buffer.split_to(part).freeze())))
            }
            State::Skip(missing) => {
                let part = missing.min(buffer.len());
                buffer.advance(part);
                self.state = State::Skip(missing - part);
                if missing > part {
                    return Ok(None);
                }
                self.next(buffer)
            }
        }
    }

    /// Decodes the beginning of a packet, up to its value.
    fn begin(&mut self, buffer: &mut BytesMut) -> Result<Option<Part>, ProtocolError> {
        let Some(first) = buffer.first() else { return Ok(None) };
        self.check_magic(*first)?;
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let fixed = FixedHeader::read(buffer);
        let value = fixed.value()?;
        let valid = self.check(&fixed, value)?;
        if value > self.limits.max_value_bytes {
            let FixedHeader { opaque, opcode, .. } = fixed;
            return Err(ProtocolError::ValueTooLarge { value, opaque, opcode });
        }
        if let Err(invalid) = valid {
            buffer.advance(HEADER_BYTES);
            self.state = State::Skip(fixed.body);
            return Ok(Some(Part::Invalid(fixed.header(Extras::None, Bytes::new(), 0), invalid)));
        }
        let length = HEADER_BYTES + fixed.prefix();
        if buffer.len() < length {
            return Ok(None);
        }
        let mut front = buffer.split_to(length).freeze();
        let key = front.split_off(HEADER_BYTES + fixed.extras);
        let extras = self.parse_extras(fixed.opcode, &front[HEADER_BYTES..]);
        self.state = State::Value(value);
        Ok(Some(Part::Header(fixed.header(extras, key, value))))
    }

    fn check_magic(&self, first: u8) -> Result<(), ProtocolError> {
        if first == self.direction.magic() {
            return Ok(());
        }
        // Checked on the first byte: a client of the text protocol may send less than a header and would
        // never get a response.
        let text = self.direction == Direction::Request && (first.is_ascii_alphabetic() || first == b'\r');
        Err(if text { ProtocolError::TextProtocol } else { ProtocolError::UnknownMagic(first) })
    }

    /// Checks a packet with a value of this length. An invalid request can be skipped; an invalid response
    /// ends the connection.
    fn check(&self, fixed: &FixedHeader, value: usize) -> Result<Result<(), InvalidRequest>, ProtocolError> {
        match self.direction {
            Direction::Request => Ok(fixed.check_request(self.limits, value)),
            Direction::Response
                if fixed.key > self.limits.max_key_bytes || fixed.extras > MAX_EXTRAS_BYTES =>
            {
                Err(ProtocolError::InvalidResponse)
            }
            Direction::Response => Ok(Ok(())),
        }
    }

    fn parse_extras(&self, opcode: u8, bytes: &[u8]) -> Extras {
        match (self.direction, Opcode::from_repr(opcode)) {
            (Direction::Request, Some(opcode)) => Extras::parse_request(opcode, bytes),
            (Direction::Request, None) => Extras::None,
            (Direction::Response, _) => Extras::parse_response(bytes),
        }
    }
}
