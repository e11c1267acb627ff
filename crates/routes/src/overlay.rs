//! What operators say of nodes on top of what discovery says. The first remark that fits a node counts.
//!
//! A remark may make a node smaller or larger and may take it out of service; it can't move one to another zone, cell or
//! kind. Danger: nodes of a zone or cell drop repeats of keyed requests between them, and one that only seems to be of
//! their number would run such a request twice.

use aniseyoke_decision::api::{Entry, ServerId, State};
use rustc_hash::FxHashMap;

/// Remarks on zones and kinds are walked for each entry of the list: there are at most so many.
pub const REMARKS_MOST: usize = 256;
/// Remarks on single nodes: at most so many.
pub const NODES_MOST: usize = 4096;

/// Which nodes a remark is on: those that fit every part that is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct On {
    /// One node.
    pub node: Option<ServerId>,
    /// The nodes of a zone.
    pub zone: Option<u32>,
    /// The nodes of a machine kind.
    pub kind: Option<u32>,
}

impl On {
    fn fits(&self, e: &Entry) -> bool {
        self.node.is_none_or(|n| n == e.server)
            && self.zone.is_none_or(|z| z == e.zone)
            && self.kind.is_none_or(|k| k == e.kind)
    }
}

/// What is said of some nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Remark {
    /// Of which.
    pub on: On,
    /// Their size, as a multiple of the one that the list gives.
    pub weight: f64,
    /// They finish what they have, and get nothing new.
    pub drain: bool,
}

/// Remarks in their order, ready to be laid over entries of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overlay {
    remarks: Vec<Remark>,
    /// The first remark that names a node.
    nodes: FxHashMap<ServerId, usize>,
    /// Those that name none.
    wide: Vec<usize>,
}

impl Overlay {
    /// Remarks, the first that fits first. What is beyond [`REMARKS_MOST`] and [`NODES_MOST`] is the caller's to refuse.
    pub fn new(remarks: Vec<Remark>) -> Self {
        let (mut nodes, mut wide) = (FxHashMap::default(), Vec::new());
        for (n, remark) in remarks.iter().enumerate() {
            match remark.on {
                On { node: Some(node), zone: None, kind: None } => _ = nodes.entry(node).or_insert(n),
                _ => wide.push(n),
            }
        }
        Overlay { remarks, nodes, wide }
    }

    /// Whether nothing is said.
    pub fn is_empty(&self) -> bool {
        self.remarks.is_empty()
    }

    /// The remark that counts for an entry.
    fn remark(&self, e: &Entry) -> Option<&Remark> {
        let named = self.nodes.get(&e.server).copied();
        let before = named.unwrap_or(usize::MAX);
        let wide = self.wide.iter().copied().take_while(|n| *n < before);
        let first = wide.filter(|n| self.remarks[*n].on.fits(e)).min().or(named)?;
        self.remarks.get(first)
    }

    /// An entry of the list as operators want it.
    pub fn laid(&self, entry: &Entry) -> Entry {
        let mut laid = entry.clone();
        if let Some(remark) = self.remark(entry) {
            laid.weight *= remark.weight;
            if remark.drain && laid.state == State::Ready {
                laid.state = State::Draining;
            }
        }
        laid
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn entry(server: u64, zone: u32, kind: u32) -> Entry {
        Entry { server, zone, kind, weight: 2.0, ..Entry::default() }
    }

    fn remark(on: On, weight: f64, drain: bool) -> Remark {
        Remark { on, weight, drain }
    }

    #[test]
    fn the_first_remark_that_fits_counts_and_the_rest_of_the_entry_stays() {
        let overlay = Overlay::new(vec![
            remark(On { node: Some(1), ..On::default() }, 0.5, false),
            remark(On { zone: Some(0), ..On::default() }, 1.0, true),
            remark(On { node: Some(2), ..On::default() }, 3.0, false),
        ]);
        assert_eq!(overlay.laid(&entry(1, 0, 0)), Entry { weight: 1.0, ..entry(1, 0, 0) });
        assert_eq!(overlay.laid(&entry(2, 0, 0)), Entry { state: State::Draining, ..entry(2, 0, 0) });
        assert_eq!(overlay.laid(&entry(2, 1, 0)), Entry { weight: 6.0, ..entry(2, 1, 0) });
        assert_eq!(overlay.laid(&entry(3, 1, 0)), entry(3, 1, 0));
        assert_eq!(Overlay::default().laid(&entry(1, 0, 0)), entry(1, 0, 0));
    }

    #[test]
    fn what_the_list_says_is_gone_does_not_come_back() {
        let overlay = Overlay::new(vec![remark(On::default(), 1.0, true)]);
        let gone = Entry { state: State::Gone, ..entry(1, 0, 0) };
        assert_eq!(overlay.laid(&gone).state, State::Gone);
    }

    fn some_on() -> impl Strategy<Value = On> {
        let small = || prop::option::of(0u32..3);
        (prop::option::of(0u64..4), small(), small()).prop_map(|(node, zone, kind)| On { node, zone, kind })
    }

    proptest! {
        #[test]
        fn a_look_finds_what_a_walk_in_order_finds(
            ons in prop::collection::vec(some_on(), 0..12),
            asked in prop::collection::vec((0u64..5, 0u32..4, 0u32..4), 1..20),
        ) {
            let remarks: Vec<Remark> =
                ons.iter().enumerate().map(|(n, on)| remark(*on, 1.0 + n as f64, n % 2 == 0)).collect();
            let overlay = Overlay::new(remarks.clone());
            for (server, zone, kind) in asked {
                let e = entry(server, zone, kind);
                prop_assert_eq!(overlay.remark(&e), remarks.iter().find(|r| r.on.fits(&e)));
            }
        }
    }
}
