//! The wall clock. Nothing else in the proxy's own modules reads it, so that the fault rig can have a process whose clock
//! is wrong. It may step in either direction at any time, so that no span is counted by it; what it is read for:
//!
//! - at the start: the core's and the slots' own clocks go on from it by the monotonic one, and a later step moves
//!   neither; it numbers the process for a control service, which compares such numbers for equality alone;
//! - the time beside a kept list, and whether one that is found may be used (`aniseyoke_pace::kept::judge`);
//! - the time beside a kept version, from which its age is told in the log and decides nothing.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The variable by which a process takes its wall clock to be wrong: `+3s` runs ahead, `-3s` behind. For experiments.
const CLOCK: &str = "ANISEYOKE_CLOCK";

/// How far ahead and how far behind the clock is taken to be.
static WRONG: OnceLock<(Duration, Duration)> = OnceLock::new();

/// Reads the variable; to be called before anything asks for the time.
///
/// # Errors
/// If it says nothing that can be understood.
pub fn start() -> Result<(), String> {
    let word = std::env::var(CLOCK).unwrap_or_default();
    let by =
        wrong(&word).ok_or_else(|| format!("{CLOCK}: {word:?} is no time ahead or behind, as +3s or -3s"))?;
    if by != (Duration::ZERO, Duration::ZERO) {
        tracing::warn!("{CLOCK} is set: the wall clock is taken to be wrong by {word}");
    }
    WRONG.get_or_init(|| by);
    Ok(())
}

/// Unix time; 0 where the clock stands before that.
pub fn unix() -> Duration {
    let (ahead, behind) = WRONG.get().copied().unwrap_or_default();
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_add(ahead).saturating_sub(behind)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    u64::try_from(unix().as_millis()).unwrap_or(u64::MAX)
}

/// How far ahead and how far behind a word has the clock; none: the word is none.
fn wrong(word: &str) -> Option<(Duration, Duration)> {
    let span = |text: &str| humantime::parse_duration(text).ok();
    match word.split_at_checked(1) {
        Some(("+", text)) => Some((span(text)?, Duration::ZERO)),
        Some(("-", text)) => Some((Duration::ZERO, span(text)?)),
        _ => word.is_empty().then_some((Duration::ZERO, Duration::ZERO)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_is_wrong_by_what_is_said_and_a_slip_is_none() {
        let (none, three) = (Duration::ZERO, Duration::from_secs(3));
        assert_eq!(wrong("+3s"), Some((three, none)));
        assert_eq!(wrong("-3s"), Some((none, three)));
        assert_eq!(wrong(""), Some((none, none)));
        assert!(["+", "3s", "-x", "é"].iter().all(|w| wrong(w).is_none()));
    }
}
