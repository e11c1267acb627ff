//! The operators' overrides of nodes on top of the endpoint list. The first override that matches a node
//! applies.
//!
//! An override may change the weight of a node and may drain it; it can't move it to another zone, cell or
//! kind. The nodes of a zone or cell deduplicate requests with idempotency keys among themselves: a node that
//! is assigned to them only by an override would execute such a request a second time.

use aniseyoke_decision::api::{Entry, ServerId, State};
use rustc_hash::FxHashMap;

/// The maximum number of overrides for zones and kinds, which are all checked for each entry of the list.
pub const MAX_GENERAL_OVERRIDES: usize = 256;
/// The maximum number of overrides for single nodes.
pub const MAX_NODE_OVERRIDES: usize = 4096;

/// Selects the nodes that an override applies to: those that match every given field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeSelector {
    /// Matches one node.
    pub node: Option<ServerId>,
    /// Matches the nodes of a zone.
    pub zone: Option<u32>,
    /// Matches the nodes of a machine kind.
    pub kind: Option<u32>,
}

impl NodeSelector {
    fn matches(&self, entry: &Entry) -> bool {
        self.node.is_none_or(|node| node == entry.server)
            && self.zone.is_none_or(|zone| zone == entry.zone)
            && self.kind.is_none_or(|kind| kind == entry.kind)
    }
}

/// An override of some nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeOverride {
    /// The nodes that it applies to.
    pub selector: NodeSelector,
    /// The factor by which their weight in the list is multiplied.
    pub weight: f64,
    /// Whether the nodes are drained: they finish the requests in flight and get no new ones.
    pub drain: bool,
}

/// Overrides in their order, indexed for fast matching of entries of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overlay {
    overrides: Vec<NodeOverride>,
    /// The index of the first override that selects a node by its id alone.
    by_node: FxHashMap<ServerId, usize>,
    /// The indexes of all other overrides.
    general: Vec<usize>,
}

impl Overlay {
    /// Creates an overlay from overrides, of which the first match applies. The caller rejects more than
    /// [`MAX_GENERAL_OVERRIDES`] and [`MAX_NODE_OVERRIDES`].
    pub fn new(overrides: Vec<NodeOverride>) -> Self {
        let (mut by_node, mut general) = (FxHashMap::default(), Vec::new());
        for (index, node_override) in overrides.iter().enumerate() {
            match node_override.selector {
                NodeSelector { node: Some(node), zone: None, kind: None } => {
                    by_node.entry(node).or_insert(index);
                }
                _ => general.push(index),
            }
        }
        Overlay { overrides, by_node, general }
    }

    /// Whether there are no overrides.
    pub fn is_empty(&self) -> bool {
        self.overrides.is_empty()
    }

    /// Returns the override that applies to an entry.
    fn find(&self, entry: &Entry) -> Option<&NodeOverride> {
        let by_id = self.by_node.get(&entry.server).copied();
        let before = by_id.unwrap_or(usize::MAX);
        let mut general = self.general.iter().copied().take_while(|index| *index < before);
        let first = general.find(|index| self.overrides[*index].selector.matches(entry)).or(by_id)?;
        self.overrides.get(first)
    }

    /// Returns an entry of the list with its override applied.
    pub fn apply(&self, entry: &Entry) -> Entry {
        let mut changed = entry.clone();
        if let Some(node_override) = self.find(entry) {
            changed.weight *= node_override.weight;
            if node_override.drain && changed.state == State::Ready {
                changed.state = State::Draining;
            }
        }
        changed
    }
}

#[cfg(test)]
mod tests;
