//! The status of a response.

use strum::{FromRepr, VariantArray};

/// A status; the discriminant is its number on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, FromRepr, VariantArray)]
#[repr(u16)]
pub enum Status {
    /// The request succeeded.
    Ok = 0x0000,
    /// The key does not exist.
    NotFound = 0x0001,
    /// The key already exists, or the version of its value differs from the given one.
    Exists = 0x0002,
    /// The value is too large.
    TooLarge = 0x0003,
    /// The arguments of the request are invalid.
    Invalid = 0x0004,
    /// A condition for storing the value is not met.
    NotStored = 0x0005,
    /// The value is not a number.
    NotNumber = 0x0006,
    /// The key belongs to another server.
    WrongBucket = 0x0007,
    /// The client has not authenticated, or its credentials are wrong.
    AuthError = 0x0020,
    /// The authentication needs more steps.
    AuthContinue = 0x0021,
    /// The operation is unknown.
    Unknown = 0x0081,
    /// The server is out of memory.
    NoMemory = 0x0082,
    /// The operation is not supported here.
    NotSupported = 0x0083,
    /// An internal error of the server.
    Internal = 0x0084,
    /// The server is busy.
    Busy = 0x0085,
    /// A temporary failure.
    Temporary = 0x0086,
}

impl Status {
    /// Returns the text that servers send as the value of a response with this status.
    pub fn text(self) -> &'static str {
        match self {
            Status::Ok => "",
            Status::NotFound => "Not found",
            Status::Exists => "Data exists for key.",
            Status::TooLarge => "Too large.",
            Status::Invalid => "Invalid arguments",
            Status::NotStored => "Not stored.",
            Status::NotNumber => "Non-numeric server-side value for incr or decr",
            Status::WrongBucket => "Not my vbucket",
            Status::AuthError => "Auth failure.",
            Status::AuthContinue => "Auth continue.",
            Status::Unknown => "Unknown command",
            Status::NoMemory => "Out of memory",
            Status::NotSupported => "Not supported",
            Status::Internal => "Internal error",
            Status::Busy => "Busy",
            Status::Temporary => "Temporary failure",
        }
    }
}

#[cfg(test)]
mod tests;
