//! How long a site takes to recover once a fault has ended.

use aniseyoke_lab_day::{Day, Fault, FaultKind};
use aniseyoke_lab_load::Goodput;
use serde::Serialize;
use std::fmt;

/// Recovered: this fraction of the weight offered is served within the latency objective...
const RECOVERED_GOODPUT: f64 = 0.95;
/// ...over this many seconds together, so that a lucky second does not count.
const RECOVERED_SECONDS: usize = 2;

/// The recovery after one fault.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The fault.
    pub kind: FaultKind,
    /// When it ended, in seconds from the start of the load.
    pub ended_s: f64,
    /// The lowest goodput of any second from its start to its end.
    pub lowest: f64,
    /// Seconds from its end until the site had recovered; none if it had not when the day ended.
    pub after_s: Option<f64>,
}

impl fmt::Display for Recovery {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Recovery { kind, ended_s, lowest, after_s } = self;
        write!(f, "{kind:?} until {ended_s:.0} s: goodput {lowest:.3} at its lowest, ")?;
        match after_s {
            Some(after) => write!(f, "well again after {after:.0} s"),
            None => write!(f, "not well again before the day ended"),
        }
    }
}

/// The recovery after each fault of a day, by the goodput of each second.
pub fn recoveries(day: &Day, seconds: &[Goodput]) -> Vec<Recovery> {
    // The last second is a part of one.
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
        let again = (last..(seconds.len() + 1).saturating_sub(RECOVERED_SECONDS)).find(recovered);
        let after_s = again.map(|at| (at - last) as f64);
        Some(Recovery { kind: t.kind, ended_s: end, lowest, after_s })
    };
    day.faults.iter().filter_map(of).collect()
}

#[cfg(test)]
mod tests;
