//! One proxy: the decision module and what the core keeps beside it, for simulated time.

use super::list_service::ListCaller;
use super::Options;
use aniseyoke_core::margin;
use aniseyoke_decision::api::{Action, Entry, Event, ListKind, RequestId, ServerId, State, Status};
use aniseyoke_decision::Balancer;
use aniseyoke_lab_day::clock::mix;
use aniseyoke_lab_day::clock::{Nanos, MILLISECOND, SECOND};
use aniseyoke_lab_day::{module_settings, Day};
use aniseyoke_pace::{Opens, Place};
use rustc_hash::FxHashMap;

/// An attempt as its proxy sees it.
pub struct ProxyAttempt {
    pub server: ServerId,
    pub attempt_id: u64,
    pub sent: Nanos,
    pub ended: bool,
}

/// A request that its proxy has taken.
pub struct PendingRequest {
    /// The client's place, and which of its tries this is.
    pub client: u32,
    pub attempt_number: u32,
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub class: usize,
    /// It has had its final answer.
    pub answered: bool,
    pub attempts: Vec<ProxyAttempt>,
    /// How its last attempt to end did so, and whether that was at the origin.
    pub last: Option<(Status, bool)>,
}

/// A proxy.
pub struct SimProxy {
    pub balancer: Balancer,
    pub pending: FxHashMap<RequestId, PendingRequest>,
    pub next: RequestId,
    /// Idle connections to each server, by the time since which they are idle, and whether they carried two attempts.
    pub idle: FxHashMap<ServerId, Vec<(Nanos, bool)>>,
    /// Since when a server is told as draining or gone.
    pub listed_down_since: FxHashMap<ServerId, Nanos>,
    /// The version of the list that it has.
    pub version: u64,
    pub subscribed: bool,
    /// Its side of the list service.
    pub caller: ListCaller,
    /// Leave to open connections, with what all proxies open a second to a node and to the origin, where that is limited.
    pub opens: Option<(Opens, (f64, f64))>,
    started: FxHashMap<ServerId, Nanos>,
    origin_kind: u32,
    conn_idle: Nanos,
    pub actions: Vec<Action>,
}

impl SimProxy {
    pub fn new(day: &Day, index: usize, options: &Options) -> Self {
        let settings = module_settings(day, index);
        let slot = Place::new(settings.me, settings.proxies);
        let seed = mix(day.seed, 0x5eed, index as u64);
        SimProxy {
            caller: ListCaller::new(day, index, options.list.as_ref()),
            opens: options.connection_rates.map(|rates| (Opens::new(slot, 0, 0), rates)),
            started: FxHashMap::default(),
            origin_kind: day.site.cache.kinds.len() as u32,
            conn_idle: settings.conn_idle,
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

    /// Gives the module an event; what it says is left in `actions`.
    pub fn feed(&mut self, now: Nanos, event: Event) {
        if let Event::List { kind, entries } = &event {
            self.update_permits(now, *kind, entries);
            for entry in entries {
                if entry.state == State::Ready {
                    self.listed_down_since.remove(&entry.server);
                } else {
                    self.listed_down_since.entry(entry.server).or_insert(now);
                }
            }
        }
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// Permits to open connections follow the list.
    fn update_permits(&mut self, now: Nanos, kind: ListKind, entries: &[Entry]) {
        let Some((opens, (node, origin))) = &mut self.opens else { return };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            opens.retain(|server| entries.iter().any(|e| e.server == server));
        }
        for entry in entries {
            let restarted =
                self.started.insert(entry.server, entry.started).is_some_and(|s| s != entry.started);
            if restarted || entry.state == State::Gone {
                opens.gone(entry.server);
            }
            if entry.state != State::Gone {
                opens.listed(now, entry.server, if entry.kind == self.origin_kind { *origin } else { *node });
            }
        }
    }

    /// Takes a request: its number, and the time left as the module is told.
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
        let left = patience - margin(patience);
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

    /// How long a request that the module leaves unanswered is kept.
    pub fn deadline(patience: Nanos) -> Nanos {
        patience - margin(patience) / 2
    }

    /// An idle connection to a server; none if one has to be opened.
    pub fn connection(&mut self, now: Nanos, server: ServerId) -> Option<bool> {
        // The proxy leaves the last quarter of the time to its node, whose clock runs apart.
        let idle = self.conn_idle / 4 * 3;
        let idles = self.idle.get_mut(&server)?;
        while let Some((since, twice)) = idles.pop() {
            if now.saturating_sub(since) < idle {
                return Some(twice);
            }
        }
        None
    }

    /// Whether a send to a server breaks the rule on drains.
    pub fn violates_drain(&self, now: Nanos, server: ServerId) -> bool {
        self.listed_down_since.get(&server).is_some_and(|at| now > at + 2 * SECOND + 50 * MILLISECOND)
    }

    /// Drops a request that has had its answer and has no attempt out.
    pub fn remove_if_done(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| p.answered && p.attempts.iter().all(|a| a.ended)) {
            self.pending.remove(&id);
        }
    }
}
