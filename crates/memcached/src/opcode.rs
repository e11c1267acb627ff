//! Operations and their quiet forms.

use strum::{FromRepr, VariantArray};

/// An operation, by its number on the wire.
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

/// Whether a part of a packet is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It has to be.
    Must,
    /// It may be.
    May,
    /// It must not be.
    Never,
}

impl Presence {
    /// Whether a part of this length is as it should be.
    pub fn fits(self, length: usize) -> bool {
        match self {
            Presence::Must => length > 0,
            Presence::May => true,
            Presence::Never => length == 0,
        }
    }
}

impl Opcode {
    /// The operation that it is a quiet form of, or itself.
    pub fn loud(self) -> Self {
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
            loud => loud,
        }
    }

    /// Whether only the uncommon outcome is answered.
    pub fn quiet(self) -> bool {
        self.loud() != self
    }

    /// Whether it asks for a value: its quiet form leaves misses unanswered, every other quiet form leaves successes.
    pub fn retrieves(self) -> bool {
        matches!(self.loud(), Opcode::Get | Opcode::GetK | Opcode::Gat | Opcode::GatK)
    }

    /// Whether the answer bears the key.
    pub fn answers_with_key(self) -> bool {
        matches!(self.loud(), Opcode::GetK | Opcode::GatK)
    }

    /// Whether a request of this kind has a key.
    pub fn key(self) -> Presence {
        match self.loud() {
            Opcode::Quit | Opcode::Flush | Opcode::Noop | Opcode::Version => Presence::Never,
            Opcode::Verbosity | Opcode::SaslList => Presence::Never,
            Opcode::Stat => Presence::May,
            _ => Presence::Must,
        }
    }

    /// Whether a request of this kind has a value.
    pub fn value(self) -> Presence {
        match self.loud() {
            Opcode::Set | Opcode::Add | Opcode::Replace | Opcode::Append | Opcode::Prepend => Presence::May,
            Opcode::SaslAuth | Opcode::SaslStep => Presence::May,
            _ => Presence::Never,
        }
    }

    /// The lengths that the extras of a request of this kind may have, in bytes.
    pub fn extras(self) -> &'static [usize] {
        match self.loud() {
            Opcode::Set | Opcode::Add | Opcode::Replace => &[8],
            Opcode::Increment | Opcode::Decrement => &[20],
            Opcode::Touch | Opcode::Gat | Opcode::GatK | Opcode::Verbosity => &[4],
            Opcode::Flush => &[0, 4],
            _ => &[0],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_number_is_found_again_and_others_are_none() {
        for byte in 0..=u8::MAX {
            assert_eq!(
                Opcode::from_repr(byte).map(|o| o as u8),
                Opcode::VARIANTS.iter().map(|o| *o as u8).find(|b| *b == byte)
            );
        }
    }

    #[test]
    fn a_quiet_form_has_the_shape_of_its_loud_one() {
        let quiet: Vec<Opcode> = Opcode::VARIANTS.iter().copied().filter(|o| o.quiet()).collect();
        assert_eq!(quiet.len(), 14);
        for opcode in quiet {
            let loud = opcode.loud();
            assert_eq!(
                (opcode.key(), opcode.value(), opcode.extras()),
                (loud.key(), loud.value(), loud.extras())
            );
            assert!(!loud.quiet());
        }
    }
}
