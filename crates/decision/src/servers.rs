//! The table of servers: what the endpoint list and operators say of each, and what is in flight there.
//! Which of them gets a request is decided in [`crate::logic`].

use crate::api::*;
use crate::arithmetic::{indicator, mix, unit_interval, RandomSource};
use crate::logic::slow_start::Permits;
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// The least weight that a server is given, whatever the list says.
const WEIGHT_LEAST: f64 = 1e-6;
/// The greatest weight that a server is given, whatever the list says.
const WEIGHT_MOST: f64 = 1e9;

/// What a server has reported of its load.
#[derive(Clone, Copy, Default)]
pub struct ReportedLoad {
    /// The part of its cores that was busy.
    pub busy: f64,
    /// When the report came.
    pub at: Nanos,
}

/// A server of the endpoint list.
#[derive(Default)]
pub struct Server {
    /// Its entry in the list.
    pub entry: Entry,
    /// One divided by its weight.
    pub inverse_weight: f64,
    /// Attempts of this proxy in flight there.
    pub in_flight: f64,
    /// The evidence that it fails more than servers do on the whole: a sum of logarithms of odds.
    pub failure_evidence: f64,
    /// It is ejected as an outlier until then.
    pub ejected_until: Nanos,
    /// How long its last ejection took.
    pub ejection_time: Nanos,
    /// What it may be sent during slow start.
    pub permits: Permits,
    /// When an attempt there last ended on an open connection; 0: no connection could be had since.
    pub connected_at: Nanos,
    /// How many attempts may be in flight there, where that is limited.
    pub concurrency_limit: Option<f64>,
    /// Its last load report.
    pub reported: ReportedLoad,
    /// Operators have taken it out. It keeps its place in the hash, so that its keys return with it.
    pub excluded: bool,
    /// When operators gave it back; it may have been restarted meanwhile, whatever the list says.
    pub included_at: Nanos,
}

impl Server {
    /// The part of it that is busy, by a report no older than `fresh`.
    pub fn busy(&self, now: Nanos, fresh: Nanos) -> f64 {
        if self.reported.at.saturating_add(fresh) > now {
            self.reported.busy
        } else {
            0.0
        }
    }

    /// Whether it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready && !self.excluded
    }

    /// Forgets its failures.
    fn clear_failures(&mut self) {
        (self.failure_evidence, self.ejected_until, self.ejection_time) = (0.0, 0, 0);
    }
}

/// All servers of the list.
pub struct ServerTable {
    /// The settings in force.
    pub settings: Arc<Settings>,
    index_of: FxHashMap<ServerId, u32>,
    /// Servers by index; a free place holds one that is gone.
    pub servers: Vec<Server>,
    free: Vec<u32>,
    /// Servers that operators took out, listed or not.
    pub excluded: FxHashSet<ServerId>,
    /// Counts what changes the ranks of servers.
    pub version: u64,
    /// The sum of the weights of the servers that can be candidates.
    pub total_weight: f64,
    /// The number of the servers that can be candidates.
    pub candidates: f64,
    /// Attempts of this proxy in flight at all servers.
    pub in_flight: f64,
    /// What a machine of a kind bears against the mean, beyond what the list says of its size.
    capacities: FxHashMap<u32, f64>,
    /// When the first list came.
    began: Option<Nanos>,
}

impl ServerTable {
    /// No servers yet.
    pub fn new(settings: Arc<Settings>) -> Self {
        ServerTable {
            settings,
            index_of: FxHashMap::default(),
            servers: Vec::new(),
            free: Vec::new(),
            excluded: FxHashSet::default(),
            version: 0,
            total_weight: 0.0,
            candidates: 0.0,
            in_flight: 0.0,
            capacities: FxHashMap::default(),
            began: None,
        }
    }

    /// The server at an index.
    pub fn at(&self, index: u32) -> &Server {
        &self.servers[index as usize]
    }

    /// The server at an index.
    pub fn at_mut(&mut self, index: u32) -> &mut Server {
        &mut self.servers[index as usize]
    }

    /// A listed server.
    pub fn get(&self, server: ServerId) -> Option<&Server> {
        self.index_of.get(&server).map(|&index| self.at(index))
    }

