use super::*;

#[test]
fn connections_go_round_the_well_and_to_the_dead_until_they_are_noticed() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let front = Front::new(&[addr(1), addr(2), addr(3)], Duration::ZERO);
    let dealt = |n| (0..n).map(|_| front.deal().0).collect::<Vec<_>>();
    assert_eq!(dealt(4), [0, 1, 2, 0]);
    front.looked(1, Health::Unwell);
    assert_eq!(dealt(3), [2, 0, 2]);
    front.looked(0, Health::Dead);
    std::thread::sleep(Duration::from_millis(1));
    assert_eq!(dealt(2), [2, 2]);
    front.looked(2, Health::Unwell);
    assert!(dealt(4).iter().all(|n| *n != 0), "unwell before known dead");
    front.moved(0, addr(9));
    assert_eq!(front.deal(), (0, addr(9)));
}
