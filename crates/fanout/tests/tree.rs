//! A root, relays and leaves under random sequences of disconnects, losses, duplicates and restarts.

mod net;

use aniseyoke_fanout::Progress;
use net::{Net, Op};
use proptest::prelude::*;

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (1usize..30).prop_map(Op::Purge),
        6 => (1u64..40).prop_map(Op::Wait),
        1 => (40u64..500).prop_map(Op::Wait),
        3 => (any::<usize>(), any::<bool>()).prop_map(|(n, unnoticed)| Op::Cut(n, unnoticed)),
        2 => (any::<usize>(), any::<bool>(), any::<bool>()).prop_map(|(n, up, down)| Op::Lose(n, up, down)),
        3 => any::<usize>().prop_map(Op::Drop),
        2 => any::<usize>().prop_map(Op::Duplicate),
        2 => any::<usize>().prop_map(Op::RestartRelay),
        2 => any::<usize>().prop_map(Op::RestartLeaf),
        1 => Just(Op::RestartRoot),
        1 => Just(Op::LoseLog),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// A member at position N has applied each entry up to N, or dropped every object. A position is reported
    /// without lagging members only if every member that claims to be fresh has reached it. After the faults
    /// end, all members reach the newest position. `Net` asserts the first two invariants at each step.
    #[test]
    fn no_position_is_claimed_that_was_not_applied(ops in prop::collection::vec(op(), 1..60), entries in prop_oneof![Just(20usize), Just(100_000)], seed in any::<u64>()) {
        let mut net = Net::new(2, 4, entries, seed);
        for op in ops {
            net.apply(op);
        }
        net.recover();
        let newest = net.newest();
        let all: Vec<Progress> = net.leaves().collect();
        prop_assert!(all.iter().all(|position| *position == newest), "{newest:?} {all:?}");
        let report = net.last_report();
        prop_assert_eq!((report.position, report.lagging), (newest, 0), "{:?}", report.names);
        prop_assert!(net.all_fresh());
    }
}
