//! The decisions of the proxy, one module for each. The interface (types, settings, events, actions) is in
//! `src/api.rs`.
//!
//! A request passes through these modules, each of which owns its state:
//!
//! | decision | module |
//! | --- | --- |
//! | how much time the request has | `deadlines` |
//! | whether it is rejected unsent | `admission`, `tenant_quota`, `origin_protection` |
//! | which servers its key prefers | `key_affinity`, with the weights of `machine_capacity` |
//! | which servers are unavailable now | `outlier_ejection`, `slow_start` |
//! | which server gets it | `load_balancing` |
//! | whether the rules allow the attempt | `eligibility` |
//! | whether another attempt follows | `hedging`, `retries`, `retry_budget` |
//! | how long an answer that has begun is waited for | `response_wait` |
//!
//! `lifecycle` takes a request from its arrival to its single final answer, and passes the outcomes of its
//! attempts back to these modules. Each exception to the ordinary path has a comment with the failure that it
//! prevents. `traffic` keeps counts. Code that makes no decisions is outside this module: `servers.rs`,
//! `subscription.rs`, `latency.rs`, `arithmetic.rs`.

mod admission;
mod deadlines;
mod eligibility;
mod hedging;
mod key_affinity;
mod lifecycle;
mod load_balancing;
mod machine_capacity;
mod origin_protection;
mod outlier_ejection;
mod request;
mod response_wait;
mod retries;
mod retry_budget;
pub(crate) mod slow_start;
mod tenant_quota;
mod traffic;

use crate::api::*;
use crate::arithmetic::{
    indicator, mix, seconds_between, unit_interval, DecayingCounter, RandomSource, TokenBucket, MS, SECOND,
};
use crate::latency::LatencyProfile;
use crate::servers::{ReportedLoad, Server, ServerTable};
use crate::subscription::Subscription;
use admission::Admission;
use request::{ActiveRequest, Attempt, FailureCause};
use retries::FurtherAttempt;
use rustc_hash::FxHashMap;
use std::sync::Arc;

/// The decision module of one proxy.
pub struct Balancer {
    settings: Arc<Settings>,
    random: RandomSource,
    subscription: Subscription,
    servers: ServerTable,
    buckets: key_affinity::KeyBuckets,
    failure_rates: outlier_ejection::FailureRates,
    traffic: traffic::Traffic,
    retry_budget: retry_budget::RetryBudget,
    origin: origin_protection::OriginProtection,
    admission: Admission,
    reports: machine_capacity::ReportsByKind,
    work: slow_start::WorkByClass,
    utilization: machine_capacity::Utilization,
    requests: FxHashMap<RequestId, ActiveRequest>,
}

impl Balancer {
    /// Creates a module that has learned nothing yet. `seed` is the seed of all its random numbers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let settings = Arc::new(settings);
        let classes = settings.classes.len();
        Balancer {
            random: RandomSource(seed),
            subscription: Subscription::new(settings.clone()),
            servers: ServerTable::new(settings.clone()),
            buckets: key_affinity::KeyBuckets::new(&settings),
            failure_rates: outlier_ejection::FailureRates::default(),
            traffic: traffic::Traffic::new(classes),
            retry_budget: retry_budget::RetryBudget::new(settings.tenants.len()),
            origin: origin_protection::OriginProtection::new(settings.clone()),
            admission: Admission::new(settings.clone()),
            reports: machine_capacity::ReportsByKind::default(),
            work: slow_start::WorkByClass::new(classes),
            utilization: machine_capacity::Utilization::default(),
            requests: FxHashMap::default(),
            settings,
        }
    }

    /// Replaces the settings between two events; pending requests keep the settings that they arrived under.
    /// Returns false and changes nothing if the number of classes or tenants differs.
    pub fn update_settings(&mut self, settings: Settings) -> bool {
        let sizes = |s: &Settings| (s.classes.len(), s.tenants.len());
        if sizes(&settings) != sizes(&self.settings) {
            return false;
        }
        self.settings = Arc::new(settings);
        self.buckets.update_settings(&self.settings);
        self.servers.update_settings(self.settings.clone());
        self.origin.settings = self.settings.clone();
        self.admission.settings = self.settings.clone();
        true
    }

    /// Whether an operator has excluded a server.
    pub fn is_excluded(&self, server: ServerId) -> bool {
        self.servers.excluded.contains(&server)
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.traffic.started.get_or_insert(now);
        match event {
            Event::EndpointList { kind, entries } => self.endpoint_list(now, kind, entries, actions),
            Event::Arrival(request) => self.arrival(now, request, actions),
            Event::Outcome(o) => self.outcome(now, o, actions),
            Event::Timer(token) if token & hedging::TOKEN_BIT != 0 => {
                self.hedge(now, token & (hedging::TOKEN_BIT - 1), actions);
            }
            Event::Timer(token) => self.subscription.timer(token, actions),
            Event::ClientLeft(id) => self.client_left(now, id),
            Event::BodyReceived(id) => self.body_received(now, id),
            Event::Excluded(server) => self.servers.set_excluded(now, server, true, actions),
            Event::Included(server) => self.servers.set_excluded(now, server, false, actions),
            Event::LoadReport { server, load } => self.record_load_report(now, server, load),
            Event::ConcurrencyLimit { server, limit } => {
                if let Some(s) = self.servers.get_mut(server) {
                    s.concurrency_limit = Some(limit);
                }
            }
            Event::ResponseStarted { id, attempt } => self.response_started(now, id, attempt, actions),
            Event::AnswerBegun(id) => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.answer_begun = true;
                }
            }
        }
    }

    fn endpoint_list(&mut self, now: Nanos, kind: ListKind, entries: Vec<Entry>, actions: &mut Vec<Action>) {
        if kind != ListKind::Failed {
            let gone = self.servers.update(now, kind, entries, &mut self.random, actions);
            self.origin.release(gone);
        }
        self.subscription.list_received(kind, &mut self.random, actions);
    }
}
