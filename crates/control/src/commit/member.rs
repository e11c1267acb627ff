//! A proxy's side of a change: it prepares, switches when told that a change is committed, and takes requests only while
//! it holds a lease.

use super::{Change, Nanos, Times, ToLeader, ToMember};
use crate::version::Stamp;

/// What a member wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send this to the leader.
    Send(ToLeader),
    /// Fetch a change, check it and hold it ready, then call [`Member::checked`].
    Check(Change),
    /// Keep a change on disk as prepared, then call [`Member::kept`].
    Keep(Change),
    /// Put a change in force that was checked: from here on requests are decided under it.
    Switch(Change),
    /// Forget what was held ready of a change, in memory and on disk.
    Forget(Stamp),
    /// Tell those on call.
    Say(String),
}

/// How far a change has come here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// It is being checked.
    Checking,
    /// It is being kept on disk.
    Keeping,
    /// It is held ready.
    Ready,
    /// It can't be put in force here.
    Unfit,
}

/// A proxy's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Member {
    times: Times,
    runs: Option<Change>,
    /// The change that comes next, how far it has come, and whether it is known to be committed.
    next: Option<(Change, Stage, bool)>,
    /// It may take requests up to here.
    lease: Option<Nanos>,
}

impl Member {
    /// A proxy that starts, with what its disk tells: what it ran, and what it had prepared. It holds no lease.
    pub fn new(times: Times, runs: Option<Change>, prepared: Option<Change>) -> Self {
        Member { times, runs, next: prepared.map(|change| (change, Stage::Ready, false)), lease: None }
    }

    /// What it runs.
    pub fn runs(&self) -> Option<&Change> {
        self.runs.as_ref()
    }

    /// What it holds ready and has not switched to.
    pub fn prepared(&self) -> Option<&Change> {
        self.next.as_ref().filter(|(_, stage, _)| *stage == Stage::Ready).map(|(change, ..)| change)
    }

    /// Whether it may take a request now; then under what it runs. Danger: to be asked at each request, and after a pause
    /// of the process as well: a lease that was good before the pause may be over after it.
    pub fn may_serve(&self, now: Nanos) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    /// Until when it may.
    pub fn lease(&self) -> Option<Nanos> {
        self.lease
    }

    /// It is time to ask for a lease anew. To be called several times in a lease.
    pub fn renew(&self, now: Nanos, steps: &mut Vec<Step>) {
        let (runs, prepared) = (self.runs.clone(), self.prepared().cloned());
        steps.push(Step::Send(ToLeader::Renew { asked: now, runs, prepared }));
    }

    /// The leader has said something.
    pub fn told(&mut self, now: Nanos, what: ToMember, steps: &mut Vec<Step>) {
        match what {
            ToMember::Prepare { change } => self.prepare(change, steps),
            ToMember::Commit { change } => self.commit(change, steps),
            ToMember::Abort { stamp } => {
                // Danger: an abort that comes late must not undo a change that is known to be committed; it can't be both.
                let aborted =
                    self.next.take_if(|(change, _, committed)| change.stamp == stamp && !*committed);
                steps.extend(aborted.map(|(change, ..)| Step::Forget(change.stamp)));
            }
            ToMember::Granted { asked, committed } => {
                // Danger: a grant that was on its way while a commit came is for what ran before.
                let stale = self.next.as_ref().is_some_and(|(_, _, committed)| *committed);
                if asked <= now && committed == self.runs && !stale {
                    let until = asked.saturating_add(self.times.lease);
                    self.lease = Some(self.lease.map_or(until, |lease| lease.max(until)));
                }
            }
        }
    }

    fn prepare(&mut self, change: Change, steps: &mut Vec<Step>) {
        if self.runs.as_ref().is_some_and(|runs| runs.stamp >= change.stamp) {
            return;
        }
        match &self.next {
            Some((next, Stage::Ready, _)) if *next == change => {
                steps.push(Step::Send(ToLeader::Prepared { change }));
            }
            // Asked again: the refusal may have been lost, and what kept it from fitting may be mended.
            Some((next, Stage::Unfit, _)) if *next == change => self.begin(change, false, steps),
            Some((next, ..)) if next.stamp >= change.stamp => {}
            // An older one that was never decided here is decided by now: a change begins when none is open.
            _ => self.begin(change, false, steps),
        }
    }

    fn begin(&mut self, change: Change, committed: bool, steps: &mut Vec<Step>) {
        if let Some((old, ..)) = self.next.take() {
            steps.push(Step::Forget(old.stamp));
        }
        steps.push(Step::Check(change.clone()));
        self.next = Some((change, Stage::Checking, committed));
    }

    fn commit(&mut self, change: Change, steps: &mut Vec<Step>) {
        if self.runs.as_ref().is_some_and(|runs| runs.stamp >= change.stamp) {
            return;
        }
        // From here on what runs is not what is committed: nothing more is taken under it.
        self.lease = None;
        match &mut self.next {
            Some((next, stage, committed)) if *next == change => {
                *committed = true;
                match stage {
                    Stage::Ready | Stage::Keeping => self.switch(steps),
                    // It is told so again and again while this proxy asks for leases in vain; each time it is checked anew.
                    Stage::Unfit => self.begin(change, true, steps),
                    Stage::Checking => {}
                }
            }
            // Danger: a newer one that came before this commit may be aborted since. Who lacks a commit holds no lease, so
            // that nobody counts on what it holds ready; the newer one is told again if it is still open.
            _ => self.begin(change, true, steps),
        }
    }

    fn switch(&mut self, steps: &mut Vec<Step>) {
        if let Some((change, ..)) = self.next.take() {
            steps.push(Step::Switch(change.clone()));
            self.runs = Some(change);
        }
    }

    /// A change was checked: it can be put in force, or why not.
    pub fn checked(&mut self, stamp: Stamp, outcome: Result<(), String>, steps: &mut Vec<Step>) {
        let Some((change, stage @ Stage::Checking, committed)) = &mut self.next else { return };
        if change.stamp != stamp {
            return;
        }
        let change = change.clone();
        match (outcome, *committed) {
            // It is committed: it is kept as what runs, not as prepared.
            (Ok(()), true) => self.switch(steps),
            (Ok(()), false) => {
                *stage = Stage::Keeping;
                steps.push(Step::Keep(change));
            }
            (Err(why), committed) => {
                *stage = Stage::Unfit;
                if committed {
                    let stuck = "is committed and can't be put in force here; no request is taken";
                    steps.push(Step::Say(format!("version {stamp} {stuck}: {why}")));
                }
                steps.push(Step::Send(ToLeader::Refused { change, why }));
            }
        }
    }

    /// A change was kept on disk as prepared, or why not.
    pub fn kept(&mut self, stamp: Stamp, outcome: Result<(), String>, steps: &mut Vec<Step>) {
        let Some((change, stage @ Stage::Keeping, _)) = &mut self.next else { return };
        if change.stamp != stamp {
            return;
        }
        let change = change.clone();
        match outcome {
            Ok(()) => {
                *stage = Stage::Ready;
                steps.push(Step::Send(ToLeader::Prepared { change }));
            }
            Err(why) => {
                *stage = Stage::Unfit;
                let why = format!("it could not be kept on disk: {why}");
                steps.push(Step::Send(ToLeader::Refused { change, why }));
            }
        }
    }
}
