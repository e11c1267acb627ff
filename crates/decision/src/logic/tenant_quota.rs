//! Tenant quotas: whether a tenant is within its quota, which is divided evenly among the proxies.

use super::*;

impl Admission {
    /// Whether a tenant is within its quota, after `served` more requests are counted. Only served requests
    /// count: counting attempts would use up the quota with retries of requests that full servers rejected.
    pub fn within_quota(&mut self, now: Nanos, tenant: Option<usize>, served: f64) -> bool {
        let Some(t) = tenant.filter(|&t| t < self.quotas.len()) else { return true };
        let proxies = f64::from(self.settings.proxies.max(1));
        let rate = self.settings.tenants[t].quota_rps.max(0.0) / proxies;
        let quota = &mut self.quotas[t];
        quota.tokens = quota.refill(now, rate, rate.max(1.0)) - served;
        quota.tokens >= 0.0
    }
}
