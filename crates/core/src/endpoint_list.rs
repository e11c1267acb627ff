//! The endpoint list as reported by discovery, stored so that a new overlay can be applied to it.

use aniseyoke_decision::api::{Entry, Nanos, ServerId, State};
use aniseyoke_routes::Overlay;
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// An entry of the list and its address; `None` if the address could not be parsed.
pub type Endpoint = (Entry, Option<SocketAddr>);

/// The entries of the list, without the operator's overlay.
#[derive(Default)]
pub struct EndpointList {
    entries: FxHashMap<ServerId, Endpoint>,
}

impl EndpointList {
    /// Applies an update. A `complete` update removes the entries that it does not contain.
    pub fn apply(&mut self, complete: bool, update: &[Endpoint]) {
        if complete {
            let named: FxHashSet<ServerId> = update.iter().map(|(entry, _)| entry.server).collect();
            self.entries.retain(|server, _| named.contains(server));
        }
        for (entry, address) in update {
            if entry.state == State::Gone {
                self.entries.remove(&entry.server);
            } else {
                self.entries.insert(entry.server, (entry.clone(), *address));
            }
        }
    }

    /// Returns the start time in use for a node; `None` if it is not listed.
    pub fn start_time(&self, server: ServerId) -> Option<Nanos> {
        self.entries.get(&server).map(|(entry, _)| entry.started)
    }

    /// Returns all entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values()
    }

    /// Returns the entries whose overlaid form changes, with the new overlay applied, in order of their
    /// server ids.
    pub fn changed_by(&self, old: &Overlay, new: &Overlay) -> Vec<Endpoint> {
        if old == new {
            return Vec::new();
        }
        let mut changed = Vec::new();
        for (entry, address) in self.entries() {
            let overlaid = new.apply(entry);
            if overlaid != old.apply(entry) {
                changed.push((overlaid, *address));
            }
        }
        changed.sort_by_key(|(entry, _)| entry.server);
        changed
    }
}

#[cfg(test)]
mod tests;
