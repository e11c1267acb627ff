//! The endpoint list as reported by discovery, stored so that a new overlay can be applied to it.
//!
//! A new server may get the address of one that has gone before the list tells of that one's end. Requests for the old
//! one would reach the new one, which may be cold. So of the servers listed at one address those are replaced that
//! started before another; they are in use again once they are the only one there.

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
    /// The listed servers of each address.
    at_address: FxHashMap<SocketAddr, Vec<ServerId>>,
    /// The listed servers whose address belongs to one that started later.
    replaced: FxHashSet<ServerId>,
}

impl EndpointList {
    /// Applies an update, and returns it as it takes effect: without servers that are replaced, and with those that
    /// it replaces as gone. A `complete` update removes the entries that it does not contain.
    pub fn apply(&mut self, complete: bool, update: &[Endpoint]) -> Vec<Endpoint> {
        let mut addresses: FxHashSet<SocketAddr> = FxHashSet::default();
        if complete {
            let named: FxHashSet<ServerId> = update.iter().map(|(entry, _)| entry.server).collect();
            let unlisted: Vec<_> =
                self.entries.keys().filter(|server| !named.contains(server)).copied().collect();
            unlisted.into_iter().for_each(|server| addresses.extend(self.remove(server)));
        }
        for (entry, address) in update {
            addresses.extend(self.remove(entry.server));
            if entry.state != State::Gone {
                self.insert(entry.clone(), *address);
                addresses.extend(address);
            }
        }
        let mut changes = self.update_replaced(&addresses);
        if complete {
            // A replaced server counts as gone, since the update does not contain it.
            changes.clear();
        }
        let in_use = |(entry, _): &&Endpoint| entry.state == State::Gone || !self.is_replaced(entry.server);
        let updated: FxHashSet<ServerId> = update.iter().map(|(entry, _)| entry.server).collect();
        changes.retain(|(entry, _)| entry.state == State::Gone || !updated.contains(&entry.server));
        changes.extend(update.iter().filter(in_use).cloned());
        changes
    }

    fn insert(&mut self, entry: Entry, address: Option<SocketAddr>) {
        match address {
            Some(address) => self.at_address.entry(address).or_default().push(entry.server),
            None => drop(self.replaced.remove(&entry.server)),
        }
        self.entries.insert(entry.server, (entry, address));
    }

    /// Removes an entry; returns its address.
    fn remove(&mut self, server: ServerId) -> Option<SocketAddr> {
        let (_, address) = self.entries.remove(&server)?;
        let address = address?;
        let servers = self.at_address.get_mut(&address)?;
        servers.retain(|other| *other != server);
        if servers.is_empty() {
            self.at_address.remove(&address);
        }
        Some(address)
    }

    /// Decides anew which servers at these addresses are replaced. Returns those that now are, as gone, and those
    /// that no longer are.
    fn update_replaced(&mut self, addresses: &FxHashSet<SocketAddr>) -> Vec<Endpoint> {
        let entries = &self.entries;
        self.replaced.retain(|server| entries.contains_key(server));
        let mut changes = Vec::new();
        for servers in addresses.iter().filter_map(|address| self.at_address.get(address)) {
            let started = |server: &ServerId| self.entries.get(server).map_or(0, |(entry, _)| entry.started);
            let last_start = servers.iter().map(started).max().unwrap_or(0);
            for server in servers {
                let Some((entry, address)) = self.entries.get(server) else { continue };
                let is_replaced = entry.started < last_start;
                if is_replaced && self.replaced.insert(*server) {
                    tracing::info!(
                        ?address,
                        "server {server:016x} is out of use: a later one has its address"
                    );
                    changes.push((Entry { state: State::Gone, ..entry.clone() }, *address));
                } else if !is_replaced && self.replaced.remove(server) {
                    changes.push((entry.clone(), *address));
                }
            }
        }
        changes
    }

    fn is_replaced(&self, server: ServerId) -> bool {
        self.replaced.contains(&server)
    }

    /// Returns the start time in use for a node; `None` if it is not listed.
    pub fn start_time(&self, server: ServerId) -> Option<Nanos> {
        self.entries.get(&server).map(|(entry, _)| entry.started)
    }

    /// Returns the entries of all servers that are not replaced, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter(|(entry, _)| !self.is_replaced(entry.server))
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
