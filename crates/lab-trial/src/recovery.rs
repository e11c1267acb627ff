//! How long a site takes to answer well again once a trouble has ended.

use aniseyoke_lab_day::{Day, TroubleKind};
use serde::Serialize;
use std::fmt;

/// Answering well: this part of the worth asked for is answered within its aim...
const WELL: f64 = 0.95;
/// ...over so many seconds together, so that a lucky second does not count.
const OVER: usize = 2;

/// What came after one trouble.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Recovery {
    /// The trouble.
    pub kind: TroubleKind,
    /// When it ended, in seconds from the start of the load.
    pub ended_s: f64,
    /// The lowest goodput of any second from its start to its end.
    pub lowest: f64,
    /// Seconds from its end until the site answered well; none: it did not before the day ended.
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

fn goodput(seconds: &[(f64, f64)]) -> f64 {
    let (good, asked) = seconds.iter().fold((0.0, 0.0), |(g, a), (good, asked)| (g + good, a + asked));
    if asked > 0.0 {
        good / asked
    } else {
        1.0
    }
}

/// What came after each trouble of a day, by its worth by the second (answered within its aim, asked for).
pub fn recoveries(day: &Day, seconds: &[(f64, f64)]) -> Vec<Recovery> {
    // The last second is a part of one.
    let seconds = &seconds[..seconds.len().saturating_sub(1)];
    let of = |t: &aniseyoke_lab_day::Trouble| {
        let (start, end) = (t.at.as_secs_f64(), (t.at + t.length).as_secs_f64());
        let (first, last) = (start as usize, (end.ceil() as usize).min(seconds.len()));
        if first >= last {
            return None;
        }
        let lowest = seconds[first..last].iter().map(|s| goodput(&[*s])).fold(1.0, f64::min);
        let well = |at: &usize| goodput(&seconds[*at..at + OVER]) >= WELL;
        let again = (last..(seconds.len() + 1).saturating_sub(OVER)).find(well);
        let after_s = again.map(|at| (at - last) as f64);
        Some(Recovery { kind: t.kind, ended_s: end, lowest, after_s })
    };
    day.troubles.iter().filter_map(of).collect()
}

#[cfg(test)]
mod tests;
