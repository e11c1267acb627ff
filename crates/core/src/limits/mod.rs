//! Concurrency limits, the queue of each node, and tenant quotas.
//!
//! This module reads no clock and does no I/O: the caller passes the current time, asks for admission of each
//! attempt, executes the result ([`Admission`], [`QueueAction`]) and reports how the attempt ended. It does
//! not choose servers either: the decision module is notified of each node's limit by
//! `Event::ConcurrencyLimit` and takes it into account. An attempt sent to a node without capacity waits in
//! that node's [`Queue`] for a bounded time; if no capacity is freed for it in that time, it is returned as
//! rejected and never executed.

mod concurrency;
mod config;
mod latency;
mod messages;
mod queue;
mod quotas;

pub use concurrency::ConcurrencyLimit;
pub use config::{ConcurrencyBounds, LimitsConfig, LimitsConfigError, QueueConfig};
pub use messages::{Admission, AdmissionRequest, AttemptId, CompletedAttempt, QueueAction, Released};
pub use queue::{Eligible, Queue, QueueFull, QueuePriority};
pub use quotas::TenantQuotas;

use aniseyoke_decision::api::{Entry, Nanos, ServerId, Settings, State, Status};
use latency::TypicalLatency;
use rustc_hash::{FxHashMap, FxHashSet};

/// Maximum number of nodes with stored state; the least recently used idle one is evicted first.
const MAX_NODES: usize = 1 << 14;
/// Changes of a limit up to this fraction are not reported to the decision module.
const REPORT_THRESHOLD: f64 = 0.1;

/// The state of one node.
struct Node {
    limit: ConcurrencyLimit,
    queue: Queue<AttemptId>,
    /// The limit last reported to the decision module, if any.
    reported_limit: Option<f64>,
    last_used: Nanos,
    /// When its process started, according to the endpoint list.
    process_started: Nanos,
}

/// The limits of one proxy: the concurrency limits and queues of all nodes, and this proxy's share of tenant
/// quotas.
pub struct Limits {
    config: LimitsConfig,
    /// Priority weight by class.
    class_weights: Vec<f64>,
    /// Factor applied to the weight of a request over its tenant's quota.
    over_quota_weight: f64,
    quotas: TenantQuotas,
    /// Typical latency by class.
    latencies: Vec<TypicalLatency>,
    nodes: FxHashMap<ServerId, Node>,
    /// The machine kind of the origin, if the proxy fetches from the origin itself.
    origin_kind: Option<u32>,
    /// Servers of that kind.
    origins: FxHashSet<ServerId>,
    waiting: FxHashMap<AttemptId, ServerId>,
    rejected: u64,
}

impl Limits {
    /// Creates limits without any measurements.
    ///
    /// # Errors
    /// Returns the first key of the configuration with an invalid value.
    pub fn new(config: LimitsConfig, settings: &Settings) -> Result<Self, LimitsConfigError> {
        config.check()?;
        Ok(Limits {
            quotas: TenantQuotas::new(&settings.tenants, settings.proxies),
            class_weights: settings.classes.iter().map(|class| class.priority_weight.max(0.0)).collect(),
            over_quota_weight: settings.over_quota_weight.clamp(0.0, 1.0),
            latencies: vec![TypicalLatency::default(); settings.classes.len()],
            config,
            nodes: FxHashMap::default(),
            origin_kind: settings.origin_kind.filter(|_| settings.cache_aside),
            origins: FxHashSet::default(),
            waiting: FxHashMap::default(),
            rejected: 0,
        })
    }

