//! Client credentials of the PLAIN mechanism (RFC 4616), the only supported one.

use std::fmt;

/// The name of the mechanism; authentication requests have it as their key.
pub const PLAIN_MECHANISM: &[u8] = b"PLAIN";
/// Maximum length of a user name and of a password, in bytes.
const MAX_FIELD_BYTES: usize = 255;

/// A user name and a password. `Debug` omits the password, so that it does not get into logs.
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

/// Parses the value of an authentication request: authorization identity, user name and password, separated
/// by zero bytes. Returns `None` if it is malformed, or if the authorization identity is neither empty nor
/// the user name.
pub fn parse_plain(value: &[u8]) -> Option<PlainCredentials<'_>> {
    let mut parts = value.split(|byte| *byte == 0);
    let mut part = || {
        let text = parts.next().and_then(|part| std::str::from_utf8(part).ok());
        text.filter(|text| text.len() <= MAX_FIELD_BYTES)
    };
    let (authorization_id, user, password) = (part()?, part()?, part()?);
    let valid = !user.is_empty()
        && (authorization_id.is_empty() || authorization_id == user)
        && parts.next().is_none();
    valid.then_some(PlainCredentials { user, password })
}

#[cfg(test)]
mod tests;
