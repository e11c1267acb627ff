//! Computes a proxy's time slots: one in each cycle, at the proxy's position in the fleet.

use super::Nanos;

/// The index of a proxy in the fleet, and the size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    index: u32,
    size: u32,
}

impl FleetPosition {
    /// The position of proxy `index` of `size`, counted from 0. An index past the end wraps around; a size of
    /// 0 counts as 1.
    pub fn new(index: u32, size: u32) -> Self {
        let size = size.max(1);
        FleetPosition { index: index % size, size }
    }

    /// Returns the number of proxies.
    pub fn size(self) -> u32 {
        self.size
    }

    /// Returns the position of the slot in the cycle, from 0 to below 1.
    fn phase(self) -> f64 {
        (f64::from(self.index) + 0.5) / f64::from(self.size)
    }
}

/// The recurring slot of a proxy, once in each cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotSchedule {
    cycle: Nanos,
    /// The time of the first slot on the caller's clock, within the first cycle.
    first: Nanos,
}

impl SlotSchedule {
    /// Creates the slots of a proxy in a cycle that every machine counts from the Unix epoch. `unix_now` is
    /// the Unix time at `now` on the caller's own clock. If the clocks of machines differ, their slots are
    /// spaced less evenly, but there is still one in each cycle. `shift` moves the slots by that part of a
    /// cycle, for cycles that should not coincide.
    pub fn new(cycle: Nanos, position: FleetPosition, shift: f64, unix_now: Nanos, now: Nanos) -> Self {
        let cycle = cycle.max(1);
        let phase = (position.phase() + shift.rem_euclid(1.0)).fract();
        let offset = ((phase * cycle as f64) as Nanos).min(cycle - 1);
        // The part of a cycle that has passed at 0 on the caller's clock.
        let passed_at_zero = (unix_now % cycle + cycle - now % cycle) % cycle;
        SlotSchedule { cycle, first: (offset + cycle - passed_at_zero) % cycle }
    }

    /// Returns a schedule of half the cycle: the same slots, and one midway between each two of them.
    pub fn halved(self) -> Self {
        let cycle = (self.cycle / 2).max(1);
        SlotSchedule { cycle, first: self.first % cycle }
    }

    /// Returns the length of a cycle.
    pub fn cycle(&self) -> Nanos {
        self.cycle
    }

    /// Returns the first slot at or after a time.
    pub fn first_from(&self, time: Nanos) -> Nanos {
        if time <= self.first {
            return self.first;
        }
        let cycles = (time - self.first).div_ceil(self.cycle);
        self.first.saturating_add(cycles.saturating_mul(self.cycle))
    }

    /// Returns the last slot at or before a time, or that time if there was no slot yet.
    pub fn last_until(&self, time: Nanos) -> Nanos {
        time.checked_sub(self.first).map_or(time, |elapsed| time - elapsed % self.cycle)
    }

    /// Returns the number of slots up to and including a time.
    pub fn count_until(&self, time: Nanos) -> u64 {
        time.checked_sub(self.first).map_or(0, |elapsed| elapsed / self.cycle + 1)
    }
}

#[cfg(test)]
mod tests;
