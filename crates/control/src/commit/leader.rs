//! The leader of the control services: has changes prepared, asks for their commit or abort, and grants leases.

use super::{Change, Log, Name, Nanos, Record, Times, ToLeader, ToMember};
use crate::version::Stamp;
use std::collections::BTreeMap;

/// Members that one leader looks after; more get no lease.
const MEMBERS_MOST: usize = 20_000;
/// Names of members that are told with a reason.
const NAMED_MOST: usize = 10;

/// What a leader wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Send this to a member.
    Send(Name, ToMember),
    /// Append a record to the log, under this leader's term; once it is agreed on, call [`Leader::agreed`].
    Append(Record),
    /// Have a majority of the services confirm, from now on, that this one still leads; then call [`Leader::confirmed`] with
    /// the same words, and not at all if it does not lead any more.
    Confirm(Name, Nanos),
}

/// A member as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Standing {
    /// It may take requests up to here at the latest, on the leader's clock.
    pub lease: Nanos,
    /// What it runs, by its last word.
    pub runs: Option<Change>,
    /// What it has prepared, by its last word.
    pub prepared: Option<Change>,
}

/// A leader, for as long as it leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    times: Times,
    log: Log,
    members: BTreeMap<Name, Standing>,
    /// Leases that others granted before are over from here on.
    alone: Nanos,
    /// When the open change was begun, or met by this leader.
    begun: Nanos,
    /// A commit or abort of the open change was asked for.
    asked: bool,
    /// A change begins to be prepared no sooner: until then some member may take requests under what held before the last one.
    settled: Nanos,
}

impl Leader {
    /// A service that begins to lead now, with what the log comes to.
    pub fn new(times: Times, log: Log, now: Nanos) -> Self {
        let alone = now.saturating_add(times.over());
        Leader { times, log, members: BTreeMap::new(), alone, begun: now, asked: false, settled: alone }
    }

