use super::*;

#[test]
fn only_what_is_served_in_time_counts_as_good_and_who_leaves_counts_for_nothing() {
    let day = Day::open("quiet").expect("built in");
    let mut tally = Tally::new(&day);
    tally.add(0, 0, Outcome::Served, 0, 5_000_000, 2.0);
    tally.add(0, 1, Outcome::Late, SECOND, 9_000_000, 2.0);
    tally.add(1, 0, Outcome::Left, SECOND, 1_000_000, 10.0);
    assert_eq!((tally.all.goodput(), tally.all.requests()), (0.5, 3));
    assert_eq!((tally.tenants[0].goodput(), tally.tenants[1].goodput()), (1.0, 0.0));
    assert_eq!(tally.seconds[..2], [(2.0, 2.0), (0.0, 2.0)]);
    assert_eq!((tally.outcomes[0][0], tally.outcomes[1][1], tally.outcomes[1][7]), (1, 1, 1));
    assert_eq!(tally.classes[0].served.len(), 2);
    assert_eq!(tally.classes[1].count(Outcome::Left), 1);
}
