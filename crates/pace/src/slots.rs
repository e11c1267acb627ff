//! A proxy's own slots: one in each cycle, at its place in the fleet.

use super::Nanos;

/// Which of how many proxies this one is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    me: u32,
    of: u32,
}

impl Place {
    /// Proxy `me` of `of`, from 0. A number past the fleet's counts on from its start, and no fleet is smaller than one.
    pub fn new(me: u32, of: u32) -> Self {
        let of = of.max(1);
        Place { me: me % of, of }
    }

    /// How many proxies there are.
    pub fn of(self) -> u32 {
        self.of
    }

    /// Its part of a cycle that has gone by when its slot comes, from 0 to below 1.
    fn phase(self) -> f64 {
        (f64::from(self.me) + 0.5) / f64::from(self.of)
    }
}

/// One slot in each cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slots {
    cycle: Nanos,
    /// A slot on the caller's clock, within the first cycle.
    first: Nanos,
}

impl Slots {
    /// The slots of a proxy in a cycle that every machine counts from the start of Unix time: `unix` is that time at
    /// `now` on the caller's own clock. Machines whose clocks differ have slots that lie less evenly, and still one
    /// in each cycle. `shift` moves them by that part of a cycle, for cycles that should not coincide.
    pub fn new(cycle: Nanos, place: Place, shift: f64, unix: Nanos, now: Nanos) -> Self {
        let cycle = cycle.max(1);
        let part = (place.phase() + shift.rem_euclid(1.0)).fract();
        let phase = ((part * cycle as f64) as Nanos).min(cycle - 1);
        // Where the cycle stands at 0 on the caller's clock.
        let at_zero = (unix % cycle + cycle - now % cycle) % cycle;
        Slots { cycle, first: (phase + cycle - at_zero) % cycle }
    }

    /// These slots and one midway between each two of them.
    pub fn halved(self) -> Self {
        let cycle = (self.cycle / 2).max(1);
        Slots { cycle, first: self.first % cycle }
    }

    /// The length of a cycle.
    pub fn cycle(&self) -> Nanos {
        self.cycle
    }

    /// The first slot at or after a time.
    pub fn next(&self, at: Nanos) -> Nanos {
        if at <= self.first {
            return self.first;
        }
        let gone = (at - self.first).div_ceil(self.cycle);
        self.first.saturating_add(gone.saturating_mul(self.cycle))
    }

    /// The last slot at or before a time, or that time if none has come.
    pub fn last(&self, at: Nanos) -> Nanos {
        at.checked_sub(self.first).map_or(at, |gone| at - gone % self.cycle)
    }

    /// How many slots have come by a time.
    pub fn by(&self, at: Nanos) -> u64 {
        at.checked_sub(self.first).map_or(0, |gone| gone / self.cycle + 1)
    }
}

#[cfg(test)]
mod tests;
