use super::*;

#[test]
fn recovery_is_measured_from_the_end_of_a_fault_to_two_consecutive_good_seconds() {
    let second = |good| Goodput { good, offered: 1.0 };
    let mut day = Day::open("ledger").expect("a built-in day");
    // The faults of the day last from 6 s to 14 s, and from 10 s to 15 s.
    let mut seconds = vec![second(1.0); 26];
    seconds[8] = second(0.3);
    seconds[14] = second(0.5);
    seconds[16] = second(0.5);
    let found = recoveries(&day, &seconds);
    assert_eq!((found[0].lowest, found[0].after_s), (0.3, Some(3.0)));
    assert_eq!((found[1].lowest, found[1].after_s), (0.5, Some(2.0)));
    seconds[15..].fill(second(0.1));
    assert_eq!(recoveries(&day, &seconds)[0].after_s, None);
    day.faults.clear();
    assert_eq!(recoveries(&day, &seconds), []);
}
