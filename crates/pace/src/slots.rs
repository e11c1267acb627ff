//! A proxy's time slots: one in each cycle, at its position in the fleet.

use super::Nanos;

/// Which proxy of the fleet this one is, and how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    index: u32,
    size: u32,
}

impl FleetPosition {
    /// Proxy `index` of `size`, counted from 0. An index past the end wraps around, and no fleet is smaller than one.
    pub fn new(index: u32, size: u32) -> Self {
        let size = size.max(1);
        FleetPosition { index: index % size, size }
    }

    /// The number of proxies.
    pub fn size(self) -> u32 {
        self.size
    }

    /// The part of a cycle that has passed when the slot comes, from 0 to below 1.
    fn phase(self) -> f64 {
        (f64::from(self.index) + 0.5) / f64::from(self.size)
    }
}

/// The times at which one slot comes in each cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    cycle: Nanos,
    /// A slot on the caller's clock, within the first cycle.
    first: Nanos,
}

impl SlotSchedule {
    /// The slots of a proxy in a cycle that every machine counts from the start of Unix time. `unix` is the Unix time at
    /// `now` on the caller's own clock. Machines with different clocks have slots that are spaced less evenly, and still one
    /// in each cycle. `shift` moves the slots by that part of a cycle, for cycles that should not coincide.
    pub fn new(cycle: Nanos, position: FleetPosition, shift: f64, unix: Nanos, now: Nanos) -> Self {
        let cycle = cycle.max(1);
        let phase = (position.phase() + shift.rem_euclid(1.0)).fract();
        let offset = ((phase * cycle as f64) as Nanos).min(cycle - 1);
        // How much of a cycle has passed at 0 on the caller's clock.
        let passed_at_zero = (unix % cycle + cycle - now % cycle) % cycle;
        SlotSchedule { cycle, first: (offset + cycle - passed_at_zero) % cycle }
    }

    /// The same slots and one midway between each two of them.
    pub fn halved(self) -> Self {
        let cycle = (self.cycle / 2).max(1);
        SlotSchedule { cycle, first: self.first % cycle }
    }

    /// The length of a cycle.
    pub fn cycle(&self) -> Nanos {
        self.cycle
    }

    /// The first slot at or after a time.
    pub fn first_from(&self, time: Nanos) -> Nanos {
        if time <= self.first {
            return self.first;
        }
        let cycles = (time - self.first).div_ceil(self.cycle);
        self.first.saturating_add(cycles.saturating_mul(self.cycle))
    }

    /// The last slot at or before a time, or that time if no slot has come.
    pub fn last_until(&self, time: Nanos) -> Nanos {
        time.checked_sub(self.first).map_or(time, |since| time - since % self.cycle)
    }

    /// How many slots have come by a time.
    pub fn count_until(&self, time: Nanos) -> u64 {
        time.checked_sub(self.first).map_or(0, |since| since / self.cycle + 1)
    }
}

#[cfg(test)]
mod tests;
