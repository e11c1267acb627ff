//! Splits bytes into packets as they arrive. No memory is allocated by the lengths that a header announces: keys and parts
//! of values are slices of the buffer that was read, and a value is handed out in the parts in which it arrives. A slice
//! keeps the whole block alive that it was read into; a key that outlives its packet is better copied.

use crate::extras::MAX_EXTRAS_BYTES;
use crate::{Direction, Extras, Header, Opcode, HEADER_BYTES, MAX_KEY_BYTES};
use bytes::{Buf, Bytes, BytesMut};

/// What is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest key, in bytes.
    pub max_key_bytes: usize,
    /// The longest value, in bytes.
    pub max_value_bytes: usize,
}

impl Default for Limits {
    /// A key as servers accept it, and 1 MiB of value, their usual item size.
    fn default() -> Self {
        Limits { max_key_bytes: MAX_KEY_BYTES, max_value_bytes: 1 << 20 }
    }
}

/// The next part of what has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A packet has begun. Its value follows in parts, then its end.
    Header(Header),
    /// A part of the value, never empty.
    Value(Bytes),
    /// The packet is complete.
    End,
    /// A request that can't be carried out, without its key; the rest of it is skipped. Its end follows.
    Invalid(Header, InvalidRequest),
}

/// Why a request can't be carried out, though the one after it can be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// There is no such operation.
    #[error("there is no such operation")]
    UnknownOpcode,
    /// Extras, key or value are not those of the operation; which of them.
    #[error("{0}")]
    Malformed(&'static str),
    /// The key is longer than is accepted.
    #[error("the key is too long")]
    KeyTooLong,
}

/// Why nothing more can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// The peer speaks the text protocol.
    #[error("this is the text protocol; only the binary one is spoken here")]
    TextProtocol,
    /// A packet begins with another byte than packets do.
    #[error("a packet begins with {0:#04x}")]
    UnknownMagic(u8),
    /// Key and extras together are longer than the whole body.
    #[error("a body of {body} bytes can't hold a key of {key} and extras of {extras}")]
    InconsistentLengths {
        /// Of the key, in bytes.
        key: usize,
        /// Of the extras, in bytes.
        extras: usize,
        /// Of the body, in bytes.
        body: usize,
    },
    /// A value is longer than is accepted. It would have to be read to its end before anything else can be.
    #[error("a value of {value} bytes is too large")]
    ValueTooLarge {
        /// Its length, in bytes.
        value: usize,
        /// The client's identifier of the request, for a response.
        opaque: u32,
        /// The operation, for a response.
        opcode: u8,
    },
    /// A response that no server gives: extras or key are longer than those of any.
    #[error("an answer that no server gives")]
    InvalidResponse,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Between packets, or within a header.
    Header,
    /// So much of a value is still to arrive.
    Value(usize),
    /// So much is still to be skipped.
    Skip(usize),
    Failed(ProtocolError),
}

/// Splits one direction of a connection into packets.
#[derive(Clone, Debug)]
pub struct Decoder {
    direction: Direction,
    limits: Limits,
    state: State,
}

/// The fixed part of a packet.
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
    /// `bytes` are at least [`HEADER_BYTES`].
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

    /// The length of extras and key.
    fn prefix(&self) -> usize {
        self.key + self.extras
    }

    /// The length of the value.
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

    /// Whether a request can be carried out.
    fn check_request(&self, limits: Limits, value: usize) -> Result<(), InvalidRequest> {
        let opcode = Opcode::from_repr(self.opcode).ok_or(InvalidRequest::UnknownOpcode)?;
        if self.data_type != 0 {
            Err(InvalidRequest::Malformed("the data type is not 0"))
        } else if !opcode.extras().contains(&self.extras) {
            Err(InvalidRequest::Malformed("extras of this length are not of the operation"))
        } else if !opcode.key().allows(self.key) {
            let why = if self.key == 0 { "there is no key" } else { "the operation has no key" };
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
    /// A decoder of packets that go in one direction.
    pub fn new(direction: Direction, limits: Limits) -> Self {
        Decoder { direction, limits, state: State::Header }
    }

    /// Whether a packet has begun and not ended.
    pub fn in_packet(&self) -> bool {
        matches!(self.state, State::Value(_) | State::Skip(_))
    }

    /// The next part, taken from the front of what has arrived; none: more has to arrive first. A buffer with room for
    /// [`HEADER_BYTES`], 255 bytes of extras and the longest key is never too small.
    ///
    /// # Errors
    /// If nothing more can be read from the connection; it is the same error from then on.
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

    /// Reads the front of a packet, up to its value.
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
        // Danger: to wait for a whole header would leave a client of the text protocol without an answer.
        let text = self.direction == Direction::Request && (first.is_ascii_alphabetic() || first == b'\r');
        Err(if text { ProtocolError::TextProtocol } else { ProtocolError::UnknownMagic(first) })
    }

    /// Whether a packet can be used; only a request may be refused by itself.
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
