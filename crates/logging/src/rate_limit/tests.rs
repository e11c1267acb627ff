use super::*;

const SECOND: Nanos = 1_000_000_000;

#[test]
fn a_burst_and_then_a_rate_of_lines_is_written_and_suppressed_lines_are_counted() {
    let mut limiter = RateLimiter::new(RateLimit { burst: 3, per_second: 2 });
    let mut written = |now| matches!(limiter.admit(now, 'a'), Admission::Written { .. });
    assert_eq!((0..10).filter(|_| written(0)).count(), 3);
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Written { suppressed: 7 });
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Written { suppressed: 0 });
    assert_eq!(limiter.admit(SECOND, 'a'), Admission::Suppressed);
}

#[test]
fn call_sites_have_separate_limits() {
    let mut limiter = RateLimiter::new(RateLimit { burst: 1, per_second: 1 });
    (0..100).for_each(|_| _ = limiter.admit(0, 'a'));
    assert_eq!(limiter.admit(0, 'b'), Admission::Written { suppressed: 0 });
    assert_eq!(limiter.take_suppressed(), [('a', 99)]);
    assert_eq!(limiter.take_suppressed(), [], "reported once");
}
