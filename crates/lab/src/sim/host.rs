//! One proxy: the decision module and what the core keeps beside it, for simulated time.

use super::lists::Caller;
use super::Options;
use crate::clock::mix;
use crate::clock::{Nanos, MS, SECOND};
use crate::day::{module_settings, Day};
use aniseyoke_core::margin;
use aniseyoke_decision::api::{Action, Entry, Event, ListKind, RequestId, ServerId, State, Status};
use aniseyoke_decision::Balancer;
use aniseyoke_pace::{Opens, Place};
use rustc_hash::FxHashMap;

/// An attempt as its proxy sees it.
pub struct Attempt {
    pub server: ServerId,
    pub ticket: u64,
    pub sent: Nanos,
    pub over: bool,
}

/// A request that its proxy has taken.
pub struct Pending {
    /// The client's place, and which of its tries this is.
    pub client: u32,
    pub try_number: u32,
    pub arrived: Nanos,
    pub deadline: Nanos,
    pub class: usize,
    /// It has had its final answer.
    pub answered: bool,
    pub attempts: Vec<Attempt>,
    /// How its last attempt to end did so, and whether that was at the ledger.
    pub last: Option<(Status, bool)>,
}

/// A proxy.
pub struct Host {
    pub balancer: Balancer,
    pub pending: FxHashMap<RequestId, Pending>,
    pub next: RequestId,
    /// Idle connections to each server, by the time since which they are idle, and whether they carried two attempts.
    pub idle: FxHashMap<ServerId, Vec<(Nanos, bool)>>,
    /// Since when a server is told as draining or gone.
    pub told: FxHashMap<ServerId, Nanos>,
    /// The version of the list that it has.
    pub version: u64,
    pub subscribed: bool,
    /// Its side of the list service.
    pub caller: Caller,
    /// Leave to open connections, with what all proxies open a second to a node and to the ledger, where that is limited.
    pub opens: Option<(Opens, (f64, f64))>,
    started: FxHashMap<ServerId, Nanos>,
    ledger_kind: u32,
    conn_idle: Nanos,
    pub actions: Vec<Action>,
}

impl Host {
    pub fn new(day: &Day, me: usize, options: &Options) -> Self {
        let settings = module_settings(day, me);
        let place = Place::new(settings.proxy_index, settings.proxies);
        let seed = mix(day.seed, 0x5eed, me as u64);
        Host {
            caller: Caller::new(day, me, options.list.as_ref()),
            opens: options.opening.map(|rates| (Opens::new(place, 0, 0), rates)),
            started: FxHashMap::default(),
            ledger_kind: day.site.cache.kinds.len() as u32,
            conn_idle: settings.idle_timeout,
            balancer: Balancer::new(settings, seed),
            pending: FxHashMap::default(),
            next: 1,
            idle: FxHashMap::default(),
            told: FxHashMap::default(),
            version: 0,
            subscribed: false,
            actions: Vec::new(),
        }
    }

    /// Gives the module an event; what it says is left in `actions`.
    pub fn feed(&mut self, now: Nanos, event: Event) {
        if let Event::EndpointList { kind, entries } = &event {
            self.meet(now, *kind, entries);
            for entry in entries {
                if entry.state == State::Ready {
                    self.told.remove(&entry.server);
                } else {
                    self.told.entry(entry.server).or_insert(now);
                }
            }
        }
        self.balancer.handle(now, event, &mut self.actions);
    }

    /// Permits to open connections follow the list.
    fn meet(&mut self, now: Nanos, kind: ListKind, entries: &[Entry]) {
        let Some((opens, (node, ledger))) = &mut self.opens else { return };
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            opens.retain(|server| entries.iter().any(|e| e.server == server));
        }
        for entry in entries {
            let anew = self.started.insert(entry.server, entry.started).is_some_and(|s| s != entry.started);
            if anew || entry.state == State::Gone {
                opens.gone(entry.server);
            }
            if entry.state != State::Gone {
                opens.listed(now, entry.server, if entry.kind == self.ledger_kind { *ledger } else { *node });
            }
        }
    }

    /// Takes a request: its number, and the time left as the module is told.
    pub fn take(
        &mut self,
        now: Nanos,
        client: u32,
        try_number: u32,
        class: usize,
        patience: Nanos,
    ) -> (RequestId, Nanos) {
        let id = self.next;
        self.next += 1;
        let left = patience - margin(patience);
        let pending = Pending {
            client,
            try_number,
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
    pub fn guard(patience: Nanos) -> Nanos {
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
    pub fn breaks_drain(&self, now: Nanos, server: ServerId) -> bool {
        self.told.get(&server).is_some_and(|at| now > at + 2 * SECOND + 50 * MS)
    }

    /// Drops a request that has had its answer and has no attempt out.
    pub fn forget(&mut self, id: RequestId) {
        if self.pending.get(&id).is_some_and(|p| p.answered && p.attempts.iter().all(|a| a.over)) {
            self.pending.remove(&id);
        }
    }
}
