//! How many lines of one call site are written: a burst, then so many a second (a token bucket). No clock: the time is
//! passed in.

use rustc_hash::FxHashMap;
use std::hash::Hash;

/// Nanoseconds from any fixed point.
type Nanos = u64;

/// The rate limit of one call site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// So many lines at once.
    pub burst: u32,
    /// So many a second after that.
    pub per_second: u32,
}

impl Default for RateLimit {
    fn default() -> Self {
        RateLimit { burst: 100, per_second: 1 }
    }
}

/// Whether a line is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is written.
    Written {
        /// How many lines were suppressed since the last one that was written.
        suppressed: u64,
    },
    /// It is not.
    Suppressed,
}

struct Bucket {
    tokens: f64,
    /// When tokens were last added.
    refilled: Nanos,
    suppressed: u64,
}

/// The rate limits of all call sites. There are as many buckets as call sites, so that the table is bounded by the program.
pub struct RateLimiter<K> {
    limit: RateLimit,
    buckets: FxHashMap<K, Bucket>,
}

impl<K: Hash + Eq + Clone> RateLimiter<K> {
    /// A limiter that has seen no line.
    pub fn new(limit: RateLimit) -> Self {
        RateLimiter { limit, buckets: FxHashMap::default() }
    }

    /// A line of a call site is to be written.
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

    /// The call sites with suppressed lines that were not reported, and how many; they count as reported from now on.
    pub fn take_suppressed(&mut self) -> Vec<(K, u64)> {
        let buckets = self.buckets.iter_mut().filter(|(_, bucket)| bucket.suppressed > 0);
        buckets.map(|(site, bucket)| (site.clone(), std::mem::take(&mut bucket.suppressed))).collect()
    }
}

#[cfg(test)]
mod tests;
