//! The time that a site takes to recover after the end of a fault.

use aniseyoke_lab_day::{Day, Fault, FaultKind};
use aniseyoke_lab_load::Goodput;
use serde::Serialize;
use std::fmt;

/// The fraction of the offered weight that a recovered site serves within the latency objective.
const RECOVERED_GOODPUT: f64 = 0.95;
/// The number of consecutive seconds that must reach this fraction, so that a single good second does not count.
const RECOVERED_SECONDS: usize = 2;

/// The recovery after one fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The fault.
    pub kind: FaultKind,
    /// The end of the fault, in seconds from the start of the load.
    pub ended_s: f64,
    /// The lowest goodput of any second from the start to the end of the fault.
    pub lowest: f64,
    /// Seconds from the end of the fault until the site had recovered; none if it had not recovered by the end of the
    /// day.
    pub after_s: Option<f64>,
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Recovery { kind, ended_s, lowest, after_s } = self;
        write!(f, "{kind:?} until {ended_s:.0} s: lowest goodput {lowest:.3}, ")?;
        match after_s {
            Some(after) => write!(f, "recovered after {after:.0} s"),
            None => write!(f, "not recovered by the end of the day"),
        }
    }
}

/// Determines the recovery after each fault of a day from the goodput of each second.
pub fn recoveries(day: &Day, seconds: &[Goodput]) -> Vec<Recovery> {
    // The last second may be incomplete.
    let seconds = &seconds[..seconds.len().saturating_sub(1)];
    let of = |t: &Fault| {
        let (start, end) = (t.at.as_secs_f64(), (t.at + t.length).as_secs_f64());
        let (first, last) = (start as usize, (end.ceil() as usize).min(seconds.len()));
        if first >= last {
            return None;
        }
        let lowest = seconds[first..last].iter().map(|s| s.ratio()).fold(1.0, f64::min);
        let recovered =
            |at: &usize| Goodput::sum(&seconds[*at..at + RECOVERED_SECONDS]).ratio() >= RECOVERED_GOODPUT;
        let recovered_at = (last..(seconds.len() + 1).saturating_sub(RECOVERED_SECONDS)).find(recovered);
        let after_s = recovered_at.map(|at| (at - last) as f64);
        Some(Recovery { kind: t.kind, ended_s: end, lowest, after_s })
    };
    day.faults.iter().filter_map(of).collect()
}

#[cfg(test)]
mod tests;
