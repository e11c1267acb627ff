//! Puts packets together.

use crate::{Head, Side, HEAD};
use bytes::BufMut;

/// Why a packet can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unfit;

impl std::fmt::Display for Unfit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a key over 65,535 bytes, or a body over 4 GiB")
    }
}

impl std::error::Error for Unfit {}

/// Writes all of a packet but its value, of which so much has to follow as the head says. Takes at most [`HEAD`], the
/// extras and the key.
///
/// # Errors
/// If the format has no room for it; nothing is written then.
pub fn head(side: Side, head: &Head, out: &mut impl BufMut) -> Result<(), Unfit> {
    let key = u16::try_from(head.key.len()).map_err(|_| Unfit)?;
    let body = u32::try_from(head.body()).map_err(|_| Unfit)?;
    out.put_u8(side.magic());
    out.put_u8(head.opcode);
    out.put_u16(key);
    out.put_u8(head.extras.len() as u8);
    out.put_u8(0);
    out.put_u16(head.field);
    out.put_u32(body);
    out.put_u32(head.opaque);
    out.put_u64(head.cas);
    head.extras.put(out);
    out.put_slice(&head.key);
    Ok(())
}

/// Writes a whole packet. The head's own length of the value is passed over.
///
/// # Errors
/// As [`head`].
pub fn packet(side: Side, of: &Head, value: &[u8], out: &mut impl BufMut) -> Result<(), Unfit> {
    head(side, &Head { value: value.len(), ..of.clone() }, out)?;
    out.put_slice(value);
    Ok(())
}

/// The length of a packet, in bytes.
pub fn length(of: &Head) -> usize {
    HEAD + of.body()
}
