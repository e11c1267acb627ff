//! The list as discovery tells it, kept so that what operators say of nodes can be laid over it anew.

use aniseyoke_decision::api::{Entry, ServerId, State};
use aniseyoke_routes::Overlay;
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;

/// The entries of the list; as many as the list has.
#[derive(Default)]
pub struct Listing {
    entries: FxHashMap<ServerId, (Entry, Option<SocketAddr>)>,
}

impl Listing {
    /// Takes news; `whole` when what is not named is gone.
    pub fn take(&mut self, whole: bool, news: &[(Entry, Option<SocketAddr>)]) {
        if whole {
            let named: FxHashSet<ServerId> = news.iter().map(|(e, _)| e.server).collect();
            self.entries.retain(|server, _| named.contains(server));
        }
        for (entry, addr) in news {
            if entry.state == State::Gone {
                self.entries.remove(&entry.server);
            } else {
                self.entries.insert(entry.server, (entry.clone(), *addr));
            }
        }
    }

    /// All entries, in no order.
    pub fn entries(&self) -> impl Iterator<Item = &(Entry, Option<SocketAddr>)> {
        self.entries.values()
    }

    /// What is said otherwise of nodes after a change of the overlay, in the order of their ids.
    pub fn changed(&self, old: &Overlay, new: &Overlay) -> Vec<(Entry, Option<SocketAddr>)> {
        if old == new {
            return Vec::new();
        }
        let laid = self.entries().map(|(e, addr)| (old.apply(e), (new.apply(e), *addr)));
        let differs = laid.filter(|(old, (new, _))| old != new);
        let mut changed: Vec<_> = differs.map(|(_, new)| new).collect();
        changed.sort_by_key(|(e, _)| e.server);
        changed
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use aniseyoke_routes::overlay::{NodeOverride, NodeSelector};

    fn entry(server: u64, zone: u32) -> (Entry, Option<SocketAddr>) {
        (Entry { server, zone, weight: 1.0, ..Entry::default() }, None)
    }

    fn drained(zone: u32) -> Overlay {
        let on = NodeSelector { zone: Some(zone), ..NodeSelector::default() };
        Overlay::new(vec![NodeOverride { selector: on, weight: 1.0, drain: true }])
    }

    #[test]
    fn only_what_is_said_otherwise_is_told_again() {
        let mut listing = Listing::default();
        listing.take(true, &[entry(3, 0), entry(1, 0), entry(2, 1)]);
        let ids = |old: &Overlay, new: &Overlay| -> Vec<u64> {
            listing.changed(old, new).iter().map(|(e, _)| e.server).collect()
        };
        assert_eq!(ids(&Overlay::default(), &drained(0)), [1, 3]);
        assert_eq!(ids(&drained(0), &drained(1)), [1, 2, 3]);
        assert!(ids(&drained(1), &drained(1)).is_empty());
        assert!(listing
            .changed(&drained(1), &Overlay::default())
            .iter()
            .all(|(e, _)| e.state == State::Ready));
    }

    #[test]
    fn what_is_gone_is_forgotten() {
        let mut listing = Listing::default();
        listing.take(true, &[entry(1, 0), entry(2, 0), entry(3, 0)]);
        let (mut gone, _) = entry(1, 0);
        gone.state = State::Gone;
        listing.take(false, &[(gone, None)]);
        assert_eq!(listing.entries().count(), 2);
        listing.take(true, &[entry(3, 0)]);
        assert_eq!(listing.entries().count(), 1);
    }
}
