//! One simulated proxy: the decision module, and the state that the core keeps beside it.

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

/// An attempt as its proxy sees it.
pub struct ProxyAttempt {
    pub server: ServerId,
    pub attempt_id: u64,
    pub sent: Nanos,
    pub ended: bool,
}

/// A request that its proxy has accepted.
pub struct PendingRequest {
    /// The client's slot.
    pub client: u32,
    /// Which of the client's attempts it is.
    pub attempt_number: u32,
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub class: usize,
    /// Whether it has had its final response.
    pub answered: bool,
    pub attempts: Vec<ProxyAttempt>,
    /// How the attempt that ended last did so, and whether that was at the origin.
    pub last: Option<(Status, bool)>,
}

/// A proxy.
pub struct SimProxy {
    pub balancer: Balancer,
    pub pending: FxHashMap<RequestId, PendingRequest>,
    pub next: RequestId,
    /// Idle connections to each server, by the time since which they are idle, and whether they carried two attempts.
    pub idle: FxHashMap<ServerId, Vec<(Nanos, bool)>>,
    /// When each server was first listed as draining or gone.
    pub listed_down_since: FxHashMap<ServerId, Nanos>,
    /// The version of the list that it has.
    pub version: u64,
    pub subscribed: bool,
    /// Its side of the list service.
    pub list_client: ListClient,
    /// Permits to open connections, with the rates of all proxies to a node and to the origin, where these are limited.
    pub permits: Option<(ConnectionPermits, (f64, f64))>,
    /// The last start of each server that it has been notified of, on the decision module's clock.
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

    /// Gives the module an event; its actions are left in `actions`.
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

    /// Whether it has been notified of this start of a server, on the decision module's clock.
    pub fn knows_start(&self, server: ServerId, started: Nanos) -> bool {
        self.notified_start.get(&server).is_some_and(|notified| *notified >= started)
    }

    /// Adapts the permits to open connections to the list.
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

    /// Accepts a request; its id, and the time left as the module is told.
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

    /// After this time a request that the module leaves unanswered is ended.
    pub fn deadline(patience: Nanos) -> Nanos {
        patience - deadline_margin(patience) / 2
    }

    /// Takes an idle connection to a server, with whether it carried two attempts; none if one has to be opened.
    pub fn connection(&mut self, now: Nanos, server: ServerId) -> Option<bool> {
        // The proxy leaves the last quarter of the time to its node, whose clock runs apart.
        let idle = self.conn_idle / 4 * 3;
        let connections = self.idle.get_mut(&server)?;
        while let Some((since, reused)) = connections.pop() {
            if now.saturating_sub(since) < idle {
                return Some(reused);
            }
        }
        None
    }

    /// Whether sending to a server now breaks the rule on drains.
    pub fn violates_drain(&self, now: Nanos, server: ServerId) -> bool {
        self.listed_down_since.get(&server).is_some_and(|at| now > at + 2 * SECOND + 50 * MILLISECOND)
    }

    /// Drops a request that has had its response and has no attempt in flight.
    pub fn remove_if_done(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| p.answered && p.attempts.iter().all(|a| a.ended)) {
            self.pending.remove(&id);
        }
    }
}
