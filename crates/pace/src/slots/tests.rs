use super::*;
use proptest::prelude::*;

#[test]
fn slots_of_a_fleet_are_evenly_spaced_independent_of_start_times() {
    let (cycle, size) = (1000, 10);
    let mut slots: Vec<Nanos> = (0..size)
        .map(|index| {
            // Each proxy has a clock of its own that started at a different time.
            let clock_start = 777 * u64::from(index);
            let schedule =
                SlotSchedule::new(cycle, FleetPosition::new(index, size), 0.0, 50_000, 50_000 - clock_start);
            schedule.first_from(60_000 - clock_start) + clock_start
        })
        .collect();
    slots.sort_unstable();
    assert!(slots.windows(2).all(|pair| pair[1] - pair[0] == 100), "{slots:?}");
}

proptest! {
    #[test]
    fn there_is_one_slot_in_each_cycle(
        cycle in 1u64..10_000_000, index in 0u32..2000, size in 0u32..1000, shift in -2.0f64..2.0,
        unix_now in 0u64..u64::MAX / 4, now in 0u64..1 << 40, time in 0u64..1 << 50,
    ) {
        let schedule = SlotSchedule::new(cycle, FleetPosition::new(index, size), shift, unix_now, now);
        let slot = schedule.first_from(time);
        prop_assert!(slot >= time && slot - time < cycle);
        prop_assert_eq!(schedule.first_from(slot), slot);
        prop_assert_eq!(schedule.first_from(slot + 1), slot + cycle);
        prop_assert_eq!(schedule.count_until(slot) + 1, schedule.count_until(slot + cycle));
    }
}
