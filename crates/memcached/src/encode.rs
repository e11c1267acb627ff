//! Encodes packets.

use crate::{Direction, Header, HEADER_BYTES};
use bytes::BufMut;

/// The key or the body is too long for the length fields of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key over 65,535 bytes, or a body over 4 GiB")]
pub struct PacketTooLong;

/// Writes a packet without its value: at most [`HEADER_BYTES`], the extras and the key. The caller writes the
/// value, with the length given in the header.
///
/// # Errors
/// If a length exceeds the format; nothing is written then.
pub fn header(direction: Direction, header: &Header, out: &mut impl BufMut) -> Result<(), PacketTooLong> {
    let key = u16::try_from(header.key.len()).map_err(|_| PacketTooLong)?;
    let body = u32::try_from(header.body_len()).map_err(|_| PacketTooLong)?;
    out.put_u8(direction.magic());
    out.put_u8(header.opcode);
    out.put_u16(key);
    out.put_u8(header.extras.len() as u8);
    // The data type.
    out.put_u8(0);
    out.put_u16(header.vbucket_or_status);
    out.put_u32(body);
    out.put_u32(header.opaque);
    out.put_u64(header.cas);
    header.extras.write(out);
    out.put_slice(&header.key);
    Ok(())
}

/// Writes a complete packet. The length of the value is taken from `value`, not from the header.
///
/// # Errors
/// As [`header`].
pub fn packet(
    direction: Direction,
    of: &Header,
    value: &[u8],
    out: &mut impl BufMut,
) -> Result<(), PacketTooLong> {
    header(direction, &Header { value_len: value.len(), ..of.clone() }, out)?;
    out.put_slice(value);
    Ok(())
}

/// Returns the length of a packet, in bytes.
pub fn length(of: &Header) -> usize {
    HEADER_BYTES + of.body_len()
}
