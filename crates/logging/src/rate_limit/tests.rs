use super::*;

const SECOND: Nanos = 1_000_000_000;

#[test]
fn a_burst_is_written_then_some_lines_a_second_and_suppressed_ones_are_counted() {
    let mut limiter = RateLimiter::new(RateLimit { burst: 3, per_second: 2 });
    let mut written = |now| matches!(limiter.admit(now, 'a'), Admission::Written { .. });
    assert_eq!((0..10).filter(|_| written(0)).count(), 3);
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Written { suppressed: 7 });
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Written { suppressed: 0 });
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Suppressed);
}

#[test]
fn one_call_site_does_not_use_up_the_lines_of_others() {
    let mut limiter = RateLimiter::new(RateLimit { burst: 1, per_second: 1 });
    (0..100).for_each(|_| _ = limiter.admit(0, 'a'));
    assert_eq!(limiter.admit(0, 'b'), Admission::Written { suppressed: 0 });
    assert_eq!(limiter.take_suppressed(), [('a', 99)]);
    assert_eq!(limiter.take_suppressed(), [], "reported once");
}
