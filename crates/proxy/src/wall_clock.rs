//! The wall clock. Nothing else in the proxy's own modules reads it, so that the fault rig can have a process whose clock
//! is wrong. It may step in either direction at any time, so that no span is counted by it; what it is read for:
//!
//! - at the start: the clocks of the core and of the slots go on from it by the monotonic one, and a later step moves
//!   neither; it numbers the process for a control service, which compares such numbers for equality alone;
//! - the time beside a cached endpoint list, and whether one that is found may be used (`aniseyoke_pace::retained_list`);
//! - the time beside a stored version, from which its age is told in the log and decides nothing.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The variable that shifts a process's wall clock: `+3s` runs ahead, `-3s` behind. For experiments.
const SHIFT_VARIABLE: &str = "ANISEYOKE_CLOCK";

/// How far the wall clock is shifted; one of the two is zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Shift {
    ahead: Duration,
    behind: Duration,
}

static SHIFT: OnceLock<Shift> = OnceLock::new();

/// The variable has a value that is no shift.
#[derive(Debug, thiserror::Error)]
#[error("{SHIFT_VARIABLE}: {0:?} is no time ahead or behind, as +3s or -3s")]
pub struct ShiftError(String);

/// Reads the variable; to be called before anything asks for the time.
///
/// # Errors
/// If it has a value that is no shift.
pub fn init() -> Result<(), ShiftError> {
    let value = std::env::var(SHIFT_VARIABLE).unwrap_or_default();
    let Some(shift) = parse_shift(&value) else { return Err(ShiftError(value)) };
    if shift != Shift::default() {
        tracing::warn!("{SHIFT_VARIABLE} is set: the wall clock is taken to be wrong by {value}");
    }
    SHIFT.get_or_init(|| shift);
    Ok(())
}

/// Unix time; 0 where the clock stands before that.
pub fn unix_time() -> Duration {
    let Shift { ahead, behind } = SHIFT.get().copied().unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_add(ahead).saturating_sub(behind)
}

/// Unix time in milliseconds.
pub fn unix_millis() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

/// The shift that a text stands for; an empty one is none at all.
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
