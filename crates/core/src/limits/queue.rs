//! The queue of attempts that wait for capacity at one node, bounded in length and in waiting time. Attempts
//! with the highest priority weight are served first, and those with the lowest are evicted first.
//!
//! Waiting time is bounded by controlled delay in the form of Maurer's "Fail at Scale" (ACM Queue 2015),
//! after CoDel (Nichols and Jacobson 2012, RFC 8289). A queue that becomes empty from time to time holds a
//! burst, whose attempts may wait for an interval. A standing queue, one that has not been empty for an
//! interval, means overload: new attempts wait no longer than the target, the newest are served first, and
//! those not served in time are rejected. Among attempts of equal weight, the tenant with the fewest waiting
//! is served first and the one with the most is evicted first, similar to the priority of sparse flows in
//! FQ-CoDel (RFC 8290).

use super::QueueConfig;
use aniseyoke_decision::api::Nanos;
use rustc_hash::FxHashMap;
use std::cmp::Ordering;

/// The queue is full and evicts no attempt in favour of the new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the queue is full")]
pub struct QueueFull;

/// The properties that determine the order in which waiting attempts are served and evicted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuePriority {
    /// The priority weight of its class, reduced when it is over its tenant's quota.
    pub weight: f64,
    /// When it entered the queue.
    pub enqueued_at: Nanos,
    /// The latest start time at which its answer can still be in time.
    pub deadline: Nanos,
    /// Whether it is within its tenant's quota.
    pub within_quota: bool,
    /// Its tenant; all attempts without one count as one tenant.
    pub tenant: Option<usize>,
}

/// Which waiting attempts may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligible {
    /// All of them.
    All,
    /// Only those within their tenant's quota.
    WithinQuota,
}

impl Eligible {
    fn admits(self, priority: &QueuePriority) -> bool {
        self == Eligible::All || priority.within_quota
    }
}

/// One waiting attempt.
struct Waiting<T> {
    item: T,
    priority: QueuePriority,
}

/// The queue of one node. It holds a few dozen attempts, for which a linear scan is cheaper than an ordered
/// index.
pub struct Queue<T> {
    config: QueueConfig,
    /// In order of arrival.
    waiting: Vec<Waiting<T>>,
    /// Number of waiting attempts by tenant; tenants with none have no entry.
    waiting_by_tenant: FxHashMap<Option<usize>, usize>,
    /// When it was last empty.
    last_empty_at: Nanos,
}

