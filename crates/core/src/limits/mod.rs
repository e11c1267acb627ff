//! Concurrency limits, the queue of each node, and tenants' quotas.
//!
//! Nothing here reads a clock or a socket: the caller passes the time, asks for admission of each attempt, reports how the
//! attempt ended, and does what it is told ([`Admission`], [`QueueAction`]). No server is chosen here either: the decision
//! module hears each node's limit by `Event::ConcurrencyLimit` and chooses by it. What it sends to a node without capacity waits in that
//! node's [`Queue`] for a bounded time, and is given back as rejected and never executed when it does not get its turn.

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

/// Most nodes that are remembered; idle ones that were used longest ago are forgotten first.
const MAX_NODES: usize = 1 << 14;
/// A limit that changed by less than this fraction is not reported to the decision module.
const REPORT_THRESHOLD: f64 = 0.1;

/// What is known of one node.
struct Node {
    limit: ConcurrencyLimit,
    queue: Queue<AttemptId>,
    /// The limit that the decision module heard of last, if of any.
    reported_limit: Option<f64>,
    last_used: Nanos,
    /// When its process started, by the endpoint list.
    process_started: Nanos,
}

/// The limits of one proxy: the owner of all nodes' limits and queues and of the tenants' quotas at this proxy.
pub struct Limits {
    config: LimitsConfig,
    /// Priority weight by class.
    class_weights: Vec<f64>,
    /// What the weight of a request over its tenant's quota is multiplied by.
    over_quota_weight: f64,
    quotas: TenantQuotas,
    /// Typical latency by class.
    latencies: Vec<TypicalLatency>,
    nodes: FxHashMap<ServerId, Node>,
    /// The machine kind of the origin, where the proxy fetches from it itself.
    origin_kind: Option<u32>,
    /// Servers of that kind.
    origins: FxHashSet<ServerId>,
    waiting: FxHashMap<AttemptId, ServerId>,
    rejected: u64,
}

impl Limits {
    /// Limits with nothing learnt yet.
    ///
    /// # Errors
    /// The first key of the configuration whose value is not accepted.
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

    /// Applies another configuration and other quotas from now on. What was learnt of nodes is clamped to the new bounds;
    /// what waits goes on waiting.
    ///
    /// # Errors
    /// As [`Self::new`]; nothing is changed then.
    pub fn reconfigure(
        &mut self,
        config: LimitsConfig,
        settings: &Settings,
    ) -> Result<(), LimitsConfigError> {
        let fresh = Limits::new(config, settings)?;
        for (server, node) in &mut self.nodes {
            let is_origin = self.origins.contains(server);
            node.limit.reconfigure(if is_origin { fresh.config.origin } else { fresh.config.node });
            node.queue.reconfigure(fresh.config.queue);
        }
        self.config = fresh.config;
        self.quotas = fresh.quotas;
        self.class_weights = fresh.class_weights;
        self.over_quota_weight = fresh.over_quota_weight;
        Ok(())
    }

    /// Removes all limits: returns the attempts that waited and the servers that are no longer limited.
    pub fn release(self) -> Released {
        let mut waiting: Vec<AttemptId> = self.waiting.into_keys().collect();
        waiting.sort_unstable();
        Released { waiting, servers: self.nodes.into_keys().collect() }
    }

    /// Attempts that wait now, over all nodes.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Attempts rejected here since the start.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// The concurrency limit of a node, if it is known.
    pub fn limit(&self, server: ServerId) -> Option<f64> {
        self.nodes.get(&server).map(|node| node.limit.limit())
    }

    /// Decides whether an attempt may start. The attempt that it evicts from the queue, if any, is appended to `actions`.
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
        // What waits had no capacity when some was freed last, so that nothing is overtaken that might start.
        if node.limit.has_capacity(usable_fraction) {
            node.limit.attempt_started();
            return Admission::Admitted;
        }
        self.enqueue(now, request, within_quota, actions)
    }

    /// Puts an attempt into its node's queue, if that has a place for its priority.
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

    /// The priority weight of a request.
    fn weight(&self, class: usize, within_quota: bool) -> f64 {
        let weight = self.class_weights.get(class).copied().unwrap_or(1.0);
        if within_quota {
            weight
        } else {
            weight * self.over_quota_weight
        }
    }

    /// Ends the wait of an attempt whose time from [`Admission::Queued`] is over; returns whether it still waited, and so is
    /// rejected.
    pub fn wait_expired(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let was_waiting = self.cancel(now, attempt);
        self.rejected += u64::from(was_waiting);
        was_waiting
    }

    /// Removes a cancelled attempt from its queue; returns whether it waited, and so was never sent.
    pub fn cancel(&mut self, now: Nanos, attempt: AttemptId) -> bool {
        let Some(server) = self.waiting.remove(&attempt) else { return false };
        self.nodes.get_mut(&server).is_some_and(|node| node.queue.remove(now, attempt))
    }

    /// Counts the end of an attempt that was started, and adapts its node's limit. What is to be done with waiting attempts is
    /// appended to `actions`; the node's limit is returned if the decision module should hear of it.
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

    /// Starts what waits at a node while there is capacity for it.
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
            // What could not be answered in time any more is rejected instead of sent.
            if priority.deadline <= now {
                self.rejected += 1;
                actions.push(QueueAction::Reject(attempt));
            } else {
                node.limit.attempt_started();
                actions.push(QueueAction::Start(attempt));
            }
        }
    }

    /// A node's limit, if it changed enough since the decision module last heard of it.
    fn limit_to_report(&mut self, server: ServerId) -> Option<f64> {
        let node = self.nodes.get_mut(&server)?;
        let limit = node.limit.limit();
        // Until the first report the module knows of no limit, from which no distance can be measured.
        let is_near = |reported: f64| (limit - reported).abs() <= REPORT_THRESHOLD * reported.max(1.0);
        if node.reported_limit.is_some_and(is_near) {
            return None;
        }
        node.reported_limit = Some(limit);
        Some(limit)
    }

    /// Takes note of an entry of the endpoint list. What was learnt of a node is forgotten when it has a new process.
    pub fn update_endpoint(&mut self, entry: &Entry) {
        // Danger: an origin bears many times what a node does, and what finds no capacity there has nowhere else to go.
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

    /// The state of a node, made when it is used for the first time.
    fn node(&mut self, now: Nanos, server: ServerId) -> &mut Node {
        if self.nodes.len() >= MAX_NODES && !self.nodes.contains_key(&server) {
            self.forget_oldest_idle_node();
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

    fn forget_oldest_idle_node(&mut self) {
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
