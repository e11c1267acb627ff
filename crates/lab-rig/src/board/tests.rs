use super::*;

fn fault(fault: Fault, a: &str, b: &str) -> ActiveFault {
    let sets = |s: &str| s.split(',').map(|w| LinkEnds::parse(w).unwrap()).collect();
    ActiveFault {
        id: 0,
        fault,
        a: sets(a),
        b: sets(b),
        fraction: 0.5,
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(5),
        rate: 1000,
        injected_at: 0,
    }
}

#[test]
fn sets_are_parsed_and_invalid_names_are_reported() {
    assert_eq!(LinkEnds::parse("proxy:2-4"), Ok(LinkEnds::Range(2, 4)));
    assert_eq!(LinkEnds::parse("proxy:7"), Ok(LinkEnds::Range(7, 7)));
    assert!(LinkEnds::parse("proxy:4-2").unwrap_err().to_string().contains("4 comes after 2"));
    assert!(LinkEnds::parse("proxy:x").unwrap_err().to_string().contains("`x` is not a number"));
    assert!(LinkEnds::parse("cluster").unwrap_err().to_string().contains("`cluster` is not a set"));
    assert!(
        LinkEnds::Range(2, 4).contains(LinkEnd::Proxy(3))
            && !LinkEnds::Range(2, 4).contains(LinkEnd::Proxy(5))
    );
}

#[test]
fn a_partition_silences_only_the_links_between_its_sides_in_both_directions() {
    let board = FaultBoard::default();
    board.inject(fault(Fault::Partition, "proxy:0-1", "discovery"));
    let faults = board.now();
    assert!(faults.effect(LinkEnd::Proxy(1), LinkEnd::Discovery).silent);
    assert!(faults.effect(LinkEnd::Discovery, LinkEnd::Proxy(0)).silent);
    assert!(!faults.effect(LinkEnd::Proxy(2), LinkEnd::Discovery).silent);
    assert!(!faults.effect(LinkEnd::Proxy(0), LinkEnd::Ledger).silent);
    board.clear(0);
    assert_eq!(board.now().effect(LinkEnd::Proxy(1), LinkEnd::Discovery), LinkEffect::default());
}

#[test]
fn effects_combine_and_half_open_affects_only_open_connections() {
    let board = FaultBoard::default();
    board.inject(fault(Fault::Delay, "proxies", "nodes"));
    board.inject(fault(Fault::Delay, "proxy:0", "nodes"));
    board.inject(fault(Fault::Bandwidth, "proxies", "nodes"));
    let node = LinkEnd::Node(SocketAddr::from(([127, 0, 0, 1], 9)));
    let effect = board.now().effect(LinkEnd::Proxy(0), node);
    assert_eq!((effect.delay, effect.rate), (Duration::from_millis(60), Some(1000)));
    let opened_before = board.now().changes;
    board.inject(fault(Fault::HalfOpen, "proxies", "nodes"));
    let effect = board.now().effect(LinkEnd::Proxy(0), node);
    assert!(effect.half_open(opened_before) && !effect.half_open(board.now().changes));
    board.inject(fault(Fault::Drop, "proxies", "nodes"));
    board.inject(fault(Fault::Drop, "proxies", "nodes"));
    assert!((board.now().effect(LinkEnd::Proxy(3), node).drop - 0.75).abs() < 1e-9);
}
