//! The `x-time-left` header: how much time a request has left, in seconds.

use hyper::header::HeaderName;
use std::time::Duration;

pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// The end of the preceding line, the header's name and the separator, as hyper writes them.
const HEADER_PREFIX: &[u8] = b"\r\nx-time-left: ";
/// The header's resolution: units per second.
const UNITS_PER_SECOND: u128 = 10_000;
const NANOS_PER_UNIT: u128 = 1_000_000_000 / UNITS_PER_SECOND;

/// Formats a time as the header's value: seconds with four decimals, rounded down.
pub fn format(time: Duration) -> String {
    let units = time.as_nanos() / NANOS_PER_UNIT;
    format!("{}.{:04}", units / UNITS_PER_SECOND, units % UNITS_PER_SECOND)
}

/// Returns the head with `time` as the header's value, at an unchanged length; `None` if the head lacks the
/// header or the old value is shorter than the new one.
pub fn replace_in_head(head: &[u8], time: Duration) -> Option<Vec<u8>> {
    let value_start =
        head.windows(HEADER_PREFIX.len()).position(|window| window == HEADER_PREFIX)? + HEADER_PREFIX.len();
    let width = head[value_start..].iter().position(|byte| *byte == b'\r')?;
    let value = format(time);
    if value.len() > width {
        return None;
    }
    let mut head = head.to_vec();
    let field = &mut head[value_start..value_start + width];
    // A shorter value is padded with further decimals.
    field.fill(b'0');
    field[..value.len()].copy_from_slice(value.as_bytes());
    Some(head)
}

#[cfg(test)]
mod tests;
