//! This proxy's share of each tenant's quota: a token bucket that holds the tokens of one second.

use aniseyoke_decision::api::{Nanos, Tenant};

/// One second, in nanoseconds.
const SECOND: f64 = 1e9;

/// The token bucket of one tenant.
struct TokenBucket {
    /// Tokens added per second.
    rate: f64,
    tokens: f64,
    refilled_at: Nanos,
}

impl TokenBucket {
    fn full(rate: f64) -> Self {
        TokenBucket { rate, tokens: rate.max(1.0), refilled_at: 0 }
    }

    fn refill(&mut self, now: Nanos) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / SECOND;
        self.tokens = (self.tokens + elapsed_s * self.rate).min(self.rate.max(1.0));
        self.refilled_at = now;
    }

    fn take(&mut self, now: Nanos) -> bool {
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// The token buckets of all tenants.
pub struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    /// Creates full buckets; each tenant's quota is divided evenly among `proxies`.
    pub fn new(tenants: &[Tenant], proxies: u32) -> Self {
        let rate = |tenant: &Tenant| tenant.quota_rps.max(0.0) / f64::from(proxies.max(1));
        TenantQuotas { buckets: tenants.iter().map(rate).map(TokenBucket::full).collect() }
    }

    /// Takes a token for one request of a tenant; returns whether the request is within the quota. Requests
    /// without a tenant, or of an unknown one, always are.
    pub fn take_token(&mut self, now: Nanos, tenant: Option<usize>) -> bool {
        let bucket = tenant.and_then(|tenant| self.buckets.get_mut(tenant));
        bucket.is_none_or(|bucket| bucket.take(now))
    }
}

#[cfg(test)]
mod tests;
