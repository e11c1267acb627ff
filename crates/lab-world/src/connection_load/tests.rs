use super::*;

#[test]
fn what_is_past_a_nodes_limits_is_turned_away_and_counted() {
    let bears = Bears { connections: Some(3), opens_per_second: Some(2) };
    let mut toll = Toll::new(bears);
    let came: Vec<bool> = (0..3).map(|_| toll.opened(0, 1, false)).collect();
    assert_eq!(came, [true, true, false], "two a second");
    toll.closed(1);
    assert!(toll.opened(SECOND, 1, false) && !toll.opened(SECOND, 1, false), "three in all");
    assert!(toll.opened(SECOND, 2, false), "another node has its own");
    (0..9).for_each(|_| assert!(toll.opened(SECOND, 0, true), "the ledger takes all"));
    toll.out(1, false, true);
    toll.out(1, false, true);
    toll.out(1, false, false);
    toll.full(false);
    let [nodes, ledger] = toll.met();
    assert_eq!(
        (&nodes.opened[..], &nodes.opened_most[..], &nodes.turned[..]),
        (&[3, 3][..], &[3, 2][..], &[1, 1][..])
    );
    assert_eq!((nodes.held_most, nodes.out_most, ledger.held_most), (4, 2, 9));
    assert_eq!((nodes.full, ledger.full), (1, 0));
}
