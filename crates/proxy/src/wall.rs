//! The wall clock. Nothing else in the program reads it, so that the fault rig can have a process whose clock is wrong.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The variable by which a process takes its wall clock to be wrong: `+3s` runs ahead, `-3s` behind. For experiments.
const CLOCK: &str = "ANISEYOKE_CLOCK";

/// Unix time.
pub fn unix() -> Duration {
    static WRONG: OnceLock<(Duration, Duration)> = OnceLock::new();
    let (ahead, behind) = WRONG.get_or_init(|| wrong(std::env::var(CLOCK).ok().as_deref().unwrap_or("")));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    now.saturating_add(*ahead).saturating_sub(*behind)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    u64::try_from(unix().as_millis()).unwrap_or(u64::MAX)
}

/// How far ahead and how far behind a word has the clock; one that is none leaves it right.
fn wrong(word: &str) -> (Duration, Duration) {
    let span = |text: &str| humantime::parse_duration(text).unwrap_or_default();
    match word.split_at_checked(1) {
        Some(("+", text)) => (span(text), Duration::ZERO),
        Some(("-", text)) => (Duration::ZERO, span(text)),
        _ => (Duration::ZERO, Duration::ZERO),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_clock_is_wrong_by_what_is_said_and_right_otherwise() {
        let (none, three) = (Duration::ZERO, Duration::from_secs(3));
        assert_eq!(wrong("+3s"), (three, none));
        assert_eq!(wrong("-3s"), (none, three));
        assert!(["", "+", "3s", "-x", "é"].iter().all(|w| wrong(w) == (none, none)));
    }
}
