//! Takes packets apart as they come. Nothing is allocated by what a head announces: keys and parts of values are slices of
//! what has been read, and a value is handed on in the parts in which it comes. Whoever keeps a slice keeps the whole
//! block that it was read into; a key that outlives its packet is better copied.

use crate::{Extras, Head, Opcode, Side, HEAD, KEY_MOST};
use bytes::{Buf, Bytes, BytesMut};
use std::fmt;

/// What is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest key, in bytes.
    pub key: usize,
    /// The longest value, in bytes.
    pub value: usize,
}

impl Default for Limits {
    /// A key as servers take it, and 1 MiB of value, their usual item size.
    fn default() -> Self {
        Limits { key: KEY_MOST, value: 1 << 20 }
    }
}

/// The next of what has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// A packet has begun. Its value follows in parts, then its end.
    Head(Head),
    /// A part of the value, never empty.
    Value(Bytes),
    /// The packet has come whole.
    End,
    /// A request that can't be carried out, without its key; what belongs to it is passed over. Its end follows.
    Bad(Head, Bad),
}

/// Why a request can't be carried out, though the one behind it can be found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// There is no such operation.
    Unknown,
    /// Extras, key or value are not those of the operation; which of them.
    Shape(&'static str),
    /// The key is longer than is taken.
    LongKey,
}

/// Why nothing more can be read from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It speaks the text protocol.
    Text,
    /// A packet does not begin as one does.
    Magic(u8),
    /// Key and extras are longer together than the whole body.
    Lengths {
        /// Of the key, in bytes.
        key: usize,
        /// Of the extras, in bytes.
        extras: usize,
        /// Of the body, in bytes.
        body: usize,
    },
    /// A value is longer than is taken. It would have to be read to its end before anything else can be.
    Large {
        /// Its length, in bytes.
        value: usize,
        /// The client's mark, for an answer.
        opaque: u32,
        /// The operation, for an answer.
        opcode: u8,
    },
    /// An answer that no server gives: extras or key are longer than those of any.
    Answer,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Text => f.write_str("this is the text protocol; only the binary one is spoken here"),
            Fault::Magic(byte) => write!(f, "a packet begins with {byte:#04x}"),
            Fault::Lengths { key, extras, body } => {
                write!(f, "a body of {body} bytes can't hold a key of {key} and extras of {extras}")
            }
            Fault::Large { value, .. } => write!(f, "a value of {value} bytes is too large"),
            Fault::Answer => f.write_str("an answer that no server gives"),
        }
    }
}

impl std::error::Error for Fault {}

#[derive(Clone, Copy, Debug)]
enum State {
    Head,
    /// So much of a value is still to come.
    Value(usize),
    /// So much is still to be passed over.
    Skip(usize),
    Broken(Fault),
}

/// Takes one direction of a connection apart.
#[derive(Clone, Debug)]
pub struct Decoder {
    side: Side,
    limits: Limits,
    state: State,
}

/// The fixed part of a packet.
struct Fixed {
    opcode: u8,
    key: usize,
    extras: usize,
    data_type: u8,
    field: u16,
    body: usize,
    opaque: u32,
    cas: u64,
}

impl Fixed {
    /// `bytes` are at least [`HEAD`].
    fn read(mut bytes: &[u8]) -> Self {
        bytes.advance(1);
        let opcode = bytes.get_u8();
        let key = usize::from(bytes.get_u16());
        let extras = usize::from(bytes.get_u8());
        let data_type = bytes.get_u8();
        let field = bytes.get_u16();
        let body = bytes.get_u32() as usize;
        Fixed { opcode, key, extras, data_type, field, body, opaque: bytes.get_u32(), cas: bytes.get_u64() }
    }

    fn head(&self, extras: Extras, key: Bytes, value: usize) -> Head {
        let Fixed { opcode, field, opaque, cas, .. } = *self;
        Head { opcode, field, opaque, cas, extras, key, value }
    }

