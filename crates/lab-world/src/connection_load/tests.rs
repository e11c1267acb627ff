use super::*;

#[test]
fn connections_past_a_nodes_limits_are_rejected_and_counted() {
    let limits = ConnectionLimits { connections: Some(3), opens_per_second: Some(2) };
    let mut counters = ConnectionLoad::new(limits);
    let accepted: Vec<bool> = (0..3).map(|_| counters.opened(0, 1, false)).collect();
    assert_eq!(accepted, [true, true, false], "at most two opened per second");
    counters.closed(1);
    assert!(counters.opened(SECOND, 1, false) && !counters.opened(SECOND, 1, false), "at most three open");
    assert!(counters.opened(SECOND, 2, false), "limits apply to each node separately");
    (0..9).for_each(|_| assert!(counters.opened(SECOND, 0, true), "the origin has no limits"));
    counters.in_flight(1, false, true);
    counters.in_flight(1, false, true);
    counters.in_flight(1, false, false);
    counters.rejected(false);
    let [nodes, origin] = counters.load();
    assert_eq!(
        (&nodes.opened[..], &nodes.max_opened[..], &nodes.rejected_connections[..]),
        (&[3, 3][..], &[3, 2][..], &[1, 1][..])
    );
    assert_eq!((nodes.max_open, nodes.max_in_flight, origin.max_open), (4, 2, 9));
    assert_eq!((nodes.rejected_attempts, origin.rejected_attempts), (1, 0));
}