    /// Applies a new configuration and new quotas. The current limits of nodes are clamped to the new bounds;
    /// waiting attempts stay queued.
    ///
    /// # Errors
    /// Same as for [`Self::new`]; nothing is changed then.
    pub fn reconfigure(
        &mut self,
        config: LimitsConfig,
        settings: &Settings,
    ) -> Result<(), LimitsConfigError> {
        let updated = Limits::new(config, settings)?;
        for (server, node) in &mut self.nodes {
            let is_origin = self.origins.contains(server);
            node.limit.reconfigure(if is_origin { updated.config.origin } else { updated.config.node });
            node.queue.reconfigure(updated.config.queue);
        }
        self.config = updated.config;
        self.quotas = updated.quotas;
        self.class_weights = updated.class_weights;
        self.over_quota_weight = updated.over_quota_weight;
        Ok(())
    }

    /// Removes all limits; returns the attempts that waited and the servers that are no longer limited.
    pub fn release(self) -> Released {
        let mut waiting: Vec<AttemptId> = self.waiting.into_keys().collect();
        waiting.sort_unstable();
        Released { waiting, servers: self.nodes.into_keys().collect() }
    }

    /// Returns the number of attempts waiting now at all nodes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of attempts rejected since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Returns the concurrency limit of a node; `None` if the node is unknown.
    pub fn limit(&self, server: ServerId) -> Option<f64> {
        self.nodes.get(&server).map(|node| node.limit.limit())
    }

    /// Decides whether an attempt may start. If it evicts another one from the queue, that one is appended to
    /// `actions`.
    pub fn admit(
        &mut self,
        now: Nanos,
        request: AdmissionRequest,
        actions: &mut Vec<QueueAction>,
    ) -> Admission {
        let within_quota = self.quotas.take_token(now, request.tenant);
        let usable_fraction = if within_quota { 1.0 } else { self.config.over_quota_fraction };
        let node = self.node(now, request.server);
        node.last_used = now;
        // No waiting attempt is overtaken: the queue was served when capacity was last freed, so those that
        // still wait may not start.
        if node.limit.has_capacity(usable_fraction) {
            node.limit.attempt_started();
            return Admission::Admitted;
        }
        self.enqueue(now, request, within_quota, actions)
    }

    /// Adds an attempt to its node's queue, or rejects it if the queue has no place for its priority.
    fn enqueue(
        &mut self,
        now: Nanos,
        request: AdmissionRequest,
        within_quota: bool,
        actions: &mut Vec<QueueAction>,
    ) -> Admission {
        let typical_latency = self.latencies.get(request.class).map_or(0, TypicalLatency::mean);
        let priority = QueuePriority {
            weight: self.weight(request.class, within_quota),
            enqueued_at: now,
            deadline: request.deadline.saturating_sub(typical_latency),
            within_quota,
            tenant: request.tenant,
        };
        let node = self.node(now, request.server);
        let Ok(evicted) = node.queue.push(request.attempt, priority) else {
            self.rejected += 1;
            return Admission::Rejected;
        };
        let wait = node.queue.max_wait(now, typical_latency).max(1);
        self.waiting.insert(request.attempt, request.server);
        if let Some(evicted) = evicted {
            self.waiting.remove(&evicted);
            self.rejected += 1;
            actions.push(QueueAction::Reject(evicted));
        }
        Admission::Queued(wait)
    }

    /// Returns the priority weight of a request.
    fn weight(&self, class: usize, within_quota: bool) -> f64 {
        let weight = self.class_weights.get(class).copied().unwrap_or(1.0);
        if within_quota {
            weight
        } else {
            weight * self.over_quota_weight
        }
    }

    /// Ends the wait of an attempt after the time given by [`Admission::Queued`]; returns whether it was
    /// still waiting and is therefore rejected.
    pub fn wait_expired(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let was_waiting = self.cancel(now, attempt);
        self.rejected += u64::from(was_waiting);
        was_waiting
    }

    /// Removes a cancelled attempt from its queue; returns whether it was waiting and therefore never sent.
    pub fn cancel(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(server) = self.waiting.remove(&attempt) else { return false };
        self.nodes.get_mut(&server).is_some_and(|node| node.queue.remove(now, attempt))
    }

