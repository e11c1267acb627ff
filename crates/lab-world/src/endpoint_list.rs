//! The endpoint list that discovery serves: its version, and the changes since an earlier version.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// A member's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes its requests in flight and accepts no new ones.
    Draining,
    /// Removed from the fleet.
    Gone,
}

impl EndpointState {
    /// The state's name in the JSON of discovery.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        }
    }
}

/// The entry of one member in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// The member's index.
    pub member: usize,
    /// The listed state.
    pub state: EndpointState,
    /// The member's last start; `None` if it was running before the day began.
    pub started: Option<Nanos>,
}

/// Changes retained; a caller with an older version gets the full list.
const MAX_RETAINED_CHANGES: usize = 1024;

/// The endpoint list and its recent changes.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: u64,
    endpoints: Vec<Option<Endpoint>>,
    changes: VecDeque<(u64, Endpoint)>,
    /// Members listed as draining while they are ready.
    misreported: Vec<usize>,
}

impl EndpointList {
    /// Creates a list of this many members, all of them ready.
    pub fn new(members: usize) -> Self {
        let endpoint = |member| Some(Endpoint { member, state: EndpointState::Ready, started: None });
        EndpointList {
            version: 1,
            endpoints: (0..members).map(endpoint).collect(),
            ..EndpointList::default()
        }
    }

    /// The current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies a change to the list; the version rises if the visible entry changes.
    pub fn publish(&mut self, endpoint: Endpoint) {
        if self.endpoints.len() <= endpoint.member {
            self.endpoints.resize(endpoint.member + 1, None);
        }
        let before = self.entry(endpoint.member);
        self.endpoints[endpoint.member] = Some(endpoint).filter(|l| l.state != EndpointState::Gone);
        if before != self.entry(endpoint.member) {
            self.record_change(endpoint);
        }
    }

    fn record_change(&mut self, endpoint: Endpoint) {
        self.version += 1;
        let entry = self.entry(endpoint.member).unwrap_or(endpoint);
        self.changes.push_back((self.version, entry));
        if self.changes.len() > MAX_RETAINED_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Lists exactly these members as draining from now on if they are ready; replaces an earlier set.
    pub fn misreport(&mut self, members: Vec<usize>) {
        let before = std::mem::replace(&mut self.misreported, members);
        let changed: Vec<usize> = before
            .iter()
            .chain(&self.misreported)
            .filter(|m| before.contains(m) != self.misreported.contains(m))
            .copied()
            .collect();
        for member in changed {
            if let Some(endpoint) = self.endpoints.get(member).copied().flatten() {
                self.record_change(endpoint);
            }
        }
    }

    /// The visible entry of a member.
    pub fn entry(&self, member: usize) -> Option<Endpoint> {
        let endpoint = self.endpoints.get(member).copied().flatten()?;
        let misreported = endpoint.state == EndpointState::Ready && self.misreported.contains(&member);
        Some(if misreported { Endpoint { state: EndpointState::Draining, ..endpoint } } else { endpoint })
    }

    /// All entries.
    pub fn all(&self) -> Vec<Endpoint> {
        (0..self.endpoints.len()).filter_map(|m| self.entry(m)).collect()
    }

    /// The changes since a version; `None` if they are no longer retained, or for a future version.
    pub fn since(&self, version: u64) -> Option<Vec<Endpoint>> {
        let missed = self.version.checked_sub(version)? as usize;
        if missed > self.changes.len() {
            return None;
        }
        Some(self.changes.iter().skip(self.changes.len() - missed).map(|(_, endpoint)| *endpoint).collect())
    }
}

#[cfg(test)]
mod tests;
