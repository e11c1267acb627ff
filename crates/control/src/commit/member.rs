//! A proxy's side of the commit protocol: it prepares a change, activates it once it is committed, and serves
//! requests only while it holds a lease.

use super::{Change, LeaderMessage, MemberMessage, Nanos, Times};
use crate::version::Stamp;

/// An action that the member's caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberAction {
    /// Send a message to the leader.
    Send(MemberMessage),
    /// Fetch a change, validate it and keep it ready, then call [`Member::validated`].
    Validate(Change),
    /// Store a change on disk as prepared, then call [`Member::persisted`].
    Persist(Change),
    /// Activate a validated change: requests are handled under it from now on.
    Activate(Change),
    /// Discard a prepared change, in memory and on disk.
    Discard(Stamp),
    /// Write a warning to the log.
    Warn(String),
}

/// Why a member can't prepare a change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PrepareError(pub String);

/// The stage of preparation of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The change is being validated.
    Validating,
    /// The change is being stored on disk.
    Persisting,
    /// The change is validated and stored, and can be activated at once.
    Prepared,
    /// This proxy can't activate or store the change.
    Rejected,
}

/// The change that is being prepared, or that waits for its commit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Candidate {
    change: Change,
    stage: Stage,
    /// Whether the change is known to be committed.
    is_committed: bool,
}

/// A proxy's state in the commit protocol.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    times: Times,
    running: Option<Change>,
    candidate: Option<Candidate>,
    lease_until: Option<Nanos>,
}

impl Member {
    /// Creates the state of a proxy that starts, from what is stored on its disk: the version that it ran and
    /// the change that it had prepared. It holds no lease.
    pub fn new(times: Times, running: Option<Change>, prepared: Option<Change>) -> Self {
        let candidate =
            prepared.map(|change| Candidate { change, stage: Stage::Prepared, is_committed: false });
        Member { times, running, candidate, lease_until: None }
    }

    /// The version that the proxy runs.
    pub fn running(&self) -> Option<&Change> {
        self.running.as_ref()
    }

    /// The change that the proxy has prepared and not activated.
    pub fn prepared(&self) -> Option<&Change> {
        let candidate = self.candidate.as_ref().filter(|candidate| candidate.stage == Stage::Prepared);
        candidate.map(|candidate| &candidate.change)
    }

    /// Whether the proxy may serve a request now, under the version that it runs. This has to be checked for
    /// each request, and again after a pause of the process, since a lease that was valid before the pause
    /// may have expired after it.
    pub fn may_serve(&self, now: Nanos) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// When the proxy's last lease expires or expired, on its own clock; `None` if none was granted since the
    /// start or since the last commit of a newer version.
    pub fn lease_until(&self) -> Option<Nanos> {
        self.lease_until
    }

    /// Sends a heartbeat, which requests a lease. To be called several times per lease.
    pub fn heartbeat(&self, now: Nanos, actions: &mut Vec<MemberAction>) {
        let (running, prepared) = (self.running.clone(), self.prepared().cloned());
        actions.push(MemberAction::Send(MemberMessage::Heartbeat { sent_at: now, running, prepared }));
    }

    /// Handles a message of the leader.
    pub fn receive(&mut self, now: Nanos, message: LeaderMessage, actions: &mut Vec<MemberAction>) {
        match message {
            LeaderMessage::Prepare { change } => self.prepare(change, actions),
            LeaderMessage::Commit { change } => self.commit(change, actions),
            LeaderMessage::Abort { stamp } => {
                // A change can't be both committed and aborted: a late abort must not discard a committed
                // change.
                let is_aborted = |c: &mut Candidate| c.change.stamp == stamp && !c.is_committed;
                let aborted = self.candidate.take_if(is_aborted);
                actions.extend(aborted.map(|c| MemberAction::Discard(c.change.stamp)));
            }
            LeaderMessage::Lease { requested_at, committed } => {
                // A lease that was granted before a commit but arrives after it is for the version before.
                let is_stale = self.candidate.as_ref().is_some_and(|c| c.is_committed);
                if requested_at <= now && committed == self.running && !is_stale {
                    let until = requested_at.saturating_add(self.times.lease);
                    self.lease_until = Some(self.lease_until.map_or(until, |lease| lease.max(until)));
                }
            }
        }
    }

