//! What each member's machine is met with: connections opened and held, attempts out, against what it bears; and what it
//! turns away past that.

use aniseyoke_lab_day::clock::{Nanos, SECOND};
use serde::{Deserialize, Serialize};

/// What a cache node takes of connections, of all proxies together; past that it answers that it did nothing and closes.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bears {
    /// Connections that it holds; no limit if not given.
    pub connections: Option<u64>,
    /// Connections that it takes a second; no limit if not given.
    pub opens_per_second: Option<u64>,
}

/// What all members of a kind were met with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Met {
    /// Connections opened, for each second from the site's opening.
    pub opened: Vec<u64>,
    /// The most that any one member was opened in a second, for each second.
    pub opened_most: Vec<u64>,
    /// The most connections that any one member held.
    pub held_most: u64,
    /// The most attempts out at any one member.
    pub out_most: u64,
    /// Connections turned away for being past what a node takes, for each second.
    pub turned: Vec<u64>,
    /// Attempts turned away for lack of slots and room.
    pub full: u64,
}

/// Seconds that are counted.
const SECONDS_MOST: usize = 86_400;

fn at(counts: &mut Vec<u64>, second: usize) -> &mut u64 {
    let second = second.min(SECONDS_MOST);
    if counts.len() <= second {
        counts.resize(second + 1, 0);
    }
    &mut counts[second]
}

#[derive(Clone, Copy, Default)]
struct Member {
    held: u64,
    out: u64,
    second: usize,
    opened: u64,
}

/// The count.
pub struct Toll {
    bears: Bears,
    members: Vec<Member>,
    /// Of cache nodes, and of the ledger.
    met: [Met; 2],
}

impl Toll {
    /// Nothing yet, of nodes that take so much.
    pub fn new(bears: Bears) -> Self {
        Toll { bears, members: Vec::new(), met: [Met::default(), Met::default()] }
    }

    fn member(&mut self, member: usize) -> &mut Member {
        if self.members.len() <= member {
            self.members.resize(member + 1, Member::default());
        }
        &mut self.members[member]
    }

    /// A connection has come to a member; false if it is past what the member takes.
    pub fn opened(&mut self, now: Nanos, member: usize, ledger: bool) -> bool {
        let (second, bears) = ((now / SECOND) as usize, self.bears);
        let of = self.member(member);
        if of.second != second {
            (of.second, of.opened) = (second, 0);
        }
        of.opened += 1;
        of.held += 1;
        let Member { held, opened, .. } = *of;
        let over = |limit: Option<u64>, is: u64| limit.is_some_and(|most| is > most);
        let turned = !ledger && (over(bears.connections, held) || over(bears.opens_per_second, opened));
        let met = &mut self.met[usize::from(ledger)];
        *at(&mut met.opened, second) += 1;
        let most = at(&mut met.opened_most, second);
        *most = opened.max(*most);
        met.held_most = met.held_most.max(held);
        *at(&mut met.turned, second) += u64::from(turned);
        !turned
    }

    /// It has ended.
    pub fn closed(&mut self, member: usize) {
        let of = self.member(member);
        of.held = of.held.saturating_sub(1);
    }

    /// An attempt is out at a member, or no more.
    pub fn out(&mut self, member: usize, ledger: bool, comes: bool) {
        let of = self.member(member);
        of.out = if comes { of.out + 1 } else { of.out.saturating_sub(1) };
        let out = of.out;
        let met = &mut self.met[usize::from(ledger)];
        met.out_most = met.out_most.max(out);
    }

    /// An attempt was turned away for lack of room.
    pub fn full(&mut self, ledger: bool) {
        self.met[usize::from(ledger)].full += 1;
    }

    /// What cache nodes and the ledger were met with.
    pub fn met(&self) -> [Met; 2] {
        self.met.clone()
    }
}

#[cfg(test)]
mod tests;
