//! The table of servers: their state by the endpoint list and the operators, and the attempts in flight
//! there. [`crate::logic`] decides which of them gets a request.

use crate::api::*;
use crate::arithmetic::{indicator, mix, unit_interval, RandomSource};
use crate::logic::slow_start::Permits;
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// Lower bound of a server's weight, whatever the endpoint list says.
const MIN_WEIGHT: f64 = 1e-6;
/// Upper bound of a server's weight, whatever the endpoint list says.
const MAX_WEIGHT: f64 = 1e9;

/// A server's last load report.
#[derive(Clone, Copy, Default)]
pub struct ReportedLoad {
    /// The fraction of its cores that was busy.
    pub busy: f64,
    /// Time at which the report arrived.
    pub received_at: Nanos,
}

/// A server of the endpoint list.
#[derive(Default)]
pub struct Server {
    /// Its entry in the endpoint list.
    pub entry: Entry,
    /// The reciprocal of its weight.
    pub inverse_weight: f64,
    /// Attempts of this proxy in flight there.
    pub in_flight: f64,
    /// Evidence that it fails more often than the average server: a sum of log odds.
    pub failure_evidence: f64,
    /// Time until which it is ejected as an outlier.
    pub ejected_until: Nanos,
    /// Duration of its last ejection.
    pub ejection_time: Nanos,
    /// This proxy's permits to send to it during slow start.
    pub permits: Permits,
    /// When an attempt there last ended on an open connection; 0: a later attempt failed to connect.
    pub connected_at: Nanos,
    /// The number of attempts that may be in flight there, if it is limited.
    pub concurrency_limit: Option<f64>,
    /// Its last load report.
    pub reported: ReportedLoad,
    /// Whether an operator has excluded it. It keeps its place in the hash, so that its keys return to it
    /// when the exclusion ends.
    pub excluded: bool,
    /// When an operator ended its exclusion; it may have been restarted in between, whatever the list says.
    pub included_at: Nanos,
}

impl Server {
    /// Returns the fraction of its cores that is busy, by a report younger than `max_age`; 0 without one.
    pub fn busy(&self, now: Nanos, max_age: Nanos) -> f64 {
        if self.reported.received_at.saturating_add(max_age) > now {
            self.reported.busy
        } else {
            0.0
        }
    }

    /// Whether it accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == State::Ready && !self.excluded
    }

    /// Clears its failure history.
    fn clear_failures(&mut self) {
        (self.failure_evidence, self.ejected_until, self.ejection_time) = (0.0, 0, 0);
    }
}

/// All servers of the endpoint list.
pub struct ServerTable {
    /// The settings in force.
    pub settings: Arc<Settings>,
    index_of: FxHashMap<ServerId, u32>,
    /// Servers by index; a free slot holds a removed server.
    pub servers: Vec<Server>,
    free: Vec<u32>,
    /// Servers that operators have excluded, whether listed or not.
    pub excluded: FxHashSet<ServerId>,
    /// Number of changes that affect the ranks of servers.
    pub version: u64,
    /// The sum of the weights of the servers that are eligible for keys.
    pub total_weight: f64,
    /// The number of the servers that are eligible for keys.
    pub eligible_count: f64,
    /// Attempts of this proxy in flight at all servers.
    pub in_flight: f64,
    /// The capacity of each machine kind relative to the mean, beyond the size that the list gives.
    capacities: FxHashMap<u32, f64>,
    /// When the first endpoint list arrived.
    first_list_at: Option<Nanos>,
}

impl ServerTable {
    /// Creates an empty table.
    pub fn new(settings: Arc<Settings>) -> Self {
        ServerTable {
            settings,
            index_of: FxHashMap::default(),
            servers: Vec::new(),
            free: Vec::new(),
            excluded: FxHashSet::default(),
            version: 0,
            total_weight: 0.0,
            eligible_count: 0.0,
            in_flight: 0.0,
            capacities: FxHashMap::default(),
            first_list_at: None,
        }
    }

    /// Returns the server at an index.
    pub fn at(&self, index: u32) -> &Server {
        &self.servers[index as usize]
    }

    /// Returns the server at an index, mutably.
    pub fn at_mut(&mut self, index: u32) -> &mut Server {
        &mut self.servers[index as usize]
    }

    /// Returns a listed server.
    pub fn get(&self, server: ServerId) -> Option<&Server> {
        self.index_of.get(&server).map(|&index| self.at(index))
    }

    /// Returns a listed server, mutably.
    pub fn get_mut(&mut self, server: ServerId) -> Option<&mut Server> {
        let index = *self.index_of.get(&server)?;
        Some(self.at_mut(index))
    }

    /// Returns all indices, including those of free slots.
    pub fn indices(&self) -> std::ops::Range<u32> {
        0..self.servers.len() as u32
    }

    /// Replaces the settings; the servers are then ranked again.
    pub fn update_settings(&mut self, settings: Arc<Settings>) {
        self.settings = settings;
        self.update_weights();
    }

