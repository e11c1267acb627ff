//! The endpoint list as merged from the full list and the changes to it.

use crate::config::{Endpoint, EndpointList};
use std::collections::BTreeMap;

/// Most entries of a list that is merged.
const MAX_ENTRIES: usize = 1 << 14;

/// The current list, as the discovery service tells it.
#[derive(Default)]
pub(super) struct MergedList {
    /// Entries by id; `None` until the full list is known.
    entries: Option<BTreeMap<String, Endpoint>>,
}

impl MergedList {
    /// Begins with a list, if that is a full one.
    pub(super) fn new(list: Option<&EndpointList>) -> Self {
        MergedList { entries: list.filter(|list| list.full).map(by_id) }
    }

    /// Applies the full list or changes to it, perhaps none; returns whether the result is known. Changes to an
    /// unknown list can't be applied; it is known again with the next full list.
    pub(super) fn apply(&mut self, received: &EndpointList) -> bool {
        if received.full {
            self.entries = Some(by_id(received));
        }
        let Some(entries) = &mut self.entries else { return false };
        for endpoint in received.servers.iter().filter(|_| !received.full) {
            if endpoint.gone() {
                entries.remove(endpoint.id());
            } else {
                entries.insert(endpoint.id().to_owned(), endpoint.clone());
            }
        }
        if entries.len() > MAX_ENTRIES {
            self.entries = None;
        }
        self.entries.is_some()
    }

    /// Returns the full list, as that of `version`; `None` if it is not known.
    pub(super) fn to_list(&self, version: u64) -> Option<EndpointList> {
        let servers = self.entries.as_ref()?.values().cloned().collect();
        Some(EndpointList { version, full: true, servers })
    }
}

fn by_id(list: &EndpointList) -> BTreeMap<String, Endpoint> {
    let listed = list.servers.iter().filter(|endpoint| !endpoint.gone());
    listed.map(|endpoint| (endpoint.id().to_owned(), endpoint.clone())).collect()
}
