//! The endpoint list of discovery: its version, and the changes since a version.

use aniseyoke_lab_day::clock::Nanos;
use std::collections::VecDeque;

/// A member's state in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// No longer in the fleet.
    Gone,
}

impl EndpointState {
    /// Its name in discovery's form.
    pub fn name(self) -> &'static str {
        match self {
            EndpointState::Ready => "ready",
            EndpointState::Draining => "draining",
            EndpointState::Gone => "gone",
        }
    }
}

/// How one member is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoint {
    /// Which member.
    pub member: usize,
    /// Its state.
    pub state: EndpointState,
    /// Its last start; none: long ago.
    pub started: Option<Nanos>,
}

/// Changes that are kept; a caller that is further behind gets the whole list.
const MAX_CHANGES: usize = 1024;

/// The list and its history.
#[derive(Debug, Default)]
pub struct EndpointList {
    version: u64,
    endpoints: Vec<Option<Endpoint>>,
    changes: VecDeque<(u64, Endpoint)>,
    /// Members listed as draining, whatever they are.
    misreported: Vec<usize>,
}

impl EndpointList {
    /// The list of these members, all of them ready.
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

    /// Lists a change.
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
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Lists these members as draining from now on, whatever they are, and no others.
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

    /// A member as the list has it.
    pub fn entry(&self, member: usize) -> Option<Endpoint> {
        let endpoint = self.endpoints.get(member).copied().flatten()?;
        let misreported = endpoint.state == EndpointState::Ready && self.misreported.contains(&member);
        Some(if misreported { Endpoint { state: EndpointState::Draining, ..endpoint } } else { endpoint })
    }

    /// The whole list.
    pub fn all(&self) -> Vec<Endpoint> {
        (0..self.endpoints.len()).filter_map(|m| self.entry(m)).collect()
    }

    /// What has changed since a version; none if that is too long ago, or a future version.
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