    /// Records the end of an attempt that was started, and adapts its node's limit. Actions for waiting
    /// attempts are appended to `actions`. Returns the node's limit if it should be reported to the decision
    /// module.
    pub fn attempt_completed(
        &mut self,
        now: Nanos,
        completed: CompletedAttempt,
        actions: &mut Vec<QueueAction>,
    ) -> Option<f64> {
        let is_answer = completed.status == Status::Ok && completed.cache_hit != Some(false);
        let node = self.nodes.get_mut(&completed.server)?;
        let latency_ratio = match self.latencies.get_mut(completed.class) {
            Some(typical) if is_answer => {
                Some(typical.ratio(completed.elapsed, node.limit.is_lightly_loaded()))
            }
            _ => None,
        };
        node.limit.attempt_ended(now, completed.status, completed.elapsed, latency_ratio);
        self.serve_queue(now, completed.server, actions);
        self.limit_to_report(completed.server)
    }

    /// Starts attempts that wait at a node while there is capacity for them.
    fn serve_queue(&mut self, now: Nanos, server: ServerId, actions: &mut Vec<QueueAction>) {
        let Some(node) = self.nodes.get_mut(&server) else { return };
        loop {
            let eligible = if node.limit.has_capacity(self.config.over_quota_fraction) {
                Eligible::All
            } else if node.limit.has_capacity(1.0) {
                Eligible::WithinQuota
            } else {
                return;
            };
            let Some((attempt, priority)) = node.queue.pop(now, eligible) else { return };
            self.waiting.remove(&attempt);
            // An attempt that could no longer be answered in time is rejected instead of sent.
            if priority.deadline <= now {
                self.rejected += 1;
                actions.push(QueueAction::Reject(attempt));
            } else {
                node.limit.attempt_started();
                actions.push(QueueAction::Start(attempt));
            }
        }
    }

    /// Returns a node's limit if it changed enough since it was last reported to the decision module.
    fn limit_to_report(&mut self, server: ServerId) -> Option<f64> {
        let node = self.nodes.get_mut(&server)?;
        let limit = node.limit.limit();
        // The first limit is always reported, because there is no previous one to compare it with.
        let is_near = |reported: f64| (limit - reported).abs() <= REPORT_THRESHOLD * reported.max(1.0);
        if node.reported_limit.is_some_and(is_near) {
            return None;
        }
        node.reported_limit = Some(limit);
        Some(limit)
    }

    /// Processes an entry of the endpoint list. A node's measurements are discarded when its process has
    /// restarted.
    pub fn update_endpoint(&mut self, entry: &Entry) {
        // An origin takes many times the load of a node and needs its own bounds: attempts without capacity
        // there can't go to another server.
        if entry.state == State::Gone {
            self.origins.remove(&entry.server);
        } else if self.origin_kind == Some(entry.kind) && self.origins.len() < MAX_NODES {
            self.origins.insert(entry.server);
        }
        if let Some(node) = self.nodes.get_mut(&entry.server) {
            if std::mem::replace(&mut node.process_started, entry.started) != entry.started {
                node.limit.node_restarted();
            }
        }
    }

    /// Returns the state of a node, creating it when the node is first used.
    fn node(&mut self, now: Nanos, server: ServerId) -> &mut Node {
        if self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(&server) {
            self.evict_oldest_idle_node();
        }
        let config = &self.config;
        let bounds = if self.origins.contains(&server) { config.origin } else { config.node };
        self.nodes.entry(server).or_insert_with(|| Node {
            limit: ConcurrencyLimit::new(bounds),
            queue: Queue::new(config.queue),
            reported_limit: None,
            last_used: now,
            process_started: 0,
        })
    }

    fn evict_oldest_idle_node(&mut self) {
        let is_idle = |node: &Node| node.limit.in_flight() == 0 && node.queue.is_empty();
        let idle = self.nodes.iter().filter(|(_, node)| is_idle(node));
        let oldest = idle.min_by_key(|(_, node)| node.last_used).map(|(server, _)| *server);
        if let Some(oldest) = oldest {
            self.nodes.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
