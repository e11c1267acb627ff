use super::*;
use proptest::prelude::*;

#[test]
fn a_fleets_slots_lie_evenly_over_a_cycle_whenever_each_proxy_started() {
    let (cycle, of) = (1000, 10);
    let mut all: Vec<Nanos> = (0..of)
        .map(|me| {
            // Each has a clock of its own, begun at another time.
            let begun = 777 * u64::from(me);
            let slots = Slots::new(cycle, Place::new(me, of), 0.0, 50_000, 50_000 - begun);
            slots.next(60_000 - begun) + begun
        })
        .collect();
    all.sort_unstable();
    assert!(all.windows(2).all(|w| w[1] - w[0] == 100), "{all:?}");
}

proptest! {
    #[test]
    fn slots_come_once_in_each_cycle(
        cycle in 1u64..10_000_000, me in 0u32..2000, of in 0u32..1000, shift in -2.0f64..2.0,
        unix in 0u64..u64::MAX / 4, now in 0u64..1 << 40, at in 0u64..1 << 50,
    ) {
        let slots = Slots::new(cycle, Place::new(me, of), shift, unix, now);
        let next = slots.next(at);
        prop_assert!(next >= at && next - at < cycle);
        prop_assert_eq!(slots.next(next), next);
        prop_assert_eq!(slots.next(next + 1), next + cycle);
        prop_assert_eq!(slots.by(next) + 1, slots.by(next + cycle));
    }
}
