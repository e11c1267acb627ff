//! A proxy's own moments: one in each cycle, at its place in the fleet.

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

    /// Its part of a cycle that has gone by at its moment, from 0 to below 1.
    fn phase(self) -> f64 {
        (f64::from(self.me) + 0.5) / f64::from(self.of)
    }
}

/// One moment in each cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moments {
    cycle: Nanos,
    /// A moment on the caller's clock, within the first cycle.
    first: Nanos,
}

impl Moments {
    /// The moments of a proxy in a cycle that every machine counts from the start of Unix time: `unix` is that time at
    /// `now` on the caller's own clock. Machines whose clocks differ have moments that lie less evenly, and still one
    /// in each cycle. `shift` moves them by that part of a cycle, for cycles that should not coincide.
    pub fn new(cycle: Nanos, place: Place, shift: f64, unix: Nanos, now: Nanos) -> Self {
        let cycle = cycle.max(1);
        let part = (place.phase() + shift.rem_euclid(1.0)).fract();
        let phase = ((part * cycle as f64) as Nanos).min(cycle - 1);
        // Where the cycle stands at 0 on the caller's clock.
        let at_zero = (unix % cycle + cycle - now % cycle) % cycle;
        Moments { cycle, first: (phase + cycle - at_zero) % cycle }
    }

    /// These moments and one midway between each two of them.
    pub fn halved(self) -> Self {
        let cycle = (self.cycle / 2).max(1);
        Moments { cycle, first: self.first % cycle }
    }

    /// The length of a cycle.
    pub fn cycle(&self) -> Nanos {
        self.cycle
    }

    /// The first moment at or after a time.
    pub fn next(&self, at: Nanos) -> Nanos {
        if at <= self.first {
            return self.first;
        }
        let gone = (at - self.first).div_ceil(self.cycle);
        self.first.saturating_add(gone.saturating_mul(self.cycle))
    }

    /// How many moments have come by a time.
    pub fn by(&self, at: Nanos) -> u64 {
        at.checked_sub(self.first).map_or(0, |gone| gone / self.cycle + 1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_fleets_moments_lie_evenly_over_a_cycle_whenever_each_proxy_started() {
        let (cycle, of) = (1000, 10);
        let mut all: Vec<Nanos> = (0..of)
            .map(|me| {
                // Each has a clock of its own, begun at another time.
                let begun = 777 * u64::from(me);
                let moments = Moments::new(cycle, Place::new(me, of), 0.0, 50_000, 50_000 - begun);
                moments.next(60_000 - begun) + begun
            })
            .collect();
        all.sort_unstable();
        assert!(all.windows(2).all(|w| w[1] - w[0] == 100), "{all:?}");
    }

    proptest! {
        #[test]
        fn moments_come_once_in_each_cycle(
            cycle in 1u64..10_000_000, me in 0u32..2000, of in 0u32..1000, shift in -2.0f64..2.0,
            unix in 0u64..u64::MAX / 4, now in 0u64..1 << 40, at in 0u64..1 << 50,
        ) {
            let moments = Moments::new(cycle, Place::new(me, of), shift, unix, now);
            let next = moments.next(at);
            prop_assert!(next >= at && next - at < cycle);
            prop_assert_eq!(moments.next(next), next);
            prop_assert_eq!(moments.next(next + 1), next + cycle);
            prop_assert_eq!(moments.by(next) + 1, moments.by(next + cycle));
        }
    }
}