    /// What keeps a request from being carried out.
    fn bad(&self, limits: Limits, value: usize) -> Option<Bad> {
        let Some(opcode) = Opcode::from_repr(self.opcode) else { return Some(Bad::Unknown) };
        if self.data_type != 0 {
            Some(Bad::Shape("the data type is not 0"))
        } else if !opcode.extras().contains(&self.extras) {
            Some(Bad::Shape("extras of this length are not of the operation"))
        } else if !opcode.key().fits(self.key) {
            Some(Bad::Shape(if self.key == 0 { "there is no key" } else { "the operation has no key" }))
        } else if !opcode.value().fits(value) {
            Some(Bad::Shape("the operation has no value"))
        } else {
            (self.key > limits.key).then_some(Bad::LongKey)
        }
    }
}

impl Decoder {
    /// For packets that go one way.
    pub fn new(side: Side, limits: Limits) -> Self {
        Decoder { side, limits, state: State::Head }
    }

    /// Whether a packet has begun and not ended.
    pub fn within(&self) -> bool {
        matches!(self.state, State::Value(_) | State::Skip(_))
    }

    /// The next part, taken from the front of what has come; none: more has to come first. A buffer with room for
    /// [`HEAD`], 255 bytes of extras and the longest key is never too small.
    ///
    /// # Errors
    /// If nothing more can be read from the connection; it is the same from then on.
    pub fn next(&mut self, came: &mut BytesMut) -> Result<Option<Part>, Fault> {
        match self.state {
            State::Broken(fault) => Err(fault),
            State::Head => self.begin(came).inspect_err(|fault| self.state = State::Broken(*fault)),
            State::Value(0) | State::Skip(0) => {
                self.state = State::Head;
                Ok(Some(Part::End))
            }
            State::Value(left) => {
                let part = left.min(came.len());
                self.state = State::Value(left - part);
                Ok((part > 0).then(|| Part::Value(came.split_to(part).freeze())))
            }
            State::Skip(left) => {
                let part = left.min(came.len());
                came.advance(part);
                self.state = State::Skip(left - part);
                if left > part {
                    return Ok(None);
                }
                self.next(came)
            }
        }
    }

    fn begin(&mut self, came: &mut BytesMut) -> Result<Option<Part>, Fault> {
        let Some(first) = came.first().copied() else { return Ok(None) };
        if first != self.side.magic() {
            // Danger: to wait for a whole head would leave a client of the text protocol without a word.
            let text = self.side == Side::Request && (first.is_ascii_alphabetic() || first == b'\r');
            return Err(if text { Fault::Text } else { Fault::Magic(first) });
        }
        if came.len() < HEAD {
            return Ok(None);
        }
        let fixed = Fixed::read(came);
        let ahead = fixed.key + fixed.extras;
        let Some(value) = fixed.body.checked_sub(ahead) else {
            let Fixed { key, extras, body, .. } = fixed;
            return Err(Fault::Lengths { key, extras, body });
        };
        let Fixed { opaque, opcode, .. } = fixed;
        let bad = match self.side {
            Side::Request => fixed.bad(self.limits, value),
            Side::Answer if fixed.key > self.limits.key || fixed.extras > crate::extras::EXTRAS_MOST => {
                return Err(Fault::Answer);
            }
            Side::Answer => None,
        };
        if value > self.limits.value {
            return Err(Fault::Large { value, opaque, opcode });
        }
        if let Some(bad) = bad {
            came.advance(HEAD);
            self.state = State::Skip(fixed.body);
            return Ok(Some(Part::Bad(fixed.head(Extras::None, Bytes::new(), 0), bad)));
        }
        if came.len() < HEAD + ahead {
            return Ok(None);
        }
        let mut whole = came.split_to(HEAD + ahead).freeze();
        let key = whole.split_off(HEAD + fixed.extras);
        let extras = match self.side {
            Side::Request => Opcode::from_repr(opcode).map(|o| Extras::of_request(o, &whole[HEAD..])),
            Side::Answer => Some(Extras::of_answer(&whole[HEAD..])),
        };
        self.state = State::Value(value);
        Ok(Some(Part::Head(fixed.head(extras.unwrap_or_default(), key, value))))
    }
}
