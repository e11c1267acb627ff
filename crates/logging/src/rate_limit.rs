//! Limits the lines of each call site with a token bucket: a burst, then a number of lines per second. The
//! caller passes the time.

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Nanoseconds since an arbitrary fixed point.
type Nanos = u64;

/// The rate limit of one call site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// The number of lines that may be written at once.
    pub burst: u32,
    /// The number of lines per second after the burst.
    pub per_second: u32,
}

impl Default for RateLimit {
    fn default() -> Self {
        RateLimit { burst: 100, per_second: 1 }
    }
}

/// Whether a line is written or suppressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The line is written.
    Written {
        /// The number of lines that were suppressed since the last written one.
        suppressed: u64,
    },
    /// The line is suppressed.
    Suppressed,
}

struct Bucket {
    tokens: f64,
    /// When tokens were last added.
    refilled: Nanos,
    suppressed: u64,
}

/// The token buckets of all call sites. Their number is bounded by the number of call sites in the program.
pub struct RateLimiter<K> {
    limit: RateLimit,
    buckets: FxHashMap<K, Bucket>,
}

impl<K: Hash + Eq + Clone> RateLimiter<K> {
    /// Creates a limiter with full buckets.
    pub fn new(limit: RateLimit) -> Self {
        RateLimiter { limit, buckets: FxHashMap::default() }
    }

    /// Takes a token for a line of a call site, and returns whether the line may be written.
    pub fn admit(&mut self, now: Nanos, call_site: K) -> Admission {
        let burst = f64::from(self.limit.burst.max(1));
        let full = Bucket { tokens: burst, refilled: now, suppressed: 0 };
        let bucket = self.buckets.entry(call_site).or_insert(full);
        let elapsed_s = now.saturating_sub(bucket.refilled) as f64 / 1e9;
        bucket.tokens = (bucket.tokens + elapsed_s * f64::from(self.limit.per_second)).min(burst);
        bucket.refilled = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return Admission::Suppressed;
        }
        bucket.tokens -= 1.0;
        Admission::Written { suppressed: std::mem::take(&mut bucket.suppressed) }
    }

    /// Returns the call sites with unreported suppressed lines and their number, and marks them as reported.
    pub fn take_suppressed(&mut self) -> Vec<(K, u64)> {
        let buckets = self.buckets.iter_mut().filter(|(_, bucket)| bucket.suppressed > 0);
        buckets.map(|(site, bucket)| (site.clone(), std::mem::take(&mut bucket.suppressed))).collect()
    }
}

#[cfg(test)]
mod tests;
