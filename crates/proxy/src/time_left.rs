//! The header that tells how much time a request has left.

use hyper::header::HeaderName;
use std::time::Duration;

/// The header's name.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// How the header begins in a head as it is written, with the end of the line before it.
const IN_HEAD: &[u8] = b"\r\nx-time-left: ";
/// A second in the units in which a time is told.
const UNITS_PER_SECOND: u128 = 10_000;
/// Nanoseconds in one of these units.
const NANOS_PER_UNIT: u128 = 1_000_000_000 / UNITS_PER_SECOND;

/// A time as the header's value: in seconds, rounded down.
pub fn format(time: Duration) -> String {
    let units = time.as_nanos() / NANOS_PER_UNIT;
    format!("{}.{:04}", units / UNITS_PER_SECOND, units % UNITS_PER_SECOND)
}

/// The head with `time` as the header's value, in as many bytes as before; none if it has no such header, or one that is too
/// short for it.
pub fn replace_in_head(head: &[u8], time: Duration) -> Option<Vec<u8>> {
    let from = head.windows(IN_HEAD.len()).position(|part| part == IN_HEAD)? + IN_HEAD.len();
    let width = head[from..].iter().position(|byte| *byte == b'\r')?;
    let value = format(time);
    if value.len() > width {
        return None;
    }
    let mut head = head.to_vec();
    let field = &mut head[from..from + width];
    // A shorter value gets more decimals.
    field.fill(b'0');
    field[..value.len()].copy_from_slice(value.as_bytes());
    Some(head)
}

#[cfg(test)]
mod tests;
