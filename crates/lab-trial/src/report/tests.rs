use super::*;

#[test]
fn a_trial_that_ran_late_or_sent_no_requests_is_void() {
    let at = |p99_ms| Percentiles { p99_ms, ..Percentiles::default() };
    assert_eq!(void(10, 0, &at(2.0), &at(2.0)), None);
    assert!(void(0, 0, &at(2.0), &at(2.0)).is_some_and(|why| why.contains("no request")));
    assert!(void(10, 1, &at(2.0), &at(2.0)).is_some_and(|why| why.contains("not sent")));
    assert!(void(10, 0, &at(26.0), &at(2.0)).is_some_and(|why| why.contains("site")));
    assert!(void(10, 0, &at(2.0), &at(26.0)).is_some_and(|why| why.contains("load")));
}
