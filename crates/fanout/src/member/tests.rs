use super::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const SECOND: Nanos = 1_000_000_000;
const AT_FIVE: Progress = Progress { epoch: 1, through: 5 };

#[test]
fn duplicates_are_skipped_and_a_gap_requests_a_resync_once_a_second() {
    let mut member = Member::new(AT_FIVE, SECOND);
    assert_eq!(member.receive_purges(0, 1, 4, &[5, 6, 7]), MemberAction::Invalidate(&[6, 7]));
    assert_eq!(member.receive_purges(0, 1, 4, &[5, 6, 7]), MemberAction::Ignore);
    assert_eq!(member.receive_purges(0, 1, 9, &[10]), MemberAction::Resync);
    assert_eq!(member.receive_purges(RESYNC_INTERVAL - 1, 1, 9, &[10]), MemberAction::Ignore);
    assert_eq!(member.receive_purges(RESYNC_INTERVAL, 1, 9, &[10]), MemberAction::Resync);
    assert_eq!(member.progress().through, 7);
}

#[test]
fn a_member_is_fresh_for_its_lease_after_a_heartbeat_at_its_position() {
    let mut member = Member::new(AT_FIVE, SECOND);
    assert!(!member.is_fresh(0));
    // Entries alone don't confirm that there are no others.
    member.receive_purges(0, 1, 5, &[6]);
    assert!(!member.is_fresh(0));
    member.receive_purges(10, 1, 5, &[]);
    assert!(!member.is_fresh(10), "the upstream is behind");
    member.receive_purges(10, 1, 7, &[]);
    assert!(!member.is_fresh(10), "the member lacks an entry");
    member.receive_purges(10, 1, 6, &[]);
    assert!(member.is_fresh(10) && member.is_fresh(10 + SECOND) && !member.is_fresh(11 + SECOND));
}

#[test]
fn a_new_epoch_needs_a_flush_and_an_earlier_one_is_ignored() {
    let mut member = Member::new(AT_FIVE, SECOND);
    assert_eq!(member.receive_purges(0, 2, 5, &[6]), MemberAction::Resync);
    assert_eq!(member.receive_flush(Progress { epoch: 2, through: 1 }), MemberAction::InvalidateAll);
    assert_eq!(member.receive_flush(Progress { epoch: 2, through: 1 }), MemberAction::Ignore);
    assert_eq!(member.receive_purges(0, 1, 5, &[6]), MemberAction::Ignore);
    assert_eq!(member.receive_flush(AT_FIVE), MemberAction::Ignore);
    assert_eq!(member.receive_purges(0, 2, 1, &[2]), MemberAction::Invalidate(&[2]));
}

#[test]
fn a_member_fits_into_64_bytes() {
    assert!(size_of::<Member>() <= 64, "{}", size_of::<Member>());
}

proptest! {
    /// For any sequence of frames, a member at position N has invalidated each entry of this epoch up to N,
    /// or has dropped every object.
    #[test]
    fn every_entry_up_to_the_position_was_applied(frames in prop::collection::vec((1u64..4, 0u64..30, 0usize..10, any::<bool>()), 0..80)) {
        let mut member = Member::new(Progress::default(), SECOND);
        // The number up to which all entries were invalidated, by epoch. A flush invalidates everything.
        let mut applied: BTreeMap<u64, u64> = BTreeMap::new();
        for (now, (epoch, after, count, flush)) in frames.into_iter().enumerate() {
            let before = member.progress();
            if flush {
                if member.receive_flush(Progress { epoch, through: after }) == MemberAction::InvalidateAll {
                    applied.insert(epoch, after);
                }
            } else {
                let keys: Vec<u64> = (after + 1..).take(count).collect();
                if let MemberAction::Invalidate(keys) = member.receive_purges(now as Nanos * RESYNC_INTERVAL, epoch, after, &keys) {
                    let through = applied.entry(epoch).or_default();
                    for key in keys {
                        prop_assert_eq!(*key, *through + 1);
                        *through += 1;
                    }
                }
            }
            let now = member.progress();
            prop_assert!((now.epoch, now.through) >= (before.epoch, before.through));
            prop_assert!(now.is_empty() || applied.get(&now.epoch) == Some(&now.through));
        }
    }
}
