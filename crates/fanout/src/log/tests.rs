use super::*;
use proptest::prelude::*;

fn log(most: usize) -> Log {
    Log::new(Progress { epoch: 1, through: 0 }, most)
}

#[test]
fn numbers_count_from_one_and_the_oldest_goes_at_the_cap() {
    let mut log = log(3);
    assert_eq!(log.newest(), 0);
    let numbers: Vec<u64> = (10..15).map(|key| log.append(key)).collect();
    assert_eq!(numbers, [1, 2, 3, 4, 5]);
    assert_eq!(log.after(2, 9), Ok(vec![12, 13, 14]));
    assert_eq!(log.after(1, 9), Err(Missing::NoLongerKept(3)));
    assert_eq!(log.after(5, 9), Ok(vec![]));
    assert_eq!(log.after(900, 9), Ok(vec![]));
    assert!(log.keeps(2) && !log.keeps(1));
}

#[test]
fn what_is_known_is_passed_over_and_a_gap_takes_nothing() {
    let mut log = log(9);
    assert_eq!(log.extend(0, &[1, 2, 3]), Ok(3));
    assert_eq!(log.extend(1, &[2, 3, 4]), Ok(1));
    assert_eq!(log.extend(0, &[1]), Ok(0));
    assert_eq!(log.extend(5, &[6]), Err(Missing::Gap(4)));
    assert_eq!(log.after(0, 9), Ok(vec![1, 2, 3, 4]));
}

proptest! {
    #[test]
    fn entries_come_out_as_they_went_in(keys in prop::collection::vec(any::<u64>(), 1..60), most in 1usize..40) {
        let mut log = log(most);
        for key in &keys {
            log.append(*key);
        }
        let from = keys.len().saturating_sub(most);
        prop_assert_eq!(log.after(from as u64, most), Ok(keys[from..].to_vec()));
        prop_assert!(from == 0 || log.after(from as u64 - 1, most).is_err());
    }
}
