use super::*;

#[test]
fn only_a_recent_list_of_this_site_that_is_not_outdated_is_used() {
    let list = ListMetadata { site: "a".into(), version: 7, confirmed_unix_ms: 1_000_000 };
    let check = |own_site, known, now| check_age(&list, own_site, known, now, Duration::from_secs(600));
    assert_eq!(check("a", None, 1_030_000), Ok(Duration::from_secs(30)));
    assert_eq!(check("a", Some(7), 990_000), Ok(Duration::ZERO), "clocks differ a little");
    assert!(matches!(check("b", None, 1_030_000), Err(UnusableList::OtherSite { .. })));
    assert_eq!(check("a", None, 1_601_000), Err(UnusableList::TooOld(Duration::from_secs(601))));
    assert_eq!(check("a", None, 900_000), Err(UnusableList::FromTheFuture(Duration::from_secs(100))));
    assert_eq!(check("a", Some(8), 1_030_000), Err(UnusableList::Outdated { stored: 7, known: 8 }));
}
