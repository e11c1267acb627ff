//! Credentials of a client: the PLAIN mechanism (RFC 4616), the only one that is supported.

use std::fmt;

/// The name of the mechanism, which is the key of an authentication request.
pub const PLAIN_MECHANISM: &[u8] = b"PLAIN";
/// The longest user name and password that are accepted, in bytes.
const MAX_BYTES: usize = 255;

/// A user name with a password. The password must not be logged: `Debug` leaves it out.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct PlainCredentials<'a> {
    /// The user name.
    pub user: &'a str,
    /// The password.
    pub password: &'a str,
}

impl fmt::Debug for PlainCredentials<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlainCredentials").field("user", &self.user).finish_non_exhaustive()
    }
}

/// Parses the value of an authentication request: the user to act as (empty, or the user itself), user and password, separated
/// by zero bytes. None: it is malformed, or asks to act as another user.
pub fn parse_plain(value: &[u8]) -> Option<PlainCredentials<'_>> {
    let mut parts = value.split(|byte| *byte == 0);
    let mut part = || {
        let text = parts.next().and_then(|part| std::str::from_utf8(part).ok());
        text.filter(|text| text.len() <= MAX_BYTES)
    };
    let (acts_as, user, password) = (part()?, part()?, part()?);
    let valid = !user.is_empty() && (acts_as.is_empty() || acts_as == user) && parts.next().is_none();
    valid.then_some(PlainCredentials { user, password })
}

#[cfg(test)]
mod tests;