    /// A listed server.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Server> {
        let index = *self.index_of.get(&server)?;
        Some(self.at_mut(index))
    }

    /// All indices, those of free places too.
    pub fn indices(&self) -> std::ops::Range<u32> {
        0..self.servers.len() as u32
    }

    /// Takes other settings over; what is ranked by them is ranked anew.
    pub fn update_settings(&mut self, settings: Arc<Settings>) {
        self.settings = settings;
        self.update_weights();
    }

    /// Takes over a list event; returns how many attempts were in flight at origins that are gone.
    pub fn update(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: Vec<Entry>,
        random: &mut RandomSource,
        actions: &mut Vec<Action>,
    ) -> f64 {
        let (mut at_origins, mut changed) = (0.0, false);
        let began = *self.began.get_or_insert(now);
        // What this process's predecessor has sent within the window of slow start is not known.
        let knows_sent = now >= began.saturating_add(self.settings.overload_window);
        if !matches!(kind, ListKind::Delta | ListKind::Overlay) {
            let gone = self.unlisted(&entries);
            changed = !gone.is_empty();
            at_origins += gone.into_iter().map(|server| self.remove(server)).sum::<f64>();
        }
        for entry in entries {
            let server = entry.server;
            changed |= self.get(server).is_none_or(|s| s.entry != entry);
            if entry.state == State::Gone {
                at_origins += self.remove(server);
            } else {
                self.upsert(now, entry, knows_sent, random);
                self.close_if_draining(server, actions);
            }
        }
        // Danger: a watch that ends with no news, or a whole list of what is known, has every bucket ranked
        // anew.
        if changed {
            self.update_weights();
        }
        at_origins
    }

    /// The servers that a whole list no longer names, in order.
    fn unlisted(&self, entries: &[Entry]) -> Vec<ServerId> {
        let listed: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let mut gone: Vec<ServerId> = self.index_of.keys().filter(|s| !listed.contains(s)).copied().collect();
        gone.sort_unstable();
        gone
    }

    /// Removes a server; returns how many attempts were in flight there if it is the origin.
    fn remove(&mut self, server: ServerId) -> f64 {
        let Some(index) = self.index_of.remove(&server) else { return 0.0 };
        let s = self.at_mut(index);
        s.entry.state = State::Gone;
        let in_flight = std::mem::take(&mut s.in_flight);
        self.in_flight -= in_flight;
        self.free.push(index);
        in_flight * indicator(self.is_origin(self.at(index)))
    }

    fn upsert(&mut self, now: Nanos, entry: Entry, knows_sent: bool, random: &mut RandomSource) {
        if let Some(s) = self.get_mut(entry.server) {
            if s.entry.started != entry.started {
                // A changed start means a new process: no cache, no history of failures.
                s.clear_failures();
                s.permits = Permits::starting_with(unit_interval(mix(random.0 ^ entry.started)), now);
            }
            s.entry = entry;
            return;
        }
        let permits = Permits::starting_with(indicator(knows_sent) + random.draw(), now);
        let server = entry.server;
        let excluded = self.excluded.contains(&server);
        let fresh = Server { entry, inverse_weight: 1.0, permits, excluded, ..Server::default() };
        let index = self.free.pop().unwrap_or(self.servers.len() as u32);
        if index as usize == self.servers.len() {
            self.servers.push(Server::default());
        }
        self.servers[index as usize] = fresh;
        self.index_of.insert(server, index);
    }

    /// What a machine of a kind bears against the mean; 1 while that is not known.
    pub fn capacity_of(&self, kind: u32) -> f64 {
        self.capacities.get(&kind).copied().unwrap_or(1.0)
    }

    /// Takes over what is known of the kinds; ranks follow.
    pub fn update_capacities(&mut self, capacities: FxHashMap<u32, f64>) {
        self.capacities = capacities;
        self.update_weights();
    }

    /// Takes the weights of the servers from the list and from what is known of their kinds.
    fn update_weights(&mut self) {
        (self.total_weight, self.candidates) = (0.0, 0.0);
        for index in self.indices() {
            let listed = self.at(index).entry.weight;
            let listed = if listed.is_finite() { listed.clamp(WEIGHT_LEAST, WEIGHT_MOST) } else { 1.0 };
            let weight = listed * self.capacity_of(self.at(index).entry.kind);
            self.at_mut(index).inverse_weight = 1.0 / weight;
            if self.can_be_candidate(self.at(index)) {
                self.total_weight += weight;
                self.candidates += 1.0;
            }
        }
        self.version += 1;
    }

    /// Closes idle connections to a draining server, where that is a rule: on each list event and outcome
    /// there.
    fn close_if_draining(&self, server: ServerId, actions: &mut Vec<Action>) {
        let draining = self.get(server).is_some_and(|s| s.entry.state == State::Draining);
        if draining && self.settings.drain_close_within > 0 {
            actions.push(Action::CloseIdle(server));
        }
    }

    /// Operators take a server out, or give it back: then it is in slow start, and counts as never having
    /// failed.
    pub fn set_excluded(&mut self, now: Nanos, server: ServerId, excluded: bool, actions: &mut Vec<Action>) {
        let changed = if excluded { self.excluded.insert(server) } else { self.excluded.remove(&server) };
        if let Some(s) = self.get_mut(server).filter(|_| changed) {
            s.clear_failures();
            (s.excluded, s.included_at) = (excluded, if excluded { 0 } else { now });
            s.permits.pause_until(now);
            self.update_weights();
            actions.extend(excluded.then_some(Action::CloseIdle(server)));
        }
    }

    /// Whether a server is the origin of a cache-aside deployment.
    pub fn is_origin(&self, s: &Server) -> bool {
        self.settings.origin_kind == Some(s.entry.kind)
    }

    /// Whether a server can be a candidate for keys: not if it is the origin, which cache-aside proxies ask
    /// last.
    pub fn can_be_candidate(&self, s: &Server) -> bool {
        s.is_ready() && !(self.settings.cache_aside && self.is_origin(s))
    }

    /// Takes note that an attempt has ended, and whether it had a connection; false if the server is not
    /// listed.
    pub fn attempt_ended(&mut self, now: Nanos, o: &Outcome, actions: &mut Vec<Action>) -> bool {
        self.close_if_draining(o.server, actions);
        let Some(s) = self.get_mut(o.server) else { return false };
        let ended = s.in_flight.min(1.0);
        s.in_flight -= ended;
        if !matches!(o.status, Status::Cancelled | Status::NotSent) {
            s.connected_at = if o.status == Status::ConnectFailed { 0 } else { now };
        }
        self.in_flight -= ended;
        true
    }
}
