use super::*;
use crate::told::{MARGIN, TOLD_AFTER};
use proptest::prelude::*;

#[test]
fn a_silent_call_is_followed_by_one_with_more_time_and_a_shorter_wait() {
    let mut watch = Watch::new(10 * SECOND);
    assert_eq!((watch.hold(), watch.limit(false)), (2600 * SECOND / 1000, CALL_WITHIN));
    watch.called(0);
    assert!(watch.late(), "one lost call says nothing of discovery");
    assert_eq!((watch.hold(), watch.limit(false)), (1600 * SECOND / 1000, CALL_WITHIN));
    watch.called(CALL_WITHIN);
    assert!(!watch.late());
    assert_eq!(watch.by(), Some(2 * CALL_WITHIN));
    watch.called(2 * CALL_WITHIN);
    // It comes after its wait, and later than it would where all is well.
    watch.answered(2 * CALL_WITHIN + 2700 * SECOND / 1000);
    assert_eq!((watch.by(), watch.hold()), (None, 1600 * SECOND / 1000));
    watch.called(4 * CALL_WITHIN);
    watch.answered(4 * CALL_WITHIN + SECOND);
    assert_eq!(watch.hold(), 2600 * SECOND / 1000);
}

#[test]
fn a_new_address_is_asked_for_the_whole_list_with_little_time_first() {
    let mut watch = Watch::new(0);
    watch.called(0);
    watch.late();
    watch.moved();
    assert_eq!((watch.limit(true), watch.by()), (WHOLE, None));
    watch.late();
    assert_eq!(watch.limit(true), ANSWERED);
}

/// What may become of a call: after which part of its time, and how long another would wait before the next.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered(f64),
    Failed(f64, u64),
    Late(u64),
    Moved(f64),
}

fn fate() -> impl Strategy<Value = Fate> {
    let part = || 0.0f64..1.0;
    prop_oneof![
        part().prop_map(Fate::Answered),
        (part(), 0u64..100_000).prop_map(|(part, ms)| Fate::Failed(part, ms)),
        (0u64..100_000).prop_map(Fate::Late),
        part().prop_map(Fate::Moved),
    ]
}

proptest! {
    /// Whatever becomes of the calls, and however long the waits of others are: discovery that can be reached from any
    /// moment on has been asked, and its answer awaited, before its changes count as told.
    #[test]
    fn from_any_moment_on_a_call_is_answered_before_a_change_counts_as_told(
        must_ask_in in 0u64..100, whole in any::<bool>(), fates in prop::collection::vec(fate(), 1..60)
    ) {
        let mut watch = Watch::new(must_ask_in * SECOND);
        let (mut now, mut last, mut whole) = (0u64, None::<(u64, bool)>, whole);
        for fate in fates {
            if let Some((last, first)) = last {
                // Discovery can be reached from just after the last call went out on. A first call at an address may be
                // given up early; the one after it is not.
                let given = watch.limit(whole);
                prop_assert!(given >= ANSWERED || first, "{given} at {now}");
                let told = if given >= ANSWERED { now + ANSWERED } else { now + given + ANSWERED };
                prop_assert!(told - last <= TOLD_AFTER - MARGIN, "{} after {last}", told - last);
            }
            let (limit, start) = (watch.limit(whole), now);
            watch.called(now);
            prop_assert!(limit <= CALL_WITHIN);
            let mut first = false;
            match fate {
                Fate::Answered(part) => {
                    now += (limit as f64 * part) as u64;
                    watch.answered(now);
                    whole = false;
                }
                Fate::Failed(part, ms) => {
                    now += (limit as f64 * part) as u64;
                    watch.failed();
                    now = (now + ms * SECOND / 1000).min(watch.by().expect("a time")).max(now);
                }
                Fate::Late(ms) => {
                    now += limit;
                    if !watch.late() {
                        now = (now + ms * SECOND / 1000).min(watch.by().expect("a time")).max(now);
                    }
                }
                Fate::Moved(part) => {
                    now += (limit as f64 * part) as u64;
                    watch.moved();
                    (whole, first) = (true, true);
                }
            }
            // A change of a moved discovery counts from the move on.
            last = Some((if first { now } else { start }, first));
        }
    }
}
