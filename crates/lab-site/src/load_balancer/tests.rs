use super::*;

#[test]
fn connections_rotate_over_healthy_proxies_and_reach_dead_ones_until_detection() {
    let addr = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let load_balancer = LoadBalancer::new(&[addr(1), addr(2), addr(3)], Duration::ZERO);
    let picked = |n| (0..n).map(|_| load_balancer.pick().0).collect::<Vec<_>>();
    assert_eq!(picked(4), [0, 1, 2, 0]);
    load_balancer.record_health(1, Health::Unhealthy);
    assert_eq!(picked(3), [2, 0, 2]);
    load_balancer.record_health(0, Health::NoResponse);
    std::thread::sleep(Duration::from_millis(1));
    assert_eq!(picked(2), [2, 2]);
    load_balancer.record_health(2, Health::Unhealthy);
    assert!(picked(4).iter().all(|n| *n != 0), "an unhealthy proxy is preferred to an unresponsive one");
    load_balancer.set_addr(0, addr(9));
    assert_eq!(load_balancer.pick(), (0, addr(9)));
}
