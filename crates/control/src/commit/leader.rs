//! The leader of the control services: has changes prepared, requests their commit or abort, and grants
//! leases.

use super::{Change, LeaderMessage, Log, MemberMessage, Name, Nanos, Record, RecordError, Times};
use crate::version::Stamp;
use std::collections::BTreeMap;

/// Maximum number of members of one leader; others get no lease.
const MAX_MEMBERS: usize = 20_000;
/// Maximum number of members that the reason of an abort names.
const MAX_NAMES: usize = 10;
/// A member is removed this many leases after the end of its last one.
const RETENTION_LEASES: u64 = 10;
const NANOS_PER_MS: u64 = 1_000_000;

/// An action that the leader's caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaderAction {
    /// Send a message to a member.
    Send(Name, LeaderMessage),
    /// Append a record to the log under this leader's term, and call [`Leader::record_committed`] once a
    /// majority has it.
    Append(Record),
    /// Start a new round in which a majority of the services confirms that this one still leads; then call
    /// [`Leader::leadership_confirmed`] with the same name and time. If this service no longer leads, make no
    /// call.
    ConfirmLeadership(Name, Nanos),
}

/// Why a change can't begin.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PublishRejected {
    /// The log does not accept it.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// Some proxy may still serve requests under a version before the last committed one.
    #[error("version {} may not be in force everywhere yet; publish again in {retry_ms} ms", .last.map_or("of an earlier leader".to_owned(), |stamp| stamp.to_string()))]
    NotSettled {
        /// The last committed version; none where an earlier leader may have granted leases.
        last: Option<Stamp>,
        /// The longest time until a retry is no longer rejected for this reason, in milliseconds.
        retry_ms: u64,
    },
}

/// A member as the leader knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemberState {
    /// The latest time at which the member may still serve requests, on the leader's clock.
    pub lease_until: Nanos,
    /// The version that the member runs, by its last heartbeat.
    pub running: Option<Change>,
    /// The change that the member has prepared, by its last heartbeat or vote.
    pub prepared: Option<Change>,
}

/// A leader, for one term.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    times: Times,
    log: Log,
    members: BTreeMap<Name, MemberState>,
    /// When all leases that earlier leaders granted are over.
    earlier_leases_end: Nanos,
    /// When the pending change began, or when this leader's term began with it.
    prepare_started: Nanos,
    /// Whether the commit or abort of the pending change was requested.
    decision_requested: bool,
    /// The time from which on every member is known to run the committed version or to serve no requests.
    /// Before, a change may begin only if the state of each member shows the same; see
    /// [`Leader::is_settled`].
    settled_at: Nanos,
}

impl Leader {
    /// Creates the leader for a term that begins now, with the current state of the log.
    pub fn new(times: Times, log: Log, now: Nanos) -> Self {
        let earlier_leases_end = now.saturating_add(times.lease_with_margin());
        Leader {
            times,
            log,
            members: BTreeMap::new(),
            earlier_leases_end,
            prepare_started: now,
            decision_requested: false,
            settled_at: earlier_leases_end,
        }
    }

    /// The state of the log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// All known members.
    pub fn members(&self) -> impl Iterator<Item = (&Name, &MemberState)> {
        self.members.iter()
    }

    /// Requests that a change begins.
    ///
    /// # Errors
    /// Why it can't begin.
    pub fn publish(
        &mut self,
        now: Nanos,
        change: Change,
        actions: &mut Vec<LeaderAction>,
    ) -> Result<(), PublishRejected> {
        let record = Record::Begin { change };
        self.log.check(&record)?;
        if !self.is_settled(now) {
            let retry_ms = self.settled_at.saturating_sub(now) / NANOS_PER_MS;
            let last = self.log.committed().map(|change| change.stamp);
            return Err(PublishRejected::NotSettled { last, retry_ms });
        }
        actions.push(LeaderAction::Append(record));
        Ok(())
    }

    /// Whether the committed version is in force everywhere: each member runs it, or serves no requests.
    pub fn is_settled(&self, now: Nanos) -> bool {
        let committed = self.log.committed();
        let complies = |m: &MemberState| m.lease_until <= now || m.running.as_ref() == committed;
        now >= self.earlier_leases_end && (now >= self.settled_at || self.members.values().all(complies))
    }

    /// Handles a record that a majority has appended, whichever leader requested it.
    pub fn record_committed(&mut self, now: Nanos, record: Record, actions: &mut Vec<LeaderAction>) {
        if self.log.apply(record.clone()).is_err() {
            return;
        }
        self.decision_requested = false;
        let message = match record {
            Record::Begin { change } => {
                self.prepare_started = now;
                LeaderMessage::Prepare { change }
            }
            Record::Commit { .. } => {
                self.settled_at = now.saturating_add(self.times.lease_with_margin());
                let Some(change) = self.log.committed().cloned() else { return };
                LeaderMessage::Commit { change }
            }
            Record::Abort { stamp, .. } => LeaderMessage::Abort { stamp },
        };
        actions.extend(self.members.keys().map(|name| LeaderAction::Send(name.clone(), message.clone())));
    }

