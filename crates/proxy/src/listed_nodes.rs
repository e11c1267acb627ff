//! The nodes that have been on the endpoint list of any process of this proxy, used to reject an operator's call for
//! a name that no node has ever had. A node may leave the list before a process starts that operators call.

use crate::config::EndpointList;
use crate::shared_ids::{IdFiles, IdSet, SharedIds};
use aniseyoke_decision::api::server_id;
use std::rc::Rc;

/// The nodes that have been listed at some time.
pub struct ListedNodes(SharedIds);

impl ListedNodes {
    /// Opens the set; `files` are shared with the other processes of the proxy.
    pub fn open(files: Option<Rc<IdFiles>>) -> Rc<Self> {
        Rc::new(ListedNodes(SharedIds::open(IdSet::Listed, files)))
    }

    /// Records the nodes of a list, or of changes to it.
    pub fn record(&self, list: &EndpointList) {
        list.servers.iter().for_each(|endpoint| self.record_id(endpoint.id()));
    }

    /// Records a node.
    pub fn record_id(&self, id: &str) {
        self.0.add(server_id(id));
    }

    /// Whether a node with this id has been listed.
    pub fn contains(&self, id: &str) -> bool {
        self.0.contains(server_id(id))
    }
}

#[cfg(test)]
mod tests;