    /// What the log comes to.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// All members that were heard of.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &Standing)> {
        self.members.iter()
    }

    /// Asks for a change to begin.
    ///
    /// # Errors
    /// Why it can't: another one is open, or some member may still run what held before the last one.
    pub fn publish(&mut self, now: Nanos, change: Change, orders: &mut Vec<Order>) -> Result<(), String> {
        let record = Record::Begin { change };
        self.log.fits(&record).map_err(|unfit| unfit.to_string())?;
        if !self.is_settled(now) {
            let wait = self.settled.saturating_sub(now) / 1_000_000;
            let last = self.log.committed().map_or("an earlier leader's".into(), |c| c.stamp.to_string());
            return Err(format!("version {last} may not hold everywhere yet; publish again in {wait} ms"));
        }
        orders.push(Order::Append(record));
        Ok(())
    }

    /// Whether what is committed holds everywhere: each member runs it, or takes no requests.
    pub fn is_settled(&self, now: Nanos) -> bool {
        let committed = self.log.committed();
        let holds = |m: &Standing| m.lease <= now || m.runs.as_ref() == committed;
        now >= self.alone && (now >= self.settled || self.members.values().all(holds))
    }

    /// A record of the log is agreed on, whoever asked for it.
    pub fn agreed(&mut self, now: Nanos, record: Record, orders: &mut Vec<Order>) {
        if self.log.apply(record.clone()).is_err() {
            return;
        }
        self.asked = false;
        let what = match record {
            Record::Begin { change } => {
                self.begun = now;
                ToMember::Prepare { change }
            }
            Record::Commit { .. } => {
                self.settled = now.saturating_add(self.times.over());
                let Some(change) = self.log.committed().cloned() else { return };
                ToMember::Commit { change }
            }
            Record::Abort { stamp, .. } => ToMember::Abort { stamp },
        };
        orders.extend(self.members.keys().map(|name| Order::Send(name.clone(), what.clone())));
    }

    /// A member has said something.
    pub fn told(&mut self, now: Nanos, name: &Name, what: ToLeader, orders: &mut Vec<Order>) {
        match what {
            ToLeader::Renew { asked, runs, prepared } => {
                if self.members.len() >= MEMBERS_MOST && !self.members.contains_key(name) {
                    return;
                }
                // Who is never granted one is forgotten in time as well.
                let member = self.members.entry(name.clone()).or_insert(Standing {
                    lease: now,
                    runs: None,
                    prepared: None,
                });
                (member.runs, member.prepared) = (runs, prepared);
                self.bring(name, orders);
                if self.may_hold(name) {
                    orders.push(Order::Confirm(name.clone(), asked));
                }
            }
            ToLeader::Prepared { change } => {
                if let Some(member) = self.members.get_mut(name) {
                    member.prepared = Some(change);
                }
                self.decide(now, orders);
            }
            ToLeader::Refused { change, why } => {
                if self.log.open() == Some(&change) {
                    self.ask(Record::Abort { stamp: change.stamp, why: format!("{name}: {why}") }, orders);
                }
            }
        }
    }

    /// Tells a member what it lacks: the commit that it missed, the change to prepare, the abort of what it holds ready.
    fn bring(&self, name: &Name, orders: &mut Vec<Order>) {
        let Some(member) = self.members.get(name) else { return };
        let (committed, open) = (self.log.committed(), self.log.open());
        let mut send = |what| orders.push(Order::Send(name.clone(), what));
        if let Some(held) =
            member.prepared.as_ref().filter(|held| Some(*held) != open && Some(*held) != committed)
        {
            send(ToMember::Abort { stamp: held.stamp });
        }
        if let Some(committed) = committed.filter(|c| member.runs.as_ref() != Some(c)) {
            return send(ToMember::Commit { change: committed.clone() });
        }
        if let Some(open) = open.filter(|open| member.prepared.as_ref() != Some(open)) {
            send(ToMember::Prepare { change: open.clone() });
        }
    }

    /// Whether a member may be granted a lease: it runs what is committed, and if a decision was asked for it has prepared
    /// what that may commit.
    fn may_hold(&self, name: &Name) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let ready = !self.asked || member.prepared.as_ref() == self.log.open();
        member.runs.as_ref() == self.log.committed() && ready
    }

    /// A majority has confirmed, after a member asked for its lease, that this service leads. The member's lease counts from
    /// when it asked, so no later leader's quiet time can be over before it is.
    pub fn confirmed(&mut self, now: Nanos, name: &Name, asked: Nanos, orders: &mut Vec<Order>) {
        // What holds may have changed meanwhile.
        if !self.may_hold(name) {
            return;
        }
        let until = now.saturating_add(self.times.over());
        if let Some(member) = self.members.get_mut(name) {
            member.lease = member.lease.max(until);
            let committed = self.log.committed().cloned();
            orders.push(Order::Send(name.clone(), ToMember::Granted { asked, committed }));
        }
    }

    /// Time has passed. To be called many times in a lease.
    pub fn tick(&mut self, now: Nanos, orders: &mut Vec<Order>) {
        self.decide(now, orders);
        // Who is gone for long is forgotten; it is met again as anyone is.
        let forgotten = self.times.over().saturating_mul(10);
        self.members.retain(|_, m| m.lease.saturating_add(forgotten) > now);
    }

    /// Asks for the commit once every member that may take requests has prepared the open change, and for its abort once that
    /// has taken too long.
    fn decide(&mut self, now: Nanos, orders: &mut Vec<Order>) {
        let Some(open) = self.log.open().cloned() else { return };
        if self.asked || now < self.alone {
            return;
        }
        let lacks = |m: &Standing| m.lease > now && m.prepared.as_ref() != Some(&open);
        let lacking: Vec<&str> =
            self.members.iter().filter(|(_, m)| lacks(m)).map(|(name, _)| &**name).collect();
        let stamp = open.stamp;
        if lacking.is_empty() {
            return self.ask(Record::Commit { stamp }, orders);
        }
        if now.saturating_sub(self.begun.max(self.alone)) > self.times.prepare {
            let named: Vec<&str> = lacking.iter().copied().take(NAMED_MOST).collect();
            let more = lacking.len() - named.len();
            let more = if more > 0 { format!(" and {more} more") } else { String::new() };
            let why = format!("not prepared in time by {}{more}", named.join(", "));
            self.ask(Record::Abort { stamp, why }, orders);
        }
    }

    fn ask(&mut self, record: Record, orders: &mut Vec<Order>) {
        if !std::mem::replace(&mut self.asked, true) {
            orders.push(Order::Append(record));
        }
    }

    /// A record that was asked for was not agreed on, and never will be under this term.
    pub fn not_agreed(&mut self) {
        self.asked = false;
    }

    /// The change that a stamp is of, if it is open or committed.
    pub fn change(&self, stamp: Stamp) -> Option<&Change> {
        [self.log.open(), self.log.committed()].into_iter().flatten().find(|c| c.stamp == stamp)
    }
}
