//! When nodes started, on the engine's own clock. The endpoint list reports starts in Unix time, and the engine's clock goes on
//! from the Unix time at the start of this process. Danger: once a wall clock was stepped, here or where starts are reported, a
//! node that has just started would seem to have run for that long, and get more than a node that is warming up bears, or to
//! start that much later, and be spared for as long.

use aniseyoke_decision::api::{Nanos, ServerId};
use rustc_hash::FxHashMap;

/// A smaller difference between the clocks is no step.
const MIN_STEP: Nanos = 1_000_000_000;

/// The start times that are corrected; at most one for each listed node.
#[derive(Default)]
pub struct StartTimes {
    corrections: FxHashMap<ServerId, Correction>,
}

#[derive(Clone, Copy)]
struct Correction {
    reported: Nanos,
    corrected: Nanos,
}

/// Both clocks at the time when an entry is reported.
#[derive(Clone, Copy)]
pub struct ClockReadings {
    /// The engine's own clock.
    pub engine: Nanos,
    /// The wall clock.
    pub wall: Nanos,
}

impl StartTimes {
    /// When a node counts as started: the later of what both clocks make of the reported time, without what lies in the future.
    /// `previous` is what counted so far, if the node is listed. The result stays the same while the same time is reported.
    pub fn resolve(
        &mut self,
        server: ServerId,
        reported: Nanos,
        previous: Option<Nanos>,
        clocks: ClockReadings,
    ) -> Nanos {
        let known = self.corrections.get(&server).filter(|correction| correction.reported == reported);
        if let Some(correction) = known {
            return correction.corrected;
        }
        let corrected = match previous {
            Some(previous) if previous == reported => reported,
            _ => correct(reported, clocks),
        };
        if corrected == reported {
            self.corrections.remove(&server);
        } else {
            self.corrections.insert(server, Correction { reported, corrected });
        }
        corrected
    }

    /// Forgets nodes that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.corrections.retain(|server, _| is_listed(*server));
    }
}

fn correct(reported: Nanos, clocks: ClockReadings) -> Nanos {
    // It started long ago.
    if reported == 0 {
        return reported;
    }
    let is_past = |time: &Nanos| *time <= clocks.engine.saturating_add(MIN_STEP);
    // What the wall clock makes of it, on the engine's clock.
    let by_wall_clock = clocks.engine.saturating_add(reported).saturating_sub(clocks.wall);
    let was_stepped = clocks.engine.abs_diff(clocks.wall) >= MIN_STEP;
    let candidates = [Some(reported), was_stepped.then_some(by_wall_clock)];
    candidates.into_iter().flatten().filter(is_past).max().unwrap_or(clocks.engine)
}

#[cfg(test)]
mod tests;
