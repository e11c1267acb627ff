//! What operators change of nodes on top of the endpoint list. The first override that matches a node applies.
//!
//! An override may make a node smaller or larger and may take it out of service; it can't move it to another zone, cell
//! or kind. Danger: the nodes of a zone or cell deduplicate requests with idempotency keys among themselves. A node that only
//! seems to belong to them would run such a request a second time.

use aniseyoke_decision::api::{Entry, ServerId, State};
use rustc_hash::FxHashMap;

/// Overrides for zones and kinds are all looked at for each entry of the list: at most so many.
pub const MAX_GENERAL_OVERRIDES: usize = 256;
/// Overrides for single nodes: at most so many.
pub const MAX_NODE_OVERRIDES: usize = 4096;

/// Which nodes an override applies to: those that match every part that is given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeSelector {
    /// One node.
    pub node: Option<ServerId>,
    /// The nodes of a zone.
    pub zone: Option<u32>,
    /// The nodes of a machine kind.
    pub kind: Option<u32>,
}

impl NodeSelector {
    fn matches(&self, entry: &Entry) -> bool {
        self.node.is_none_or(|node| node == entry.server)
            && self.zone.is_none_or(|zone| zone == entry.zone)
            && self.kind.is_none_or(|kind| kind == entry.kind)
    }
}

/// What is changed of some nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeOverride {
    /// Which nodes.
    pub selector: NodeSelector,
    /// Their weight, as a multiple of the one in the list.
    pub weight: f64,
    /// They finish the requests that they have and get no new ones.
    pub drain: bool,
}

/// Overrides in their order, indexed so that entries of the list are matched fast.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Overlay {
    overrides: Vec<NodeOverride>,
    /// The index of the first override that selects one node by its id alone.
    by_node: FxHashMap<ServerId, usize>,
    /// The indexes of all others.
    general: Vec<usize>,
}

impl Overlay {
    /// An overlay of overrides, the first match first. To refuse more than [`MAX_GENERAL_OVERRIDES`] and
    /// [`MAX_NODE_OVERRIDES`] is up to the caller.
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

    /// Whether nothing is changed.
    pub fn is_empty(&self) -> bool {
        self.overrides.is_empty()
    }

    /// The override that applies to an entry.
    fn find(&self, entry: &Entry) -> Option<&NodeOverride> {
        let named = self.by_node.get(&entry.server).copied();
        let before = named.unwrap_or(usize::MAX);
        let mut general = self.general.iter().copied().take_while(|index| *index < before);
        let first = general.find(|index| self.overrides[*index].selector.matches(entry)).or(named)?;
        self.overrides.get(first)
    }

    /// An entry of the list as operators want it.
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
