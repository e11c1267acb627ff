//! Counts connections and attempts in flight at each member, applies the connection limits of cache nodes, and counts
//! rejections.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// Limits on the connections that a cache node accepts from all proxies together. Past a limit, the node rejects the
/// first request of a new connection and closes it.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ConnectionLimits {
    /// Maximum number of open connections; unlimited if absent.
    pub connections: Option<u64>,
    /// Maximum number of connections opened per second; unlimited if absent.
    pub opens_per_second: Option<u64>,
}

/// Counts of connections and attempts at all cache nodes, or at the origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MemberLoad {
    /// Connections opened in each second since the site opened.
    pub opened: Vec<u64>,
    /// Maximum number of connections opened at a single member in each second.
    #[serde(rename = "opened_most")]
    pub max_opened: Vec<u64>,
    /// Maximum number of open connections at a single member.
    #[serde(rename = "held_most")]
    pub max_open: u64,
    /// Maximum number of attempts in flight at a single member.
    #[serde(rename = "out_most")]
    pub max_in_flight: u64,
    /// Connections rejected because of a node's limits in each second.
    #[serde(rename = "turned")]
    pub rejected_connections: Vec<u64>,
    /// Attempts rejected because slots and queue were full.
    #[serde(rename = "full")]
    pub rejected_attempts: u64,
}

/// Seconds with a counter of their own; later events count towards the last one.
const MAX_COUNTED_SECONDS: usize = 86_400;

fn at(counts: &mut Vec<u64>, second: usize) -> &mut u64 {
    let second = second.min(MAX_COUNTED_SECONDS);
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

/// Tracks connections and attempts in flight at each member.
pub struct ConnectionLoad {
    limits: ConnectionLimits,
    members: Vec<MemberCounts>,
    /// Counts at cache nodes, then at the origin.
    load: [MemberLoad; 2],
}

impl ConnectionLoad {
    /// Creates counters at zero for nodes with these limits.
    pub fn new(limits: ConnectionLimits) -> Self {
        ConnectionLoad { limits, members: Vec::new(), load: [MemberLoad::default(), MemberLoad::default()] }
    }

    fn member(&mut self, member: usize) -> &mut MemberCounts {
        if self.members.len() <= member {
            self.members.resize(member + 1, MemberCounts::default());
        }
        &mut self.members[member]
    }

    /// Records a connection opened to a member; returns false if it exceeds the member's limits. The origin has no
    /// limits.
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

    /// Records the end of a connection to a member.
    pub fn closed(&mut self, member: usize) {
        let counts = self.member(member);
        counts.open = counts.open.saturating_sub(1);
    }

    /// Records the start or the end of an attempt at a member.
    pub fn in_flight(&mut self, member: usize, origin: bool, starts: bool) {
        let counts = self.member(member);
        counts.in_flight = if starts { counts.in_flight + 1 } else { counts.in_flight.saturating_sub(1) };
        let in_flight = counts.in_flight;
        let load = &mut self.load[usize::from(origin)];
        load.max_in_flight = load.max_in_flight.max(in_flight);
    }

    /// Records an attempt rejected because slots and queue were full.
    pub fn rejected(&mut self, origin: bool) {
        self.load[usize::from(origin)].rejected_attempts += 1;
    }

    /// The counts at cache nodes, then at the origin.
    pub fn load(&self) -> [MemberLoad; 2] {
        self.load.clone()
    }
}

#[cfg(test)]
mod tests;