impl<T: Copy + PartialEq> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: QueueConfig) -> Self {
        Queue { config, waiting: Vec::new(), waiting_by_tenant: FxHashMap::default(), last_empty_at: 0 }
    }

    /// Applies a new configuration to attempts that enter from now on.
    pub fn reconfigure(&mut self, config: QueueConfig) {
        self.config = config;
    }

    /// Whether no attempt waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the number of waiting attempts.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds an attempt; if the queue was full, returns the one that was evicted.
    ///
    /// # Errors
    /// [`QueueFull`] if it is full and no waiting attempt may be evicted, or if its maximum length is 0.
    pub fn push(&mut self, item: T, priority: QueuePriority) -> Result<Option<T>, QueueFull> {
        if self.waiting.is_empty() {
            self.last_empty_at = priority.enqueued_at;
        }
        let evicted = if self.waiting.len() >= self.config.max_length {
            Some(self.evict_for(&priority)?)
        } else {
            None
        };
        *self.waiting_by_tenant.entry(priority.tenant).or_default() += 1;
        self.waiting.push(Waiting { item, priority });
        Ok(evicted)
    }

    /// Removes the waiting attempt of the lowest priority, if the new one takes precedence over it.
    fn evict_for(&mut self, new: &QueuePriority) -> Result<T, QueueFull> {
        // Evicted first: the lowest weight, then the tenant with the most waiting, then the earliest
        // deadline.
        let eviction_order = |a: &QueuePriority, b: &QueuePriority| {
            let by_tenant_backlog = || self.waiting_count(b.tenant).cmp(&self.waiting_count(a.tenant));
            a.weight.total_cmp(&b.weight).then_with(by_tenant_backlog).then(a.deadline.cmp(&b.deadline))
        };
        let entries = self.waiting.iter().enumerate();
        let lowest = entries.min_by(|(_, a), (_, b)| eviction_order(&a.priority, &b.priority));
        let (index, lowest) = lowest.ok_or(QueueFull)?;
        let may_evict = match lowest.priority.weight.total_cmp(&new.weight) {
            Ordering::Less => true,
            Ordering::Equal => {
                self.waiting_count(lowest.priority.tenant) > self.waiting_count(new.tenant) + 1
            }
            Ordering::Greater => false,
        };
        if may_evict {
            Ok(self.remove_at(index).item)
        } else {
            Err(QueueFull)
        }
    }

    /// Returns the number of waiting attempts of a tenant.
    fn waiting_count(&self, tenant: Option<usize>) -> usize {
        self.waiting_by_tenant.get(&tenant).copied().unwrap_or(0)
    }

    /// Whether the queue has not been empty for an interval.
    fn is_standing(&self, now: Nanos) -> bool {
        !self.waiting.is_empty() && now.saturating_sub(self.last_empty_at) > self.config.interval_nanos()
    }

    /// Returns how long an attempt that enters now may wait. Capacity is freed only when an answer arrives,
    /// so a target below `typical_latency` can't be met (RFC 8289, section 4.2 says the same of the time to
    /// send a packet).
    pub fn max_wait(&self, now: Nanos, typical_latency: Nanos) -> Nanos {
        let interval = self.config.interval_nanos();
        if self.is_standing(now) {
            self.config.target_nanos().max(typical_latency).min(interval)
        } else {
            interval
        }
    }

    /// Removes and returns the eligible attempt to be served next: the highest weight, then the tenant with
    /// the fewest waiting; among equals the oldest, or the newest while the queue is standing.
    pub fn pop(&mut self, now: Nanos, eligible: Eligible) -> Option<(T, QueuePriority)> {
        let newest_first = self.is_standing(now);
        let mut best: Option<(usize, &QueuePriority)> = None;
        for (index, Waiting { priority, .. }) in self.waiting.iter().enumerate() {
            if !eligible.admits(priority) {
                continue;
            }
            let serves_before = best.is_none_or(|(_, best)| match self.service_order(priority, best) {
                Ordering::Greater => true,
                Ordering::Equal => newest_first,
                Ordering::Less => false,
            });
            if serves_before {
                best = Some((index, priority));
            }
        }
        let (index, _) = best?;
        let next = self.remove_at(index);
        self.record_if_empty(now);
        Some((next.item, next.priority))
    }

    /// `Greater` if `a` is served before `b`.
    fn service_order(&self, a: &QueuePriority, b: &QueuePriority) -> Ordering {
        let sparseness = || self.waiting_count(b.tenant).cmp(&self.waiting_count(a.tenant));
        a.weight.total_cmp(&b.weight).then_with(sparseness)
    }

    /// Removes an attempt from the queue; returns whether it was in it.
    pub fn remove(&mut self, now: Nanos, item: T) -> bool {
        let Some(index) = self.waiting.iter().position(|waiting| waiting.item == item) else { return false };
        self.remove_at(index);
        self.record_if_empty(now);
        true
    }

    fn remove_at(&mut self, index: usize) -> Waiting<T> {
        let removed = self.waiting.remove(index);
        if let Some(count) = self.waiting_by_tenant.get_mut(&removed.priority.tenant) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_tenant.remove(&removed.priority.tenant);
            }
        }
        removed
    }

    fn record_if_empty(&mut self, now: Nanos) {
        if self.waiting.is_empty() {
            self.last_empty_at = now;
            // Releases the memory used by a burst.
            self.waiting = Vec::new();
        }
    }
}

#[cfg(test)]
mod tests;
