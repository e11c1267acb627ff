use super::*;

#[test]
fn only_requests_served_within_the_objective_count_as_good_and_aborted_ones_are_excluded() {
    let day = Day::open("quiet").expect("built in");
    let mut stats = LoadStats::new(&day);
    stats.add(0, 0, Outcome::Served, 0, 5_000_000, 2.0);
    stats.add(0, 1, Outcome::Late, SECOND, 9_000_000, 2.0);
    stats.add(1, 0, Outcome::Left, SECOND, 1_000_000, 10.0);
    assert_eq!((stats.all.goodput(), stats.all.requests()), (0.5, 3));
    assert_eq!((stats.tenants[0].goodput(), stats.tenants[1].goodput()), (1.0, 0.0));
    let second = |good, offered| Goodput { good, offered };
    assert_eq!(stats.seconds[..2], [second(2.0, 2.0), second(0.0, 2.0)]);
    assert_eq!(serde_json::to_string(&stats.seconds[..2]).expect("JSON"), "[[2.0,2.0],[0.0,2.0]]");
    assert_eq!((stats.outcomes[0][0], stats.outcomes[1][1], stats.outcomes[1][7]), (1, 1, 1));
    assert_eq!(stats.classes[0].served.len(), 2);
    assert_eq!(stats.classes[1].count(Outcome::Left), 1);
}