    /// Applies a list event; returns the number of attempts that were in flight at removed origins.
    pub fn update(
        &mut self,
        now: Nanos,
        kind: ListKind,
        entries: Vec<Entry>,
        random: &mut RandomSource,
        actions: &mut Vec<Action>,
    ) -> f64 {
        let (mut in_flight_at_origins, mut changed) = (0.0, false);
        let first_list_at = *self.first_list_at.get_or_insert(now);
        // What an earlier process of this proxy sent within the window of slow start is not known.
        let knows_recent_sends = now >= first_list_at.saturating_add(self.settings.overload_window);
        if !matches!(kind, ListKind::Delta | ListKind::Overlay) {
            let gone = self.unlisted(&entries);
            changed = !gone.is_empty();
            in_flight_at_origins += gone.into_iter().map(|server| self.remove(server)).sum::<f64>();
        }
        for entry in entries {
            let server = entry.server;
            changed |= self.get(server).is_none_or(|s| s.entry != entry);
            if entry.state == State::Gone {
                in_flight_at_origins += self.remove(server);
            } else {
                self.upsert(now, entry, knows_recent_sends, random);
                self.close_if_draining(server, actions);
            }
        }
        // A watch that ends without a change, or a complete list without one, must not have every bucket
        // ranked again.
        if changed {
            self.update_weights();
        }
        in_flight_at_origins
    }

    /// Returns the servers missing from a complete list, in ascending order.
    fn unlisted(&self, entries: &[Entry]) -> Vec<ServerId> {
        let listed: FxHashSet<ServerId> = entries.iter().map(|e| e.server).collect();
        let mut gone: Vec<ServerId> = self.index_of.keys().filter(|s| !listed.contains(s)).copied().collect();
        gone.sort_unstable();
        gone
    }

    /// Removes a server; returns the number of attempts in flight there if it is the origin, else 0.
    fn remove(&mut self, server: ServerId) -> f64 {
        let Some(index) = self.index_of.remove(&server) else { return 0.0 };
        let s = self.at_mut(index);
        s.entry.state = State::Gone;
        let in_flight = std::mem::take(&mut s.in_flight);
        self.in_flight -= in_flight;
        self.free.push(index);
        in_flight * indicator(self.is_origin(self.at(index)))
    }

    fn upsert(&mut self, now: Nanos, entry: Entry, knows_recent_sends: bool, random: &mut RandomSource) {
        if let Some(s) = self.get_mut(entry.server) {
            if s.entry.started != entry.started {
                // A changed start time means a new process, with an empty cache and no failure history.
                s.clear_failures();
                s.permits = Permits::starting_with(unit_interval(mix(random.0 ^ entry.started)), now);
            }
            s.entry = entry;
            return;
        }
        let permits = Permits::starting_with(indicator(knows_recent_sends) + random.draw(), now);
        let server = entry.server;
        let excluded = self.excluded.contains(&server);
        let server_state = Server { entry, inverse_weight: 1.0, permits, excluded, ..Server::default() };
        let index = self.free.pop().unwrap_or(self.servers.len() as u32);
        if index as usize == self.servers.len() {
            self.servers.push(Server::default());
        }
        self.servers[index as usize] = server_state;
        self.index_of.insert(server, index);
    }

    /// Returns the capacity of a machine kind relative to the mean; 1 while it is not known.
    pub fn capacity_of(&self, kind: u32) -> f64 {
        self.capacities.get(&kind).copied().unwrap_or(1.0)
    }

    /// Replaces the capacities of the machine kinds and updates the weights.
    pub fn update_capacities(&mut self, capacities: FxHashMap<u32, f64>) {
        self.capacities = capacities;
        self.update_weights();
    }

    /// Computes the weights of the servers from the list and the capacities of their kinds.
    fn update_weights(&mut self) {
        (self.total_weight, self.eligible_count) = (0.0, 0.0);
        for index in self.indices() {
            let listed = self.at(index).entry.weight;
            let listed = if listed.is_finite() { listed.clamp(MIN_WEIGHT, MAX_WEIGHT) } else { 1.0 };
            let weight = listed * self.capacity_of(self.at(index).entry.kind);
            self.at_mut(index).inverse_weight = 1.0 / weight;
            if self.is_eligible_for_keys(self.at(index)) {
                self.total_weight += weight;
                self.eligible_count += 1.0;
            }
        }
        self.version += 1;
    }

    /// Closes idle connections to a draining server if the settings require it. Called on each list event and
    /// outcome of the server.
    fn close_if_draining(&self, server: ServerId, actions: &mut Vec<Action>) {
        let draining = self.get(server).is_some_and(|s| s.entry.state == State::Draining);
        if draining && self.settings.drain_close_within > 0 {
            actions.push(Action::CloseIdle(server));
        }
    }

    /// Excludes a server, or ends its exclusion; then it is in slow start and has no failure history.
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

    /// Whether a server may be a candidate for keys. The origin is not: cache-aside proxies ask it last.
    pub fn is_eligible_for_keys(&self, s: &Server) -> bool {
        s.is_ready() && !(self.settings.cache_aside && self.is_origin(s))
    }

    /// Records that an attempt has ended and whether it had a connection; returns false if the server is not
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
