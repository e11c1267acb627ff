//! Connections and attempts in flight at each member, against the limits of cache nodes, and what was rejected past those.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// The connections that a cache node accepts of all proxies together. Past that it rejects a connection's first request
/// and closes it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConnectionLimits {
    /// Connections open at once; no limit if not given.
    pub connections: Option<u64>,
    /// Connections opened in a second; no limit if not given.
    pub opens_per_second: Option<u64>,
}

/// Connections and attempts at all members of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberLoad {
    /// Connections opened, for each second from the site's opening.
    pub opened: Vec<u64>,
    /// The most opened at any one member, for each second.
    #[serde(rename = "opened_most")]
    pub max_opened: Vec<u64>,
    /// The most connections open at once at any one member.
    #[serde(rename = "held_most")]
    pub max_open: u64,
    /// The most attempts in flight at any one member.
    #[serde(rename = "out_most")]
    pub max_in_flight: u64,
    /// Connections rejected for being past a node's limits, for each second.
    #[serde(rename = "turned")]
    pub rejected_connections: Vec<u64>,
    /// Attempts rejected since slots and queue were full.
    #[serde(rename = "full")]
    pub rejected_attempts: u64,
}

/// Seconds that are counted.
const MAX_SECONDS: usize = 86_400;

fn at(counts: &mut Vec<u64>, second: usize) -> &mut u64 {
    let second = second.min(MAX_SECONDS);
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    &mut counts[second]
}

#[derive(Clone, Copy, Default)]
struct MemberCounts {
    open: u64,
    in_flight: u64,
    second: usize,
    opened: u64,
}

/// Counts connections and attempts in flight at each member.
pub struct ConnectionLoad {
    limits: ConnectionLimits,
    members: Vec<MemberCounts>,
    /// At cache nodes, and at the origin.
    load: [MemberLoad; 2],
}

impl ConnectionLoad {
    /// Nothing counted yet, of nodes with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionLoad { limits, members: Vec::new(), load: [MemberLoad::default(), MemberLoad::default()] }
    }

    fn member(&mut self, member: usize) -> &mut MemberCounts {
        if self.members.len() <= member {
            self.members.resize(member + 1, MemberCounts::default());
        }
        &mut self.members[member]
    }

    /// A connection was opened to a member; false if it is past the member's limits.
    pub fn opened(&mut self, now: Nanos, member: usize, origin: bool) -> bool {
        let (second, limits) = ((now / SECOND) as usize, self.limits);
        let counts = self.member(member);
        if counts.second != second {
            (counts.second, counts.opened) = (second, 0);
        }
        counts.opened += 1;
        counts.open += 1;
        let MemberCounts { open, opened, .. } = *counts;
        let over = |limit: Option<u64>, value: u64| limit.is_some_and(|max| value > max);
        let rejected_connections =
            !origin && (over(limits.connections, open) || over(limits.opens_per_second, opened));
        let load = &mut self.load[usize::from(origin)];
        *at(&mut load.opened, second) += 1;
        let max = at(&mut load.max_opened, second);
        *max = opened.max(*max);
        load.max_open = load.max_open.max(open);
        *at(&mut load.rejected_connections, second) += u64::from(rejected_connections);
        !rejected_connections
    }

    /// A connection to a member has ended.
    pub fn closed(&mut self, member: usize) {
        let counts = self.member(member);
        counts.open = counts.open.saturating_sub(1);
    }

    /// An attempt at a member starts, or ends.
    pub fn in_flight(&mut self, member: usize, origin: bool, starts: bool) {
        let counts = self.member(member);
        counts.in_flight = if starts { counts.in_flight + 1 } else { counts.in_flight.saturating_sub(1) };
        let in_flight = counts.in_flight;
        let load = &mut self.load[usize::from(origin)];
        load.max_in_flight = load.max_in_flight.max(in_flight);
    }

    /// An attempt was rejected since slots and queue were full.
    pub fn rejected(&mut self, origin: bool) {
        self.load[usize::from(origin)].rejected_attempts += 1;
    }

    /// What was counted at cache nodes, and at the origin.
    pub fn load(&self) -> [MemberLoad; 2] {
        self.load.clone()
    }
}

#[cfg(test)]
mod tests;
