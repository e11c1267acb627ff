use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
const FIVE: Progress = Progress { epoch: 1, through: 5 };

#[test]
fn duplicates_are_dropped_and_a_gap_is_asked_about_once_a_second() {
    let mut member = Member::new(FIVE, SECOND);
    assert_eq!(member.purges(0, 1, 4, &[5, 6, 7]), Told::Drop(&[6, 7]));
    assert_eq!(member.purges(0, 1, 4, &[5, 6, 7]), Told::Nothing);
    assert_eq!(member.purges(0, 1, 9, &[10]), Told::Ask);
    assert_eq!(member.purges(ASK - 1, 1, 9, &[10]), Told::Nothing);
    assert_eq!(member.purges(ASK, 1, 9, &[10]), Told::Ask);
    assert_eq!(member.progress().through, 7);
}

#[test]
fn it_is_fresh_only_as_long_as_it_was_told_that_it_has_everything() {
    let mut member = Member::new(FIVE, SECOND);
    assert!(!member.fresh(0));
    // Entries alone say nothing of what else there is.
    member.purges(0, 1, 5, &[6]);
    assert!(!member.fresh(0));
    member.purges(10, 1, 5, &[]);
    assert!(!member.fresh(10), "who tells it is behind");
    member.purges(10, 1, 7, &[]);
    assert!(!member.fresh(10), "something is missing here");
    member.purges(10, 1, 6, &[]);
    assert!(member.fresh(10) && member.fresh(10 + SECOND) && !member.fresh(11 + SECOND));
}

#[test]
fn another_epoch_needs_a_flush_and_one_that_is_over_is_not_heard() {
    let mut member = Member::new(FIVE, SECOND);
    assert_eq!(member.purges(0, 2, 5, &[6]), Told::Ask);
    assert_eq!(member.flush(Progress { epoch: 2, through: 1 }), Told::DropAll);
    assert_eq!(member.flush(Progress { epoch: 2, through: 1 }), Told::Nothing);
    assert_eq!(member.purges(0, 1, 5, &[6]), Told::Nothing);
    assert_eq!(member.flush(FIVE), Told::Nothing);
    assert_eq!(member.purges(0, 2, 1, &[2]), Told::Drop(&[2]));
}

#[test]
fn it_is_small() {
    assert!(size_of::<Member>() <= 64, "{}", size_of::<Member>());
}

proptest! {
    /// Whatever comes, in whatever order: who claims to stand at N has dropped each entry through N in this epoch, or
    /// everything at once.
    #[test]
    fn what_it_claims_is_done(frames in prop::collection::vec((1u64..4, 0u64..30, 0usize..10, any::<bool>()), 0..80)) {
        let mut member = Member::new(Progress::default(), SECOND);
        // By epoch and number; a flush drops all through its number.
        let mut done: BTreeMap<u64, u64> = BTreeMap::new();
        for (now, (epoch, after, count, flush)) in frames.into_iter().enumerate() {
            let before = member.progress();
            if flush {
                if member.flush(Progress { epoch, through: after }) == Told::DropAll {
                    done.insert(epoch, after);
                }
            } else {
                let keys: Vec<u64> = (after + 1..).take(count).collect();
                if let Told::Drop(keys) = member.purges(now as Nanos * ASK, epoch, after, &keys) {
                    let through = done.entry(epoch).or_default();
                    for key in keys {
                        prop_assert_eq!(*key, *through + 1);
                        *through += 1;
                    }
                }
            }
            let now = member.progress();
            prop_assert!((now.epoch, now.through) >= (before.epoch, before.through));
            prop_assert!(now.is_empty() || done.get(&now.epoch) == Some(&now.through));
        }
    }
}
