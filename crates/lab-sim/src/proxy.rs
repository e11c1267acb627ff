//! A simulated proxy: the decision module, and the state that the proxy core maintains for it.

use super::list_service::ListClient;
use super::Options;
use aniseyoke_core::deadline_margin;
use aniseyoke_decision::api::{Action, Entry, Event, ListKind, RequestId, ServerId, State, Status};
use aniseyoke_decision::Balancer;
use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::clock::{Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{module_settings, Day};
use aniseyoke_pace::{ConnectionPermits, FleetPosition};
use rustc_hash::FxHashMap;

/// An attempt, as recorded by its proxy.
pub struct ProxyAttempt {
    pub server: ServerId,
    pub attempt_id: u64,
    pub sent: Nanos,
    pub ended: bool,
}

/// A request that its proxy has accepted.
pub struct PendingRequest {
    /// The slot of the client.
    pub client: u32,
    /// The number of the client's attempt.
    pub attempt_number: u32,
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub class: usize,
    /// Whether the final response has been sent.
    pub answered: bool,
    pub attempts: Vec<ProxyAttempt>,
    /// The status of the attempt that ended last, and whether it was sent to the origin.
    pub last: Option<(Status, bool)>,
}

/// A simulated proxy.
pub struct SimProxy {
    pub balancer: Balancer,
    pub pending: FxHashMap<RequestId, PendingRequest>,
    pub next: RequestId,
    /// Idle connections to each server: the time since which a connection is idle, and whether it has been
    /// reused.
    pub idle: FxHashMap<ServerId, Vec<(Nanos, bool)>>,
    /// When each server was first listed as draining or gone.
    pub listed_down_since: FxHashMap<ServerId, Nanos>,
    /// The version of the endpoint list that the proxy has.
    pub version: u64,
    pub subscribed: bool,
    pub list_client: ListClient,
    /// Permits to open connections, with the rates over all proxies to a node and to the origin; `None` if
    /// unlimited.
    pub permits: Option<(ConnectionPermits, (f64, f64))>,
    /// The latest start of each server that the proxy has been notified of, on the decision module's clock.
    notified_start: FxHashMap<ServerId, Nanos>,
    origin_kind: u32,
    conn_idle: Nanos,
    pub actions: Vec<Action>,
}

impl SimProxy {
    pub fn new(day: &Day, index: usize, options: &Options) -> Self {
        let settings = module_settings(day, index);
        let slot = FleetPosition::new(settings.proxy_index, settings.proxies);
        let seed = mix(day.seed, 0x5eed, index as u64);
        SimProxy {
            list_client: ListClient::new(day, index, options.list.as_ref()),
            permits: options.connection_rates.map(|rates| (ConnectionPermits::new(slot, 0, 0), rates)),
            notified_start: FxHashMap::default(),
            origin_kind: day.site.cache.kinds.len() as u32,
            conn_idle: settings.idle_timeout,
            balancer: Balancer::new(settings, seed),
            pending: FxHashMap::default(),
            next: 1,
            idle: FxHashMap::default(),
            listed_down_since: FxHashMap::default(),
            version: 0,
            subscribed: false,
            actions: Vec::new(),
        }
    }

    /// Passes an event to the module, which adds its actions to `actions`.
    pub fn feed(&mut self, now: Nanos, event: Event) {
        if let Event::EndpointList { kind, entries } = &event {
            self.update_permits(now, *kind, entries);
            for entry in entries {
                self.notified_start.insert(entry.server, entry.started);
                if entry.state == State::Ready {
                    self.listed_down_since.remove(&entry.server);
                } else {
                    self.listed_down_since.entry(entry.server).or_insert(now);
                }
            }
        }
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// Whether the proxy has been notified of this start of a server. `started` is on the decision module's
    /// clock.
    pub fn knows_start(&self, server: ServerId, started: Nanos) -> bool {
        self.notified_start.get(&server).is_some_and(|notified| *notified >= started)
    }

    /// Updates the permits to open connections from the endpoint list.
    fn update_permits(&mut self, now: Nanos, kind: ListKind, entries: &[Entry]) {
        let Some((permits, (node, origin))) = &mut self.permits else { return };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            permits.retain(|server| entries.iter().any(|e| e.server == server));
        }
        for entry in entries {
            let restarted =
                self.notified_start.get(&entry.server).is_some_and(|started| *started != entry.started);
            if restarted || entry.state == State::Gone {
                permits.remove_node(entry.server);
            }
            if entry.state != State::Gone {
                permits.add_node(
                    now,
                    entry.server,
                    if entry.kind == self.origin_kind { *origin } else { *node },
                );
            }
        }
    }

    /// Accepts a request and returns its id and the time left that is passed to the module.
    pub fn accept(
        &mut self,
        now: Nanos,
        client: u32,
        attempt_number: u32,
        class: usize,
        patience: Nanos,
    ) -> (RequestId, Nanos) {
        let id = self.next;
        self.next += 1;
        let left = patience - deadline_margin(patience);
        let pending = PendingRequest {
            client,
            attempt_number,
            arrived: now,
            deadline: now + left,
            class,
            answered: false,
            attempts: Vec::new(),
            last: None,
        };
        self.pending.insert(id, pending);
        (id, left)
    }

    /// The time after which the proxy ends a request that the module has not answered.
    pub fn deadline(patience: Nanos) -> Nanos {
        patience - deadline_margin(patience) / 2
    }

    /// Takes an idle connection to a server and returns whether it has been reused before; `None` if a
    /// connection has to be opened.
    pub fn connection(&mut self, now: Nanos, server: ServerId) -> Option<bool> {
        // The proxy does not use the last quarter of the idle timeout, since the node's timer is not
        // synchronised with its own.
        let idle = self.conn_idle / 4 * 3;
        let connections = self.idle.get_mut(&server)?;
        while let Some((since, reused)) = connections.pop() {
            if now.saturating_sub(since) < idle {
                return Some(reused);
            }
        }
        None
    }

    /// Whether sending to a server now violates the drain rule, that is more than 2.05 s after the server was
    /// first listed as draining or gone.
    pub fn violates_drain(&self, now: Nanos, server: ServerId) -> bool {
        self.listed_down_since.get(&server).is_some_and(|at| now > at + 2 * SECOND + 50 * MILLISECOND)
    }

    /// Removes a request that has been answered and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| p.answered && p.attempts.iter().all(|a| a.ended)) {
            self.pending.remove(&id);
        }
    }
}
