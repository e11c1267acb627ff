//! When nodes started, by the core's own clock. Their starts are told in Unix time, and this process's clock goes on from
//! the Unix time at its own start. Danger: once a wall clock was stepped, here or where starts are told, a node that has
//! just started would seem to have run for that long, and get more than a cold one bears, or to start that much later, and
//! be spared for as long.

use aniseyoke_decision::api::{Nanos, ServerId};
use rustc_hash::FxHashMap;

/// A smaller difference between the clocks is no step.
const STEP_LEAST: Nanos = 1_000_000_000;

/// The starts that count as others than were told; as many as such entries are listed.
#[derive(Default)]
pub struct Starts {
    changed: FxHashMap<ServerId, Changed>,
}

#[derive(Clone, Copy)]
struct Changed {
    told: Nanos,
    counts: Nanos,
}

/// How the clocks stand as an entry is told.
#[derive(Clone, Copy)]
pub struct Clocks {
    /// The core's own.
    pub own: Nanos,
    /// The wall clock now.
    pub wall: Nanos,
}

impl Starts {
    /// When a node counts as started: the later of what both clocks make of what is told, but for what has not come yet;
    /// `before` is what counted so far, if the node is listed. It stays as it is for as long as the same start is told.
    pub fn of(&mut self, server: ServerId, told: Nanos, before: Option<Nanos>, clocks: Clocks) -> Nanos {
        if let Some(changed) = self.changed.get(&server).filter(|changed| changed.told == told) {
            return changed.counts;
        }
        let counts = match before {
            Some(before) if before == told => told,
            _ => by_both(told, clocks),
        };
        if counts == told {
            self.changed.remove(&server);
        } else {
            self.changed.insert(server, Changed { told, counts });
        }
        counts
    }

    /// Forgets nodes that are no longer listed.
    pub fn retain(&mut self, listed: impl Fn(ServerId) -> bool) {
        self.changed.retain(|server, _| listed(*server));
    }
}

fn by_both(told: Nanos, clocks: Clocks) -> Nanos {
    // None: it started long ago.
    if told == 0 {
        return told;
    }
    let possible = |at: &Nanos| *at <= clocks.own.saturating_add(STEP_LEAST);
    // What the wall clock makes of it, on the own one.
    let by_wall = clocks.own.saturating_add(told).saturating_sub(clocks.wall);
    let stepped = clocks.own.abs_diff(clocks.wall) >= STEP_LEAST;
    let both = [Some(told), stepped.then_some(by_wall)];
    both.into_iter().flatten().filter(possible).max().unwrap_or(clocks.own)
}

#[cfg(test)]
mod tests;
