use super::*;

#[test]
fn a_tenant_at_ten_times_its_quota_is_within_it_for_a_tenth_of_its_requests() {
    let mut quotas = TenantQuotas::new(&[Tenant { quota_rps: 100.0 }], 1);
    let within = (0..10_000u64).filter(|n| quotas.take_token(n * 1_000_000, Some(0))).count();
    assert!((1000..=1110).contains(&within), "{within} of 10,000 in ten seconds at 100 a second");
}

#[test]
fn requests_without_a_quota_are_always_within_it() {
    let mut quotas = TenantQuotas::new(&[], 2);
    assert!((0..100).all(|_| quotas.take_token(0, None) && quotas.take_token(0, Some(3))));
}
