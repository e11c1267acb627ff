//! Converts durations to the nanoseconds of the decision module.

use aniseyoke_decision::api::Nanos;
use std::time::Duration;

/// Returns a duration in nanoseconds, saturating at the maximum.
pub fn nanos(duration: Duration) -> Nanos {
    Nanos::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX)
}
