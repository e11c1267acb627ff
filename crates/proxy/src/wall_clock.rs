//! The wall clock. No other module of the proxy reads it, so that fault tests can run a process whose clock
//! is wrong. It may step in either direction at any time, so no duration is measured with it. Its uses:
//!
//! - At startup, the clocks of the core and of the slots take it as their origin and advance by the monotonic
//!   clock, so a later step moves neither. It also identifies the process to a control service, which
//!   compares such numbers only for equality.
//! - It is stored beside a cached endpoint list, and decides whether a list found at startup may be used
//!   (`aniseyoke_pace::retained_list`).
//! - It is stored beside a configuration version, whose age is logged and decides nothing.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The environment variable that shifts the process's wall clock, for experiments: `+3s` runs ahead, `-3s`
/// behind.
const SHIFT_VARIABLE: &str = "ANISEYOKE_CLOCK";

/// A shift of the wall clock; at least one of the two fields is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Shift {
    ahead: Duration,
    behind: Duration,
}

static SHIFT: OnceLock<Shift> = OnceLock::new();

/// The environment variable does not hold a clock shift.
#[derive(Debug, thiserror::Error)]
#[error("{SHIFT_VARIABLE}: {0:?} is not a clock shift such as +3s or -3s")]
pub struct ShiftError(String);

/// Reads the environment variable; must be called before the first use of the clock.
///
/// # Errors
/// If the variable's value is not a clock shift.
pub fn init() -> Result<(), ShiftError> {
    let value = std::env::var(SHIFT_VARIABLE).unwrap_or_default();
    let Some(shift) = parse_shift(&value) else { return Err(ShiftError(value)) };
    if shift != Shift::default() {
        tracing::warn!("{SHIFT_VARIABLE} is set: the wall clock is shifted by {value}");
    }
    SHIFT.get_or_init(|| shift);
    Ok(())
}

/// Returns the Unix time; 0 if the clock is set before the epoch.
pub fn unix_time() -> Duration {
    let Shift { ahead, behind } = SHIFT.get().copied().unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_add(ahead).saturating_sub(behind)
}

/// Returns the Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// Parses a shift; an empty text is a shift of zero.
fn parse_shift(text: &str) -> Option<Shift> {
    let parse = |text: &str| humantime::parse_duration(text).ok();
    match text.split_at_checked(1) {
        Some(("+", text)) => Some(Shift { ahead: parse(text)?, ..Shift::default() }),
        Some(("-", text)) => Some(Shift { behind: parse(text)?, ..Shift::default() }),
        _ => text.is_empty().then_some(Shift::default()),
    }
}

#[cfg(test)]
mod tests;