    /// Whether this version or a newer one runs.
    fn runs_at_least(&self, stamp: Stamp) -> bool {
        self.running.as_ref().is_some_and(|running| running.stamp >= stamp)
    }

    fn prepare(&mut self, change: Change, actions: &mut Vec<MemberAction>) {
        if self.runs_at_least(change.stamp) {
            return;
        }
        match &self.candidate {
            Some(Candidate { change: current, stage: Stage::Prepared, .. }) if *current == change => {
                actions.push(MemberAction::Send(MemberMessage::VoteCommit { change }));
            }
            // The leader sends the request again: the vote may have been lost, and the cause of the rejection
            // resolved.
            Some(Candidate { change: current, stage: Stage::Rejected, .. }) if *current == change => {
                self.begin(change, false, actions);
            }
            Some(Candidate { change: current, .. }) if current.stamp >= change.stamp => {}
            // An older candidate, whose decision did not arrive here, is decided: a change begins when none
            // is pending.
            _ => self.begin(change, false, actions),
        }
    }

    fn begin(&mut self, change: Change, is_committed: bool, actions: &mut Vec<MemberAction>) {
        if let Some(old) = self.candidate.take() {
            actions.push(MemberAction::Discard(old.change.stamp));
        }
        actions.push(MemberAction::Validate(change.clone()));
        self.candidate = Some(Candidate { change, stage: Stage::Validating, is_committed });
    }

    fn commit(&mut self, change: Change, actions: &mut Vec<MemberAction>) {
        if self.runs_at_least(change.stamp) {
            return;
        }
        // From here on the running version is not the committed one: no more requests are served under it.
        self.lease_until = None;
        match &mut self.candidate {
            Some(candidate) if candidate.change == change => {
                candidate.is_committed = true;
                match candidate.stage {
                    Stage::Prepared | Stage::Persisting => self.activate(actions),
                    // The commit is sent again with each heartbeat of this proxy; the change is validated
                    // anew each time.
                    Stage::Rejected => self.begin(change, true, actions),
                    Stage::Validating => {}
                }
            }
            // A newer candidate from before this commit may have been aborted since. It can be dropped: no
            // commit depends on it, since a proxy that lacks a commit holds no lease, and if it is still
            // pending it is sent again.
            _ => self.begin(change, true, actions),
        }
    }

    fn activate(&mut self, actions: &mut Vec<MemberAction>) {
        if let Some(Candidate { change, .. }) = self.candidate.take() {
            actions.push(MemberAction::Activate(change.clone()));
            self.running = Some(change);
        }
    }

    /// The candidate, if it has this stamp and is at this stage.
    fn candidate_at(&mut self, stage: Stage, stamp: Stamp) -> Option<&mut Candidate> {
        self.candidate.as_mut().filter(|c| c.stage == stage && c.change.stamp == stamp)
    }

    /// Handles the outcome of a change's validation.
    pub fn validated(
        &mut self,
        stamp: Stamp,
        outcome: Result<(), PrepareError>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(candidate) = self.candidate_at(Stage::Validating, stamp) else { return };
        let change = candidate.change.clone();
        match (outcome, candidate.is_committed) {
            // It is stored as the running version, not as prepared.
            (Ok(()), true) => self.activate(actions),
            (Ok(()), false) => {
                candidate.stage = Stage::Persisting;
                actions.push(MemberAction::Persist(change));
            }
            (Err(error), is_committed) => {
                candidate.stage = Stage::Rejected;
                if is_committed {
                    let stuck = "is committed and can't be put in force here; no request is served";
                    actions.push(MemberAction::Warn(format!("version {stamp} {stuck}: {error}")));
                }
                let reason = error.to_string();
                actions.push(MemberAction::Send(MemberMessage::VoteAbort { change, reason }));
            }
        }
    }

    /// Handles the outcome of storing a change on disk as prepared.
    pub fn persisted(
        &mut self,
        stamp: Stamp,
        outcome: Result<(), PrepareError>,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(candidate) = self.candidate_at(Stage::Persisting, stamp) else { return };
        let change = candidate.change.clone();
        let vote = match outcome {
            Ok(()) => {
                candidate.stage = Stage::Prepared;
                MemberMessage::VoteCommit { change }
            }
            Err(error) => {
                candidate.stage = Stage::Rejected;
                MemberMessage::VoteAbort { change, reason: format!("it can't be stored on disk: {error}") }
            }
        };
        actions.push(MemberAction::Send(vote));
    }
}
