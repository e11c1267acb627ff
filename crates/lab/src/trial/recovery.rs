//! How long a site takes to answer well again once a trouble has ended.

use crate::day::{Day, TroubleKind};
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
    let of = |t: &crate::day::Trouble| {
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
mod tests {
    use super::*;

    #[test]
    fn recovery_counts_from_the_end_of_a_trouble_to_two_good_seconds_together() {
        let mut day = Day::open("ledger").expect("built in");
        // From 6 s to 14 s, and from 10 s to 15 s.
        let mut seconds = vec![(1.0, 1.0); 26];
        seconds[8] = (0.3, 1.0);
        seconds[14] = (0.5, 1.0);
        seconds[16] = (0.5, 1.0);
        let found = recoveries(&day, &seconds);
        assert_eq!((found[0].lowest, found[0].after_s), (0.3, Some(3.0)));
        assert_eq!((found[1].lowest, found[1].after_s), (0.5, Some(2.0)));
        seconds[15..].fill((0.1, 1.0));
        assert_eq!(recoveries(&day, &seconds)[0].after_s, None);
        day.troubles.clear();
        assert_eq!(recoveries(&day, &seconds), []);
    }
}
