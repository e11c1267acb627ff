//! Operations of the protocol, and the parts that their requests have.

use strum::{FromRepr, VariantArray};

/// An operation; the discriminant is its opcode on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, FromRepr, VariantArray)]
#[repr(u8)]
#[allow(missing_docs, reason = "the names are the protocol's own")]
pub enum Opcode {
    Get = 0x00,
    Set = 0x01,
    Add = 0x02,
    Replace = 0x03,
    Delete = 0x04,
    Increment = 0x05,
    Decrement = 0x06,
    Quit = 0x07,
    Flush = 0x08,
    GetQ = 0x09,
    Noop = 0x0a,
    Version = 0x0b,
    GetK = 0x0c,
    GetKQ = 0x0d,
    Append = 0x0e,
    Prepend = 0x0f,
    Stat = 0x10,
    SetQ = 0x11,
    AddQ = 0x12,
    ReplaceQ = 0x13,
    DeleteQ = 0x14,
    IncrementQ = 0x15,
    DecrementQ = 0x16,
    QuitQ = 0x17,
    FlushQ = 0x18,
    AppendQ = 0x19,
    PrependQ = 0x1a,
    Verbosity = 0x1b,
    Touch = 0x1c,
    Gat = 0x1d,
    GatQ = 0x1e,
    SaslList = 0x20,
    SaslAuth = 0x21,
    SaslStep = 0x22,
    GatK = 0x23,
    GatKQ = 0x24,
}

/// Whether a packet must have a part, such as the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The part must be present.
    Required,
    /// The part may be present.
    Optional,
    /// The part must be absent.
    Forbidden,
}

impl Presence {
    /// Whether the part may have this length, in bytes.
    pub fn allows(self, length: usize) -> bool {
        match self {
            Presence::Required => length > 0,
            Presence::Optional => true,
            Presence::Forbidden => length == 0,
        }
    }
}

impl Opcode {
    /// Returns the counterpart of a quiet operation that always gets a response, or the operation itself if
    /// it is not quiet.
    pub fn without_quiet(self) -> Self {
        match self {
            Opcode::GetQ => Opcode::Get,
            Opcode::GetKQ => Opcode::GetK,
            Opcode::SetQ => Opcode::Set,
            Opcode::AddQ => Opcode::Add,
            Opcode::ReplaceQ => Opcode::Replace,
            Opcode::DeleteQ => Opcode::Delete,
            Opcode::IncrementQ => Opcode::Increment,
            Opcode::DecrementQ => Opcode::Decrement,
            Opcode::QuitQ => Opcode::Quit,
            Opcode::FlushQ => Opcode::Flush,
            Opcode::AppendQ => Opcode::Append,
            Opcode::PrependQ => Opcode::Prepend,
            Opcode::GatQ => Opcode::Gat,
            Opcode::GatKQ => Opcode::GatK,
            other => other,
        }
    }

    /// Whether the operation is quiet: only an unexpected outcome gets a response.
    pub fn is_quiet(self) -> bool {
        self.without_quiet() != self
    }

    /// Whether the operation reads a value. The quiet form of a retrieval gets no response on a miss, other
    /// quiet operations get none on success.
    pub fn is_retrieval(self) -> bool {
        matches!(self.without_quiet(), Opcode::Get | Opcode::GetK | Opcode::Gat | Opcode::GatK)
    }

    /// Whether a successful response includes the key.
    pub fn returns_key(self) -> bool {
        matches!(self.without_quiet(), Opcode::GetK | Opcode::GatK)
    }

    /// Whether a request of this kind has a key.
    pub fn key(self) -> Presence {
        match self.without_quiet() {
            Opcode::Quit | Opcode::Flush | Opcode::Noop | Opcode::Version => Presence::Forbidden,
            Opcode::Verbosity | Opcode::SaslList => Presence::Forbidden,
            Opcode::Stat => Presence::Optional,
            _ => Presence::Required,
        }
    }

    /// Whether a request of this kind has a value.
    pub fn value(self) -> Presence {
        match self.without_quiet() {
            Opcode::Set | Opcode::Add | Opcode::Replace | Opcode::Append | Opcode::Prepend => {
                Presence::Optional
            }
            Opcode::SaslAuth | Opcode::SaslStep => Presence::Optional,
            _ => Presence::Forbidden,
        }
    }

    /// The lengths that the extras of a request of this kind may have, in bytes.
    pub fn extras(self) -> &'static [usize] {
        match self.without_quiet() {
            Opcode::Set | Opcode::Add | Opcode::Replace => &[8],
            Opcode::Increment | Opcode::Decrement => &[20],
            Opcode::Touch | Opcode::Gat | Opcode::GatK | Opcode::Verbosity => &[4],
            Opcode::Flush => &[0, 4],
            _ => &[0],
        }
    }
}

#[cfg(test)]
mod tests;
