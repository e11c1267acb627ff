use super::*;

fn active(fault: Fault, a: &str, b: &str) -> Active {
    let groups = |s: &str| s.split(',').map(|w| Group::parse(w).unwrap()).collect();
    Active {
        id: 0,
        fault,
        a: groups(a),
        b: groups(b),
        part: 0.5,
        delay: Duration::from_millis(30),
        jitter: Duration::from_millis(5),
        rate: 1000,
        struck: 0,
    }
}

#[test]
fn sets_are_read_and_wrong_words_named() {
    assert_eq!(Group::parse("proxy:2-4"), Ok(Group::Range(2, 4)));
    assert_eq!(Group::parse("proxy:7"), Ok(Group::Range(7, 7)));
    assert!(Group::parse("proxy:4-2").unwrap_err().contains("4 comes after 2"));
    assert!(Group::parse("proxy:x").unwrap_err().contains("`x` is not a number"));
    assert!(Group::parse("cluster").unwrap_err().contains("`cluster` is no set"));
    assert!(Group::Range(2, 4).holds(Party::Proxy(3)) && !Group::Range(2, 4).holds(Party::Proxy(5)));
}

#[test]
fn a_partition_parts_only_the_links_between_its_sides_in_both_directions() {
    let board = Board::default();
    board.strike(active(Fault::Partition, "proxy:0-1", "discovery"));
    let faults = board.now();
    assert!(faults.effect(Party::Proxy(1), Party::Discovery).silent);
    assert!(faults.effect(Party::Discovery, Party::Proxy(0)).silent);
    assert!(!faults.effect(Party::Proxy(2), Party::Discovery).silent);
    assert!(!faults.effect(Party::Proxy(0), Party::Ledger).silent);
    board.lift(0);
    assert_eq!(board.now().effect(Party::Proxy(1), Party::Discovery), Effect::default());
}

#[test]
fn effects_add_up_and_half_open_strikes_only_what_was_open() {
    let board = Board::default();
    board.strike(active(Fault::Delay, "proxies", "nodes"));
    board.strike(active(Fault::Delay, "proxy:0", "nodes"));
    board.strike(active(Fault::Bandwidth, "proxies", "nodes"));
    let node = Party::Node(SocketAddr::from(([127, 0, 0, 1], 9)));
    let effect = board.now().effect(Party::Proxy(0), node);
    assert_eq!((effect.delay, effect.rate), (Duration::from_millis(60), Some(1000)));
    let born_before = board.now().changes;
    board.strike(active(Fault::HalfOpen, "proxies", "nodes"));
    let effect = board.now().effect(Party::Proxy(0), node);
    assert!(effect.stale(born_before) && !effect.stale(board.now().changes));
    board.strike(active(Fault::Drop, "proxies", "nodes"));
    board.strike(active(Fault::Drop, "proxies", "nodes"));
    assert!((board.now().effect(Party::Proxy(3), node).drop - 0.75).abs() < 1e-9);
}
