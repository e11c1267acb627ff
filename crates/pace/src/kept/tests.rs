use super::*;

#[test]
fn only_a_fresh_list_of_this_site_that_is_not_behind_is_used() {
    let label = Label { site: "a".into(), version: 7, at_ms: 1_000_000 };
    let judged = |own, known, now| judge(&label, own, known, now, Duration::from_secs(600));
    assert_eq!(judged("a", None, 1_030_000), Ok(Duration::from_secs(30)));
    assert_eq!(judged("a", Some(7), 990_000), Ok(Duration::ZERO), "clocks differ a little");
    assert!(matches!(judged("b", None, 1_030_000), Err(Unfit::Site { .. })));
    assert_eq!(judged("a", None, 1_601_000), Err(Unfit::Old(Duration::from_secs(601))));
    assert_eq!(judged("a", None, 900_000), Err(Unfit::Ahead(Duration::from_secs(100))));
    assert_eq!(judged("a", Some(8), 1_030_000), Err(Unfit::Behind { kept: 7, known: 8 }));
}
