//! Start times of nodes on the engine's clock. The endpoint list reports start times as Unix times, and the
//! engine's clock counts on from the Unix time at the start of this process. If the wall clock is stepped,
//! here or on the machine that reports a start time, the two differ by the step. Without correction, a node
//! that has just started would either appear to have run for that long, and get more load than a node can
//! take while it is warming up, or appear to start that much later, and get reduced load for too long.

use aniseyoke_decision::api::{Nanos, ServerId};
use rustc_hash::FxHashMap;

/// Minimum difference in nanoseconds between the clocks that counts as a step of the wall clock.
const MIN_STEP: Nanos = 1_000_000_000;

/// The corrected start times; at most one for each listed node.
#[derive(Default)]
pub struct StartTimes {
    corrections: FxHashMap<ServerId, Correction>,
}

#[derive(Clone, Copy)]
struct Correction {
    reported: Nanos,
    corrected: Nanos,
}

/// Readings of both clocks at the time when an entry is reported.
#[derive(Clone, Copy)]
pub struct ClockReadings {
    /// The engine's clock.
    pub engine: Nanos,
    /// The wall clock.
    pub wall: Nanos,
}

impl StartTimes {
    /// Returns the start time to use for a node: the later of the reported time's two readings, by the
    /// engine's clock and by the wall clock, that is not in the future, or the current time if both are.
    /// `previous` is the start time in use so far, if the node is listed. The result stays the same as long
    /// as the same time is reported.
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

    /// Removes the corrections of nodes that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(ServerId) -> bool) {
        self.corrections.retain(|server, _| is_listed(*server));
    }
}

fn correct(reported: Nanos, clocks: ClockReadings) -> Nanos {
    // Zero means that the node started long ago.
    if reported == 0 {
        return reported;
    }
    let is_past = |time: &Nanos| *time <= clocks.engine.saturating_add(MIN_STEP);
    // The time since the start by the wall clock, applied to the engine's clock.
    let by_wall_clock = clocks.engine.saturating_add(reported).saturating_sub(clocks.wall);
    let was_stepped = clocks.engine.abs_diff(clocks.wall) >= MIN_STEP;
    let candidates = [Some(reported), was_stepped.then_some(by_wall_clock)];
    candidates.into_iter().flatten().filter(is_past).max().unwrap_or(clocks.engine)
}

#[cfg(test)]
mod tests;
