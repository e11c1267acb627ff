//! Rate limits on opening connections, where the operator's file limits what all proxies together open to one
//! machine.

use crate::duration::nanos;
use crate::wall_clock::unix_time;
use aniseyoke_config::model::Opening as Rules;
use aniseyoke_decision::api::{Entry, ServerId, State};
use aniseyoke_pace::{ConnectionPermits, FleetPosition, Nanos};
use rustc_hash::{FxHashMap, FxHashSet};
use std::time::{Duration, Instant};

/// This proxy's share of the connections that may be opened to each machine.
pub struct OpenLimiter {
    rules: Rules,
    origin_kind: Option<u32>,
    permits: ConnectionPermits,
    /// When each machine's process started: one that restarted is new to all proxies at once.
    started: FxHashMap<ServerId, Nanos>,
    created_at: Instant,
}

impl OpenLimiter {
    pub fn new(rules: Rules, origin_kind: Option<u32>, place: FleetPosition) -> Self {
        let permits = ConnectionPermits::new(place, nanos(unix_time()), 0);
        OpenLimiter { rules, origin_kind, permits, started: FxHashMap::default(), created_at: Instant::now() }
    }

    fn now(&self) -> Nanos {
        nanos(self.created_at.elapsed())
    }

    /// Applies an endpoint list update; with `complete`, machines that it does not name are removed.
    pub fn update<'a>(&mut self, complete: bool, entries: impl Iterator<Item = &'a Entry> + Clone) {
        let now = self.now();
        if complete {
            let named: FxHashSet<ServerId> = entries.clone().map(|e| e.server).collect();
            self.permits.retain(|server| named.contains(&server));
            self.started.retain(|server, _| named.contains(server));
        }
        for entry in entries {
            let server = entry.server;
            if entry.state == State::Gone {
                self.permits.remove_node(server);
                self.started.remove(&server);
                continue;
            }
            if self.started.insert(server, entry.started).is_some_and(|previous| previous != entry.started) {
                self.permits.remove_node(server);
            }
            let origin = self.origin_kind == Some(entry.kind);
            let rate = if origin { self.rules.origin } else { self.rules.per_node };
            self.permits.add_node(now, server, rate);
        }
    }

    /// Takes a permit to open a connection, or returns how long to wait for the next one.
    pub fn try_acquire(&mut self, server: ServerId) -> Result<(), Duration> {
        self.permits.try_acquire(self.now(), server).map_err(Duration::from_nanos)
    }
}
