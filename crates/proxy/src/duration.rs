//! Conversion of spans of time to the whole nanoseconds in which the decision module counts.

use aniseyoke_decision::api::Nanos;
use std::time::Duration;

/// A span in nanoseconds; one that is too long for them counts as the longest.
pub fn nanos(duration: Duration) -> Nanos {
    Nanos::try_from(duration.as_nanos()).unwrap_or(Nanos::MAX)
}
