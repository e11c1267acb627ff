//! Each tenant's share as it counts at this proxy: its even part of the rate, with a second's worth kept.

use aniseyoke_decision::api::{Nanos, Tenant};

/// A second, in nanoseconds.
const SECOND: f64 = 1e9;

/// What each tenant may still send within its share: one token bucket each.
pub struct Shares {
    /// Rate a second, tokens, and when they were counted.
    buckets: Vec<(f64, f64, Nanos)>,
}

impl Shares {
    /// Full buckets; `proxies` is by how many the shares are divided.
    pub fn new(tenants: &[Tenant], proxies: u32) -> Self {
        let rate = |t: &Tenant| t.quota_rps.max(0.0) / f64::from(proxies.max(1));
        Shares { buckets: tenants.iter().map(rate).map(|r| (r, r.max(1.0), 0)).collect() }
    }

    /// Takes one request of a tenant; whether it lies within its share. Requests without a tenant do.
    pub fn take(&mut self, now: Nanos, tenant: Option<usize>) -> bool {
        let Some((rate, left, at)) = tenant.and_then(|t| self.buckets.get_mut(t)) else { return true };
        let passed = now.saturating_sub(*at) as f64 / SECOND;
        *left = (*left + passed * *rate).min(rate.max(1.0));
        *at = now;
        let within = *left >= 1.0;
        if within {
            *left -= 1.0;
        }
        within
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_tenant_at_ten_times_its_share_is_within_it_for_a_tenth() {
        let mut shares = Shares::new(&[Tenant { quota_rps: 100.0 }], 1);
        let within = (0..10_000u64).filter(|n| shares.take(n * 1_000_000, Some(0))).count();
        assert!((1000..=1110).contains(&within), "{within} of 10,000 in ten seconds at 100 a second");
    }

    #[test]
    fn who_has_no_share_is_within_it() {
        let mut shares = Shares::new(&[], 2);
        assert!((0..100).all(|_| shares.take(0, None) && shares.take(0, Some(3))));
    }
}