    /// Handles a message of a member.
    pub fn receive(
        &mut self,
        now: Nanos,
        name: &Name,
        message: MemberMessage,
        actions: &mut Vec<LeaderAction>,
    ) {
        match message {
            MemberMessage::Heartbeat { sent_at, running, prepared } => {
                if self.members.len() >= MAX_MEMBERS && !self.members.contains_key(name) {
                    return;
                }
                // Starts at `now`, so that a member that is never granted a lease is removed in time as well.
                let new = MemberState { lease_until: now, running: None, prepared: None };
                let member = self.members.entry(name.clone()).or_insert(new);
                member.running = running;
                member.prepared = prepared;
                self.catch_up(name, actions);
                if self.may_hold_lease(name) {
                    actions.push(LeaderAction::ConfirmLeadership(name.clone(), sent_at));
                }
            }
            MemberMessage::VoteCommit { change } => {
                if let Some(member) = self.members.get_mut(name) {
                    member.prepared = Some(change);
                }
                self.decide(now, actions);
            }
            MemberMessage::VoteAbort { change, reason } => {
                if self.log.pending() == Some(&change) {
                    let reason = format!("{name}: {reason}");
                    self.request_decision(Record::Abort { stamp: change.stamp, reason }, actions);
                }
            }
        }
    }

    /// Sends a member the messages that it missed: a commit, a change to prepare, the abort of the change
    /// that it has prepared.
    fn catch_up(&self, name: &Name, actions: &mut Vec<LeaderAction>) {
        let Some(member) = self.members.get(name) else { return };
        let (committed, pending) = (self.log.committed(), self.log.pending());
        let mut send = |message| actions.push(LeaderAction::Send(name.clone(), message));
        let prepared = member.prepared.as_ref();
        if let Some(stale) = prepared.filter(|p| Some(*p) != pending && Some(*p) != committed) {
            send(LeaderMessage::Abort { stamp: stale.stamp });
        }
        if let Some(committed) = committed.filter(|c| member.running.as_ref() != Some(c)) {
            return send(LeaderMessage::Commit { change: committed.clone() });
        }
        if let Some(pending) = pending.filter(|pending| prepared != Some(pending)) {
            send(LeaderMessage::Prepare { change: pending.clone() });
        }
    }

    /// Whether a member may be granted a lease: it runs the committed version and, if a decision was
    /// requested, it has prepared the pending change, which that decision may commit.
    fn may_hold_lease(&self, name: &Name) -> bool {
        let Some(member) = self.members.get(name) else { return false };
        let is_ready = !self.decision_requested || member.prepared.as_ref() == self.log.pending();
        member.running.as_ref() == self.log.committed() && is_ready
    }

    /// Grants a lease to a member, after a majority has confirmed, later than the member's request, that this
    /// service leads. Since the lease counts from that request, it expires before a later leader may decide
    /// on a change.
    pub fn leadership_confirmed(
        &mut self,
        now: Nanos,
        name: &Name,
        requested_at: Nanos,
        actions: &mut Vec<LeaderAction>,
    ) {
        // The committed version may have changed since the confirmation was requested.
        if !self.may_hold_lease(name) {
            return;
        }
        let until = now.saturating_add(self.times.lease_with_margin());
        if let Some(member) = self.members.get_mut(name) {
            member.lease_until = member.lease_until.max(until);
            let committed = self.log.committed().cloned();
            let lease = LeaderMessage::Lease { requested_at, committed };
            actions.push(LeaderAction::Send(name.clone(), lease));
        }
    }

    /// Decides on the pending change if that is due, and removes members whose last lease ended long ago. To
    /// be called many times per lease.
    pub fn tick(&mut self, now: Nanos, actions: &mut Vec<LeaderAction>) {
        self.decide(now, actions);
        // A member that is removed is added again by its next heartbeat.
        let retention = self.times.lease_with_margin().saturating_mul(RETENTION_LEASES);
        self.members.retain(|_, member| member.lease_until.saturating_add(retention) > now);
    }

    /// Requests the commit of the pending change once every member that may serve requests has prepared it,
    /// or its abort once that has taken longer than [`Times::prepare`].
    fn decide(&mut self, now: Nanos, actions: &mut Vec<LeaderAction>) {
        let Some(pending) = self.log.pending().cloned() else { return };
        if self.decision_requested || now < self.earlier_leases_end {
            return;
        }
        let is_unprepared = |m: &MemberState| m.lease_until > now && m.prepared.as_ref() != Some(&pending);
        let unprepared: Vec<&str> = self
            .members
            .iter()
            .filter(|(_, member)| is_unprepared(member))
            .map(|(name, _)| &**name)
            .collect();
        let stamp = pending.stamp;
        if unprepared.is_empty() {
            return self.request_decision(Record::Commit { stamp }, actions);
        }
        let started = self.prepare_started.max(self.earlier_leases_end);
        if now.saturating_sub(started) > self.times.prepare {
            let named: Vec<&str> = unprepared.iter().copied().take(MAX_NAMES).collect();
            let others = match unprepared.len() - named.len() {
                0 => String::new(),
                count => format!(" and {count} more"),
            };
            let reason = format!("not prepared in time by {}{others}", named.join(", "));
            self.request_decision(Record::Abort { stamp, reason }, actions);
        }
    }

    fn request_decision(&mut self, record: Record, actions: &mut Vec<LeaderAction>) {
        if !std::mem::replace(&mut self.decision_requested, true) {
            actions.push(LeaderAction::Append(record));
        }
    }

    /// Handles the failure of a requested record, which was not appended and never will be in this term.
    pub fn append_failed(&mut self) {
        self.decision_requested = false;
    }

    /// The change with this stamp, if it is pending or committed.
    pub fn change(&self, stamp: Stamp) -> Option<&Change> {
        [self.log.pending(), self.log.committed()].into_iter().flatten().find(|c| c.stamp == stamp)
    }
}
