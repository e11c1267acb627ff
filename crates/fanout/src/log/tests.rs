use super::*;
use proptest::prelude::*;

fn log(capacity: usize) -> Log {
    Log::new(Progress { epoch: 1, through: 0 }, capacity)
}

#[test]
fn numbers_count_from_one_and_the_oldest_entry_is_dropped_at_capacity() {
    let mut log = log(3);
    assert_eq!(log.newest(), 0);
    let numbers: Vec<u64> = (10..15).map(|key| log.append(key)).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5]);
    assert_eq!(log.entries_after(2, 9), Ok(vec![12, 13, 14]));
    assert_eq!(log.entries_after(1, 9), Err(LogError::Compacted(3)));
    assert_eq!(log.entries_after(5, 9), Ok(vec![]));
    assert_eq!(log.entries_after(900, 9), Ok(vec![]));
    assert!(log.retains_after(2) && !log.retains_after(1));
}

#[test]
fn known_entries_are_skipped_and_a_gap_adds_nothing() {
    let mut log = log(9);
    assert_eq!(log.extend(0, &[1, 2, 3]), Ok(3));
    assert_eq!(log.extend(1, &[2, 3, 4]), Ok(1));
    assert_eq!(log.extend(0, &[1]), Ok(0));
    assert_eq!(log.extend(5, &[6]), Err(LogError::Gap(4)));
    assert_eq!(log.entries_after(0, 9), Ok(vec![1, 2, 3, 4]));
}

proptest! {
    #[test]
    fn the_newest_entries_are_read_back_in_order_up_to_the_capacity(keys in prop::collection::vec(any::<u64>(), 1..60), capacity in 1usize..40) {
        let mut log = log(capacity);
        for key in &keys {
            log.append(*key);
        }
        let from = keys.len().saturating_sub(capacity);
        prop_assert_eq!(log.entries_after(from as u64, capacity), Ok(keys[from..].to_vec()));
        prop_assert!(from == 0 || log.entries_after(from as u64 - 1, capacity).is_err());
    }
}
