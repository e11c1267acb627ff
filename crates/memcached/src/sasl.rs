//! Who a client says that it is: the PLAIN mechanism (RFC 4616), the only one spoken here.

use std::fmt;

/// The name of the mechanism, as it stands in the key of an authentication.
pub const PLAIN: &[u8] = b"PLAIN";
/// The longest user and password that are taken, in bytes.
const MOST: usize = 255;

/// A user with a password. The password stands in no log: it has no form for one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Plain<'a> {
    /// The user.
    pub user: &'a str,
    /// The password.
    pub password: &'a str,
}

impl fmt::Debug for Plain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Plain").field("user", &self.user).finish_non_exhaustive()
    }
}

/// Reads the value of an authentication: whom to act as (empty, or the user), user, password, a zero byte between each.
/// None: it is no such value, or asks to act as somebody else.
pub fn plain(value: &[u8]) -> Option<Plain<'_>> {
    let mut parts = value.split(|b| *b == 0);
    let mut part = || parts.next().and_then(|p| std::str::from_utf8(p).ok()).filter(|p| p.len() <= MOST);
    let (acts_as, user, password) = (part()?, part()?, part()?);
    let sound = !user.is_empty() && (acts_as.is_empty() || acts_as == user) && parts.next().is_none();
    sound.then_some(Plain { user, password })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn user_and_password_are_read_and_nothing_else_passes() {
        assert_eq!(plain(b"\0acme\0secret"), Some(Plain { user: "acme", password: "secret" }));
        assert_eq!(plain(b"acme\0acme\0"), Some(Plain { user: "acme", password: "" }));
        let long = [b"\0".to_vec(), vec![b'a'; 256], b"\0p".to_vec()].concat();
        for bad in [&b""[..], b"\0", b"\0\0p", b"other\0acme\0p", b"\0acme\0p\0", b"\0ac\xffme\0p", &long] {
            assert_eq!(plain(bad), None, "{bad:?}");
        }
    }

    #[test]
    fn the_password_does_not_come_into_a_log() {
        assert!(!format!("{:?}", plain(b"\0acme\0secret")).contains("secret"));
    }
}
